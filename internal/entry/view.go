package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/routing"
)

// View holds the targets of each service and their states, built from the configuration, the
// host list and the failures that the entry observed. Requests are routed by it.
type View struct {
	Version  uint64
	Config   *config.Config
	Services map[string][]routing.Target
}

// buildView posts a new view. It runs on the control loop.
func (e *Entry) buildView() {
	s, ok := e.board.Config.Get()
	if !ok {
		return
	}
	hosts, _ := e.board.Hosts.Get()
	e.board.View.Post(newView(s.Version, s.Config, hosts, e.health.states()), time.Now())
}

func newView(version uint64, c *config.Config, hosts []external.Host, observed map[string]routing.State) View {
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
			target.State = max(listed[t.Name], observed[t.Name])
			if listed[t.Name] == routing.Leaving {
				target.State = routing.Leaving
			}
			targets = append(targets, target)
		}
		view.Services[service.Name] = targets
	}
	return view
}

// keepDeparted returns the host list with the previously leaving hosts that are no longer
// listed. Such a host may still serve, and gets no new work until it is listed as live. Hosts
// that are no longer targets are dropped.
func keepDeparted(previous, listed []external.Host, isTarget func(string) bool) []external.Host {
	present := make(map[string]bool, len(listed))
	for _, h := range listed {
		present[h.Name] = true
	}
	merged := slices.Clone(listed)
	for _, h := range previous {
		if h.State == external.HostLeaving && !present[h.Name] && isTarget(h.Name) {
			merged = append(merged, h)
		}
	}
	return merged
}

const (
	// suspectDuration is how long a target that could not be reached is used only as a last
	// resort. It is also the retry delay of requests that no target can serve.
	suspectDuration = 2 * time.Second
	// leavingDuration is how long a target that refused a request as leaving gets no new work.
	// By then the host list usually shows its state; if not, the target refuses again.
	leavingDuration = 5 * time.Second
)

// targetHealth holds the target states that the entry observed through its own calls: failed
// connections and refusals. They show failures before the host list does. It is safe for
// concurrent use.
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

// record stores the observed state of a target until it expires.
func (h *targetHealth) record(target string, state routing.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	duration := suspectDuration
	if state == routing.Leaving {
		duration = leavingDuration
	}
	h.observations[target] = observation{state, h.now().Add(duration)}
}

// states returns the unexpired states and deletes the expired ones.
func (h *targetHealth) states() map[string]routing.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make(map[string]routing.State, len(h.observations))
	for target, o := range h.observations {
		if h.now().After(o.expiresAt) {
			delete(h.observations, target)
			continue
		}
		states[target] = o.state
	}
	return states
}
