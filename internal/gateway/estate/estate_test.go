package estate

import (
	"slices"
	"strings"
	"testing"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Backends: []Backend{{Service: "s", Weight: 1}}}
}

var services = []Service{{Name: "s"}, {Name: "store", Store: &KVStore{Zone: "a"}}}

// Match must choose the longest matching prefix among the routes of the host.
func TestLongestPrefixMatches(t *testing.T) {
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

// New must reject an invalid configuration with an error that names the mistake.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	zeroWeight := route("r", "a", "/x/")
	zeroWeight.Backends = []Backend{{Service: "s", Weight: 0}}
	toStore := route("r", "a", "/x/")
	toStore.Backends = []Backend{{Service: "store", Weight: 1}}
	unknownService := route("r", "a", "/x/")
	unknownService.Backends = []Backend{{Service: "nobody", Weight: 1}}
	noBackend := route("r", "a", "/x/")
	noBackend.Backends = nil
	cases := []struct {
		name       string
		routes     []Route
		services   []Service
		workspaces []Workspace
		want       string
	}{
		{"route twice", []Route{route("r", "a", "/x/"), route("q", "a", "/x/")}, services, nil, "twice"},
		{"unknown service", []Route{unknownService}, services, nil, "unknown service"},
		{"no backend", []Route{noBackend}, services, nil, "no backend"},
		{"zero weight", []Route{zeroWeight}, services, nil, "sum to zero"},
		{"to a store", []Route{toStore}, services, nil, "takes no requests"},
		{"prefix without slash", []Route{route("r", "a", "/x")}, services, nil, "slash"},
		{"no host", []Route{route("r", "", "/x/")}, services, nil, "no host"},
		{"service twice", nil, []Service{{Name: "s"}, {Name: "s"}}, nil, "twice"},
		{"key twice", nil, services, []Workspace{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}, "key in common"},
		{"workspace twice", nil, services, []Workspace{{Name: "a"}, {Name: "a"}}, "twice"},
	}
	for _, c := range cases {
		if _, err := New(1, c.routes, c.services, c.workspaces, Limits{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that contains %q", c.name, err, c.want)
		}
	}
}

// Backends must receive requests in proportion to their weights.
func TestBackendsShareByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickBackend(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("requests by service %v, want 900 and 100", counts)
	}
}

// Keys must map to their workspaces, and public routes must need none.
func TestKeysBelongToWorkspaces(t *testing.T) {
	public := route("p", "a", "/p/")
	public.Public = true
	e, err := New(1, []Route{public, route("r", "a", "/x/")}, services, []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if w := e.WorkspaceByKey("k2"); w == nil || w.Name != "w" {
		t.Errorf("workspace of key k2: %v", w)
	}
	if e.WorkspaceByKey("") != nil || e.WorkspaceByKey("other") != nil {
		t.Error("an unknown key has a workspace")
	}
	if e.NeedsKey(e.Match("a", "/p/x")) || !e.NeedsKey(e.Match("a", "/x/x")) {
		t.Error("NeedsKey must be false for the public route only")
	}
}

// Guards against cached parts that a workspace made before it became isolated, and that others use after
// that.
func TestSharedCacheDomainChangesWithTheIsolatedWorkspaces(t *testing.T) {
	estateWith := func(isolated ...string) *Estate {
		var all []Workspace
		for _, name := range []string{"town", "fort", "mill", "*", "*town"} {
			all = append(all, Workspace{Name: name, Isolated: slices.Contains(isolated, name)})
		}
		e, err := New(1, nil, nil, all, Limits{})
		if err != nil {
			t.Fatal(err)
		}
		return e
	}
	sets := [][]string{nil, {"town"}, {"fort"}, {"town", "fort"}, {"*"}, {"*town"}, {"town", "*town"}}
	shared := map[string]int{}
	for i, isolated := range sets {
		e := estateWith(isolated...)
		domain := e.CacheDomain(nil)
		if j, ok := shared[domain]; ok {
			t.Errorf("%q is shared while %v and while %v are isolated", domain, sets[j], isolated)
		}
		shared[domain] = i
		own := map[string]bool{}
		for _, w := range e.workspaces {
			switch got := e.CacheDomain(&w); {
			case !w.Isolated && got != domain:
				t.Errorf("%v isolated: %s has the domain %q, want %q", isolated, w.Name, got, domain)
			case w.Isolated && (got == domain || own[got]):
				t.Errorf("%v isolated: %s shares the domain %q", isolated, w.Name, got)
			case w.Isolated:
				own[got] = true
			}
		}
	}
	if estateWith("town", "fort").CacheDomain(nil) != estateWith("fort", "town").CacheDomain(nil) {
		t.Error("the order of the workspaces changes the domain")
	}
}
