package entry

import (
	"slices"
	"testing"

	"github.com/toucanwell/toucanwell/internal/external"
)

// Guards against new work at a host that was listed as leaving and has gone from the list
// while it serves on.
func TestHostThatLeftTheListStaysLeaving(t *testing.T) {
	live := external.Host{Name: "a", State: external.HostLive}
	leaving := external.Host{Name: "b", State: external.HostLeaving}
	returned := external.Host{Name: "b", State: external.HostLive}
	named := func(string) bool { return true }
	hosts := keepDeparted(nil, []external.Host{live, leaving}, named)
	for range 3 {
		hosts = keepDeparted(hosts, []external.Host{live}, named)
	}
	if !slices.Equal(hosts, []external.Host{live, leaving}) {
		t.Errorf("after it has gone: %v", hosts)
	}
	if again := keepDeparted(hosts, []external.Host{live, returned}, named); !slices.Equal(again, []external.Host{live, returned}) {
		t.Errorf("listed as live again: %v", again)
	}
	if left := keepDeparted(hosts, []external.Host{live}, func(string) bool { return false }); !slices.Equal(left, []external.Host{live}) {
		t.Errorf("no target is named: %v", left)
	}
}
