package forward

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Explanation describes where a request would be sent, and why.
type Explanation struct {
	Route, Service string
	Estate         int64
	ListAge        time.Duration
	// Chosen is the instance of the chosen target; empty if the request would be refused or
	// if the target has no instance.
	Chosen string
	// Refusal is the error that the caller would get; nil if the request would be sent.
	Refusal *errkind.Error
	// Targets are the targets of the service, or those that were probed. Candidates and
	// Ratings are the placement's inputs and scores for them, empty for routes without
	// prompts.
	Targets    []fleet.Target
	Candidates []placement.Candidate
	Ratings    []placement.Rating
}

// addRatings adds the placement's candidates and their ratings.
func (x *Explanation) addRatings(ctx context.Context, fl *flow) {
	in := fl.placementInput()
	if p := fl.probeEngines(ctx, in); p != nil {
		x.Targets, x.Candidates = p.targets, p.candidates
	} else {
		x.Candidates = fl.engineCandidates(in)
	}
	x.Ratings = placement.Rate(in, x.Candidates)
}

// Explain places a request of a workspace as if it had just arrived. It sends nothing and
// records nothing.
func (f *Forwarder) Explain(ctx context.Context, host, path, workspace string, request wire.Request) (*Explanation, *errkind.Error) {
	fl := &flow{Forwarder: f, arrived: time.Now(), request: request, excluded: map[fleet.Incarnation]bool{}}
	var ok bool
	if fl.view, ok = f.View(); !ok || fl.view.Estate == nil {
		return nil, errkind.NewRetryAfter(errkind.ConfigurationMissing, noEstateRetryAfter, "")
	}
	if refusal := fl.resolveRoute(host, path); refusal != nil {
		return nil, refusal
	}
	if fl.workspace = fl.view.Estate.Workspace(workspace); fl.workspace == nil && workspace != "" {
		return nil, errkind.New(errkind.UnknownWorkspace, "%q", workspace)
	}
	fl.cacheDomain = fl.view.Estate.CacheDomain(fl.workspace)
	x := &Explanation{
		Route: fl.routeName(), Service: fl.serviceName(), Estate: fl.estateVersion(), ListAge: fl.age(fl.view.TargetsCurrentAt),
		Targets: fl.view.Targets[fl.service.Name],
	}
	fl.updateRestrictions()
	dst, refusal := fl.choose(ctx)
	x.Refusal = refusal
	if dst != nil {
		x.Chosen = dst.target.Instance
	}
	if fl.service.Engine != nil && fl.route.HasPrompts {
		x.addRatings(ctx, fl)
	}
	return x, nil
}
