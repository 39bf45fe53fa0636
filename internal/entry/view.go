package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/routing"
)

// View is what traffic routes by: the targets of each service with their
// states, built from the configuration, the host list and failures seen.
type View struct {
	Version  uint64
	Config   *config.Config
	Services map[string][]routing.Target
}

// buildView posts a new view. It runs on the control thread.
func (e *Entry) buildView() {
	s, ok := e.board.Config.Get()
	if !ok {
		return
	}
	hosts, _ := e.board.Hosts.Get()
	e.board.View.Post(newView(s.Version, s.Config, hosts, e.health.states()), time.Now())
}

func newView(version uint64, c *config.Config, hosts []external.Host, seen map[string]routing.State) View {
	listed := make(map[string]routing.State, len(hosts))
	for _, h := range hosts {
		if h.State == external.HostLeaving {
			listed[h.Name] = routing.Leaving
		}
	}
	view := View{Version: version, Config: c, Services: make(map[string][]routing.Target, len(c.Services))}
	for i := range c.Services {
		service := &c.Services[i]
		targets := make([]routing.Target, 0, len(service.Targets))
		for _, t := range service.Targets {
			target := routing.NewTarget(service.Name, t.Name, t.Address, t.AvailabilityZone, c.RegionOf(t.AvailabilityZone))
			target.State = max(listed[t.Name], seen[t.Name])
			if listed[t.Name] == routing.Leaving {
				target.State = routing.Leaving
			}
			targets = append(targets, target)
		}
		view.Services[service.Name] = targets
	}
	return view
}

// withDeparted returns the list of hosts with those that were leaving before and are not
// listed any more: a host that has left the list may serve on, and takes no new work until it
// is listed as live. Those of which no target is named are dropped.
func keepDeparted(before, listed []external.Host, named func(string) bool) []external.Host {
	present := make(map[string]bool, len(listed))
	for _, h := range listed {
		present[h.Name] = true
	}
	all := slices.Clone(listed)
	for _, h := range before {
		if h.State == external.HostLeaving && !present[h.Name] && named(h.Name) {
			all = append(all, h)
		}
	}
	return all
}

const (
	// suspectFor is how long a target that could not be reached is asked last.
	suspectDuration = 2 * time.Second
	// leavingFor is how long a target that said that it is leaving is passed
	// over. The platform's list takes over meanwhile; without it the target is
	// asked again, and says again what it is.
	leavingDuration = 5 * time.Second
)

// health is what an entry's own calls tell of targets. The platform's list
// lags: a target that dies or leaves shows here first, as a failed dial or as
// its sidecar's refusal. It is safe for concurrent use.
type targetHealth struct {
	mu           sync.Mutex
	now          func() time.Time
	observations map[string]observation
}

type observation struct {
	state     routing.State
	expiresAt time.Time
}

func newTargetHealth(now func() time.Time) *targetHealth {
	return &targetHealth{now: now, observations: map[string]observation{}}
}

// note marks a target for a time.
func (h *targetHealth) record(target string, state routing.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := suspectDuration
	if state == routing.Leaving {
		d = leavingDuration
	}
	h.observations[target] = observation{state, h.now().Add(d)}
}

// states returns the marks in force and drops the others.
func (h *targetHealth) states() map[string]routing.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make(map[string]routing.State, len(h.observations))
	for target, m := range h.observations {
		if h.now().After(m.expiresAt) {
			delete(h.observations, target)
			continue
		}
		states[target] = m.state
	}
	return states
}
