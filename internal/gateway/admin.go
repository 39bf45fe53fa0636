package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/admin"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/forward"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// serveAdmin serves the administration API if an address is configured.
func (p *process) serveAdmin() error {
	if p.settings.AdminListen == "" {
		return nil
	}
	state := &admin.Process{
		Name: p.settings.Name, Role: string(p.settings.Role), Zone: p.settings.AvailabilityZone, TokenSHA256: p.settings.AdminTokenSHA256,
		StartedMs: time.Now().UnixMilli(), Registry: p.metrics.Registry,
		Config: p.currentConfig, Targets: p.listTargets, Goals: p.burnGoals, Burn: p.burn,
		Ready: p.ready, InFlight: p.inFlight, Draining: func() bool { return p.currentView().Stopping },
	}
	if p.entry != nil {
		state.Placement = p.explainPlacement
		state.Quarantine, state.Release = p.listQuarantine, p.releaseRequest
		state.Limits = p.listLimits
		state.Queue = func() *oas.Queue { return encodeQueue(p.entry.forwarder.QueueStats()) }
	}
	handler, err := admin.Handler(state)
	if err != nil {
		return err
	}
	return p.serve(p.settings.AdminListen, handler, p.controlBudget())
}

func (p *process) currentView() *view.View {
	v, ok := p.state.view.Get()
	if !ok {
		return &view.View{}
	}
	return v
}

func (p *process) currentConfig() (int64, string, bool) {
	v := p.currentView()
	if v.Estate == nil {
		return 0, "", false
	}
	return v.Estate.Version, string(v.RawEstate), true
}

// ready reports whether an entry can serve callers, or a sidecar has received the estate.
func (p *process) ready() bool {
	if p.entry != nil {
		return p.entry.ready()
	}
	return p.currentView().Estate != nil
}

func (p *process) inFlight() int {
	if p.entry == nil {
		return 0
	}
	return p.entry.forwarder.InFlight()
}

func (p *process) listTargets() []oas.Target {
	v := p.currentView()
	var all []oas.Target
	for _, list := range v.Targets {
		for i := range list {
			all = append(all, oas.Target{
				Name: list[i].Instance, Service: list[i].Service, AvailabilityZone: list[i].Zone, Address: list[i].Address.String(), State: targetState(v, &list[i]),
			})
		}
	}
	slices.SortFunc(all, func(a, b oas.Target) int { return strings.Compare(a.Service+a.Name, b.Service+b.Name) })
	return all
}

func targetState(v *view.View, t *fleet.Target) oas.TargetState {
	switch {
	case t.Leaving:
		return oas.TargetStateLeaving
	case t.Unconfirmed || v.Unresponsive[t.Address]:
		return oas.TargetStateSuspect
	default:
		return oas.TargetStateLive
	}
}

// burnGoals returns the configured service level for each service and class that has a
// route.
func (p *process) burnGoals() []burn.Goal {
	v := p.currentView()
	if v.Estate == nil {
		return nil
	}
	var all []burn.Goal
	for _, r := range v.Estate.Routes() {
		for _, b := range r.Backends {
			g := burn.Goal{Service: b.Service, Class: r.Kind.String(), Goal: p.settings.ServiceLevel}
			if !slices.Contains(all, g) {
				all = append(all, g)
			}
		}
	}
	return all
}

// explainPlacement explains where a request would be sent.
func (p *process) explainPlacement(ctx context.Context, params oas.GetPlacementParams) (*oas.Placement, error) {
	request := wire.Request{Model: params.Model.Or(""), PromptTokens: params.PromptTokens.Or(0), MaxTokens: params.MaxTokens.Or(0)}
	for _, text := range params.Parts {
		id, size, _ := strings.Cut(text, ":")
		tokens, err := strconv.Atoi(size)
		if err != nil || tokens < 0 || id == "" {
			return nil, errkind.New(errkind.BadRequest, "part %q is not of the form ID:TOKENS", text)
		}
		request.Parts = append(request.Parts, wire.Part{ID: id, Tokens: tokens})
	}
	x, refusal := p.entry.forwarder.Explain(ctx, params.Host, params.Path, params.Workspace.Or(""), request)
	if refusal != nil {
		return nil, refusal
	}
	return encodePlacement(x), nil
}

func encodePlacement(x *forward.Explanation) *oas.Placement {
	result := &oas.Placement{
		Route: x.Route, Service: x.Service, ConfigVersion: x.Estate, ListAgeMs: x.ListAge.Milliseconds(), Candidates: []oas.PlacementCandidate{},
	}
	if x.Chosen != "" {
		result.Chosen = oas.NewOptString(x.Chosen)
	}
	if x.Refusal != nil {
		result.Refusal, result.Detail = oas.NewOptString(x.Refusal.Kind.String()), oas.NewOptString(x.Refusal.Detail)
	}
	for i := range x.Targets {
		t := &x.Targets[i]
		c := oas.PlacementCandidate{Target: t.Instance, AvailabilityZone: t.Zone, Address: t.Address.String()}
		if len(x.Ratings) > i {
			fillRating(&c, &x.Candidates[i], &x.Ratings[i])
		}
		result.Candidates = append(result.Candidates, c)
	}
	return result
}

func fillRating(c *oas.PlacementCandidate, candidate *placement.Candidate, r *placement.Rating) {
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	c.Cost, c.WaitMs, c.ReadMs, c.FetchMs = r.Cost, milliseconds(r.Choice.Wait), milliseconds(r.Choice.Prefill), milliseconds(r.Choice.Fetch)
	c.Held, c.Fetched, c.Running, c.Weights = r.Choice.CachedTokens, r.Choice.FetchedTokens, candidate.Work.Running, candidate.Version
	if candidate.Slowdown > 0 {
		c.Factor = oas.NewOptFloat64(candidate.Slowdown)
	}
	if r.FilterReason != "" {
		c.Filtered = oas.NewOptString(r.FilterReason)
	}
	for mark, set := range map[string]bool{"rested": candidate.Ejected, "emptying": candidate.Draining, "other zone": !candidate.SameZone, "loads soon": candidate.LoadScheduled, "old weights": candidate.StaleFor > 0} {
		if set {
			c.Marks = append(c.Marks, mark)
		}
	}
	slices.Sort(c.Marks)
}
