package forward

import (
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

// Explain decides on a request of a workspace as if it came now. Nothing is sent
// and nothing is kept of it.
func (f *Forwarder) Explain(host, path, workspace string, request wire.Request) (*Explanation, *errkind.Error) {
	fl := &flow{Forwarder: f, arrived: time.Now(), request: request, excluded: map[fleet.Life]bool{}}
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
		Route: fl.routeName(), Service: fl.serviceName(), Estate: fl.estateVersion(), ListAge: fl.since(fl.view.ListedAt),
		Targets: fl.view.Targets[fl.service.Name],
	}
	to, refusal := fl.choose()
	x.Refusal = refusal
	if to != nil {
		x.Chosen = to.target.Instance
	}
	if fl.service.Engine != nil && fl.route.Prompted {
		x.Candidates = fl.candidates()
		x.Ratings = placement.Rate(fl.question(), x.Candidates)
	}
	return x, nil
}
