package estate

import (
	"strings"
	"testing"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Backends: []Backend{{Service: "s", Weight: 1}}}
}

var services = []Service{{Name: "s"}, {Name: "kept", Store: &KVStore{Zone: "a"}}}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	e, err := New(1, []Route{route("short", "A.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/")}, services, nil, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[[2]string]string{
		{"a.example", "/x/y/z"}:   "long",
		{"a.example:80", "/x/yz"}: "short",
		{"A.EXAMPLE", "/x/"}:      "short",
		{"a.example", "/x"}:       "",
		{"a.example", "/"}:        "",
		{"b.example", "/any"}:     "other",
		{"c.example", "/x/"}:      "",
	}
	for in, want := range cases {
		got := ""
		if r := e.Match(in[0], in[1]); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%v matches %q, want %q", in, got, want)
		}
	}
}

// A text with a mistake is refused whole, with what is wrong.
func TestMistakesAreRefused(t *testing.T) {
	weighed := route("r", "a", "/x/")
	weighed.Backends = []Backend{{Service: "s", Weight: 0}}
	toStore := route("r", "a", "/x/")
	toStore.Backends = []Backend{{Service: "kept", Weight: 1}}
	unknown := route("r", "a", "/x/")
	unknown.Backends = []Backend{{Service: "nobody", Weight: 1}}
	none := route("r", "a", "/x/")
	none.Backends = nil
	cases := []struct {
		name       string
		routes     []Route
		services   []Service
		workspaces []Workspace
		want       string
	}{
		{"route twice", []Route{route("r", "a", "/x/"), route("q", "a", "/x/")}, services, nil, "twice"},
		{"unknown service", []Route{unknown}, services, nil, "unknown service"},
		{"no backend", []Route{none}, services, nil, "no backend"},
		{"no weight", []Route{weighed}, services, nil, "sum to zero"},
		{"to a store", []Route{toStore}, services, nil, "takes no requests"},
		{"prefix without slash", []Route{route("r", "a", "/x")}, services, nil, "slash"},
		{"no host", []Route{route("r", "", "/x/")}, services, nil, "no host"},
		{"service twice", nil, []Service{{Name: "s"}, {Name: "s"}}, nil, "twice"},
		{"key twice", nil, services, []Workspace{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}, "key in common"},
		{"workspace twice", nil, services, []Workspace{{Name: "a"}, {Name: "a"}}, "twice"},
	}
	for _, c := range cases {
		if _, err := New(1, c.routes, c.services, c.workspaces, Limits{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", c.name, err, c.want)
		}
	}
}

func TestBackendsShareByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickBackend(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("%v", counts)
	}
}

func TestKeysBelongToWorkspaces(t *testing.T) {
	public := route("p", "a", "/p/")
	public.Public = true
	e, err := New(1, []Route{public, route("r", "a", "/x/")}, services, []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if w := e.WorkspaceByKey("k2"); w == nil || w.Name != "w" {
		t.Errorf("%v", w)
	}
	if e.WorkspaceByKey("") != nil || e.WorkspaceByKey("other") != nil {
		t.Error("an unknown key has a workspace")
	}
	if e.NeedsKey(e.Match("a", "/p/x")) || !e.NeedsKey(e.Match("a", "/x/x")) {
		t.Error("who needs a key")
	}
}
