package gateway

import (
	"errors"
	"strings"
	"testing"

	"github.com/toucanwell/toucanwell/internal/tomltext"
)

// baseSettings has 20 lines; tables are appended to it.
const baseSettings = `name = "entry-1"
role = "entry"
region = "r"
availability_zone = "z"
listen = "10.0.0.1:1"
ready_listen = "10.0.0.1:2"
mesh_listen = "10.0.0.1:3"
metrics_listen = "10.0.0.1:4"
memory_mb = 144
seeds = [
]




[store]
address = "10.0.0.9:1"
[bounds]
grace_period = "10s"
weights = "5s"
`

func TestQueueSettingsDefaults(t *testing.T) {
	s, err := ParseSettings("f", baseSettings+"[queue]\nenabled = true\n[[queue.workspaces]]\nname = \"town\"\nfloor = 0.5\n[[queue.workspaces]]\nname = \"fort\"\nfloor = 0.4\nweight = 100\n[speeds]\nenabled = true\n")
	if err != nil {
		t.Fatal(err)
	}
	q := s.Queue
	if !q.Enabled || !s.Speeds.Enabled || q.MaxRequests != 2000 || q.MaxMB != 18 || q.Workspaces[0].Weight != 1 || q.Workspaces[1].Weight != 100 {
		t.Errorf("got %+v, %+v", q, s.Speeds)
	}
	if s, err = ParseSettings("f", baseSettings); err != nil || s.Queue.Enabled || s.Speeds.Enabled {
		t.Errorf("without the tables: %+v, %v", s, err)
	}
}

// An invalid value must be refused with its line, key, the value found and what is allowed. Values that
// are stated as zero must not be taken for missing ones.
func TestInvalidQueueSettings(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"no requests":       {"[queue]\nmax_requests = 0\n", []string{"f:22: queue.max_requests: 0 found; allowed is 1 to 100000"}},
		"too many requests": {"[queue]\nmax_requests = 100001\n", []string{"f:22: queue.max_requests: 100001 found; allowed is 1 to 100000"}},
		"no memory":         {"[queue]\nmax_mb = 0\n", []string{"f:22: queue.max_mb: 0 found; allowed is 1 to 72, half of memory_mb"}},
		"too much memory":   {"[queue]\n\nmax_mb = 73\n", []string{"f:23: queue.max_mb: 73 found; allowed is 1 to 72, half of memory_mb"}},
		"wrong type":        {"[queue]\nenabled = 1\n", []string{"f:22:11: queue.enabled: "}},
		"unknown key":       {"[speeds]\nenabled = true\nfactor = 1\n", []string{"f:23:1: unknown key speeds.factor"}},
		"no name":           {"[[queue.workspaces]]\nweight = 1\n", []string{"f:21: queue.workspaces[0].name: missing"}},
		"same name": {"[[queue.workspaces]]\nname = \"a\"\n[[queue.workspaces]]\nweight = 1\nname = \"a\"\n",
			[]string{`f:25: queue.workspaces[1].name: "a" found; allowed is each name once, and line 22 has it`}},
		"weights": {"[queue]\nworkspaces = [{name = \"a\", weight = 0},\n{name = \"b\", weight = 101},\n{name = \"c\", weight = nan}]\n",
			[]string{"f:22: queue.workspaces[0].weight: 0 found; allowed is 0.01 to 100", "f:23: queue.workspaces[1].weight: 101 found; allowed is 0.01 to 100", "f:24: queue.workspaces[2].weight: NaN found; allowed is 0.01 to 100"}},
		"floors": {"[[queue.workspaces]]\nname = \"a\"\nfloor = -0.1\n[[queue.workspaces]]\nname = \"b\"\nfloor = 0.91\n",
			[]string{"f:23: queue.workspaces[0].floor: -0.1 found; allowed is 0 to 0.9", "f:26: queue.workspaces[1].floor: 0.91 found; allowed is 0 to 0.9"}},
		"sum of floors": {"[[queue.workspaces]]\nname = \"a\"\nfloor = 0.3\n[[queue.workspaces]]\nname = \"b\"\nfloor = 0.3\n[[queue.workspaces]]\nname = \"c\"\nfloor = 0.31\n",
			[]string{"f:29: queue.workspaces[2].floor: 0.31 found; allowed is 0.3, since the floors add up to 0.9 at most"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := ParseSettings("f", baseSettings+c.text)
			if err == nil {
				t.Fatalf("accepted as %+v", s.Queue)
			}
			if lines := strings.Split(err.Error(), "\n"); len(lines) != len(c.want) {
				t.Errorf("%d problems: %v", len(lines), err)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got %v, want %q", err, want)
				}
			}
		})
	}
}

// The other settings must be reported in the same way.
func TestInvalidSettingsNameTheirLine(t *testing.T) {
	_, err := ParseSettings("f", strings.Replace(strings.Replace(baseSettings, "144", "0", 1), "seeds = [\n", "seeds = [\n\"nowhere\",\n", 1))
	var invalid *tomltext.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 2 {
		t.Fatalf("got %v", err)
	}
	for i, want := range []string{"f:9: memory_mb: 0 found; allowed is a number above 0", `f:11: seeds[0]: "nowhere" found; allowed is an IP number with a port`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("problem %d of %v is not %q", i, err, want)
		}
	}
}
