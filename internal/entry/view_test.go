package entry

import (
	"slices"
	"testing"

	"github.com/toucanwell/toucanwell/internal/external"
)

// A leaving host that is no longer listed but still serves must not get new work.
func TestDepartedHostStaysLeaving(t *testing.T) {
	live := external.Host{Name: "a", State: external.HostLive}
	leaving := external.Host{Name: "b", State: external.HostLeaving}
	returned := external.Host{Name: "b", State: external.HostLive}
	isTarget := func(string) bool { return true }
	hosts := keepDeparted(nil, []external.Host{live, leaving}, isTarget)
	for range 3 {
		hosts = keepDeparted(hosts, []external.Host{live}, isTarget)
	}
	if !slices.Equal(hosts, []external.Host{live, leaving}) {
		t.Errorf("after the host has left the list: %v", hosts)
	}
	if returnedHosts := keepDeparted(hosts, []external.Host{live, returned}, isTarget); !slices.Equal(returnedHosts, []external.Host{live, returned}) {
		t.Errorf("the host is live again: %v", returnedHosts)
	}
	if removed := keepDeparted(hosts, []external.Host{live}, func(string) bool { return false }); !slices.Equal(removed, []external.Host{live}) {
		t.Errorf("the host is no longer a target: %v", removed)
	}
}
