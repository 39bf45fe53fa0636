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
func (x *Explanation) rate(ctx context.Context, fl *flow) {
	q := fl.question()
	if p := fl.probeEngines(ctx, q); p != nil {
		x.Targets, x.Candidates = p.targets, p.candidates
	} else {
		x.Candidates = fl.candidates()
	}
	x.Ratings = placement.Rate(q, x.Candidates)
}

// Explain decides on a request of a workspace as if it came now. Nothing is sent
// and nothing is kept of it.
func (f *Forwarder) Explain(ctx context.Context, host, path, workspace string, request wire.Request) (*Explanation, *errkind.Error) {
	fl := &flow{Forwarder: f, arrived: time.Now(), request: request, excluded: map[fleet.Incarnation]bool{}}
	var ok bool
	if fl.view, ok = f.View(); !ok || fl.view.Estate == nil {
		return nil, errkind.After(errkind.ConfigurationMissing, noEstateRetry, "")
	}
	if refusal := fl.assign(host, path); refusal != nil {
		return nil, refusal
	}
	if fl.workspace = fl.view.Estate.Workspace(workspace); fl.workspace == nil && workspace != "" {
		return nil, errkind.New(errkind.UnknownWorkspace, "%q", workspace)
	}
	x := &Explanation{
		Route: fl.routeName(), Service: fl.serviceName(), Estate: fl.estateVersion(), ListAge: fl.since(fl.view.TargetsCurrentAt),
		Targets: fl.view.Targets[fl.service.Name],
	}
	to, refusal := fl.choose(ctx)
	x.Refusal = refusal
	if to != nil {
		x.Chosen = to.target.Instance
	}
	if fl.service.Engine != nil && fl.route.HasPrompts {
		x.rate(ctx, fl)
	}
	return x, nil
}
