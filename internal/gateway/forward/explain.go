package forward

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Explanation says where a request would go, and why.
type Explanation struct {
	Route, Service string
	Estate         int64
	ListAge        time.Duration
	// Chosen is the instance of the target; empty when the request would be
	// refused, or would go to a plain target.
	Chosen string
	// Refusal is what the caller would be told now; nil when the request would be
	// sent.
	Refusal *errkind.Error
	// Targets are the service's, Candidates and Ratings what the decision knows
	// and makes of them. The latter two are empty for plain targets.
	Targets    []fleet.Target
	Candidates []placement.Candidate
	Ratings    []placement.Rating
}

// rate fills in what the decision makes of each engine that it considers.
func (x *Explanation) addRatings(ctx context.Context, fl *flow) {
	in := fl.placementInput()
	if p := fl.probeEngines(ctx, in); p != nil {
		x.Targets, x.Candidates = p.targets, p.candidates
	} else {
		x.Candidates = fl.candidates()
	}
	x.Ratings = placement.Rate(in, x.Candidates)
}

// Explain decides on a request of a workspace as if it came now. Nothing is sent
// and nothing is kept of it.
func (f *Forwarder) Explain(ctx context.Context, host, path, workspace string, request wire.Request) (*Explanation, *errkind.Error) {
	fl := &flow{Forwarder: f, arrived: time.Now(), request: request, excluded: map[fleet.Life]bool{}}
	var ok bool
	if fl.view, ok = f.View(); !ok || fl.view.Estate == nil {
		return nil, errkind.After(errkind.ConfigurationMissing, noEstateRetryAfter, "")
	}
	if refusal := fl.resolveRoute(host, path); refusal != nil {
		return nil, refusal
	}
	if fl.workspace = fl.view.Estate.Workspace(workspace); fl.workspace == nil && workspace != "" {
		return nil, errkind.New(errkind.UnknownWorkspace, "%q", workspace)
	}
	x := &Explanation{
		Route: fl.routeName(), Service: fl.serviceName(), Estate: fl.estateVersion(), ListAge: fl.age(fl.view.ListedAt),
		Targets: fl.view.Targets[fl.service.Name],
	}
	dst, refusal := fl.choose(ctx)
	x.Refusal = refusal
	if dst != nil {
		x.Chosen = dst.target.Instance
	}
	if fl.service.Engine != nil && fl.route.Prompted {
		x.addRatings(ctx, fl)
	}
	return x, nil
}
