// Package admin serves the administration address of a process: metrics,
// liveness, readiness and the administration API.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Process is what the administration API shows.
type Process struct {
	Name, Role, Zone string
	// TokenSHA256 is the hex digest of the administration token; without one no
	// token opens the API.
	TokenSHA256 string
	// StartedMs is Unix time in milliseconds.
	StartedMs int64
	Registry  *prometheus.Registry
	// Config returns the version and the text of the configuration in force.
	Config func() (version int64, text string, ok bool)
	// Targets returns the targets as the process sees them.
	Targets func() []oas.Target
	// Goals are the objectives, where no configuration states them; may be nil.
	Goals func() []burn.Goal
	// Placement says where a request would go; nil for processes that place none.
	Placement func(context.Context, oas.GetPlacementParams) (*oas.Placement, error)
	// Quarantine lists the requests under which targets ended, and Release lets one go; it
	// reports whether anything was held against it. Both are nil for processes that keep no
	// records of requests.
	Quarantine func() []oas.QuarantinedRequest
	Release    func(print string) bool
	// Limits lists the workspaces that have a rate limit; nil for processes that keep none.
	Limits func() []oas.WorkspaceLimit
	// Ready tells whether the process can serve.
	Ready func() bool
	// Burn may be nil.
	Burn *burn.Counter
	// InFlight is the number of requests being served.
	InFlight func() int
	// Draining is set when a planned stop has begun.
	Draining func() bool
}

// Handler serves the administration address.
func Handler(p *Process) (http.Handler, error) {
	api, err := oas.NewServer(&server{p}, &security{p}, oas.WithErrorHandler(serveError))
	if err != nil {
		return nil, errors.Wrap(err, "administration API")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", p.serveReady)
	mux.Handle("/admin/v1/", api)
	return mux, nil
}

func (p *Process) ready() bool {
	return p.Ready() && !p.Draining()
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

type server struct{ *Process }

// GetState implements oas.Handler.
func (s *server) GetState(context.Context) (*oas.State, error) {
	version, _, _ := s.Config()
	return &oas.State{
		Name: s.Name, Role: s.Role, AvailabilityZone: s.Zone, ConfigVersion: version, StartedUnixMs: s.StartedMs,
		Ready: s.ready(), Draining: s.Draining(), InFlight: s.InFlight(),
	}, nil
}

// GetTargets implements oas.Handler.
func (s *server) GetTargets(context.Context) (*oas.TargetList, error) {
	return &oas.TargetList{Targets: append([]oas.Target{}, s.Targets()...)}, nil
}

// GetConfiguration implements oas.Handler.
func (s *server) GetConfiguration(context.Context) (*oas.Configuration, error) {
	version, text, ok := s.Config()
	if !ok {
		return nil, errkind.New(errkind.ConfigurationMissing, "")
	}
	return &oas.Configuration{Version: version, Text: text}, nil
}

// GetBurn implements oas.Handler.
func (s *server) GetBurn(context.Context) (*oas.Burn, error) {
	b := &oas.Burn{SinceUnixMs: s.StartedMs, Rows: []oas.BurnRow{}}
	if s.Burn == nil {
		return b, nil
	}
	if s.Goals != nil {
		for _, g := range s.Goals() {
			b.Goals = append(b.Goals, oas.BurnGoal{Service: g.Service, Class: g.Class, Goal: g.Goal})
		}
	}
	for _, c := range s.Burn.Counts() {
		b.Rows = append(b.Rows, oas.BurnRow{
			Service: c.Service, Class: c.Class, Workspace: c.Workspace, MinuteUnix: c.Minute, Good: c.Good, Bad: c.Bad,
		})
	}
	return b, nil
}

// GetPlacement implements oas.Handler.
func (s *server) GetPlacement(ctx context.Context, params oas.GetPlacementParams) (*oas.Placement, error) {
	if s.Placement == nil {
		return nil, errkind.New(errkind.UnknownRoute, "this process places no requests; ask an entry of a gateway")
	}
	return s.Placement(ctx, params)
}

// errNoRecords is what processes answer that keep no records of requests.
var errNoRecords = errkind.New(errkind.UnknownRoute, "this process keeps no records of requests; ask an entry of a gateway")

// GetQuarantine implements oas.Handler.
func (s *server) GetQuarantine(context.Context) (*oas.Quarantine, error) {
	if s.Quarantine == nil {
		return nil, errNoRecords
	}
	return &oas.Quarantine{Requests: append([]oas.QuarantinedRequest{}, s.Quarantine()...)}, nil
}

// ReleaseRequest implements oas.Handler.
func (s *server) ReleaseRequest(_ context.Context, params oas.ReleaseRequestParams) error {
	if s.Release == nil {
		return errNoRecords
	}
	if !s.Release(params.Print) {
		return errkind.New(errkind.UnknownRun, "nothing is held against request %s", params.Print)
	}
	return nil
}

// GetLimits implements oas.Handler.
func (s *server) GetLimits(context.Context) (*oas.Limits, error) {
	if s.Limits == nil {
		return nil, errkind.New(errkind.UnknownRoute, "this process keeps no rate limits; ask an entry of a gateway")
	}
	return &oas.Limits{Workspaces: append([]oas.WorkspaceLimit{}, s.Limits()...)}, nil
}

// NewError implements oas.Handler.
func (s *server) NewError(_ context.Context, err error) *oas.ProblemStatusCode { return problem(err) }

func problem(err error) *oas.ProblemStatusCode {
	e := errkind.From(err)
	var sec *ogenerrors.SecurityError
	if errors.As(err, &sec) {
		e = errkind.New(errkind.Unauthenticated, "send Authorization: Bearer TOKEN of the administration")
	}
	row := e.Kind.Spec()
	p := oas.Problem{Type: "urn:toucanwell:error:" + row.Name, Title: row.Title, Status: row.Status}
	if e.Detail != "" {
		p.Detail = oas.NewOptString(e.Detail)
	}
	return &oas.ProblemStatusCode{StatusCode: row.Status, Response: p}
}

func serveError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := problem(err)
	body, _ := p.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.StatusCode)
	_, _ = w.Write(body)
}

type security struct{ *Process }

// HandleAdminToken implements oas.SecurityHandler. Without a configured digest
// no token opens the API.
func (s *security) HandleAdminToken(ctx context.Context, _ oas.OperationName, t oas.AdminToken) (context.Context, error) {
	sum := sha256.Sum256([]byte(t.Token))
	want := strings.ToLower(s.TokenSHA256)
	if want == "" || subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(want)) != 1 {
		return ctx, errkind.New(errkind.Unauthenticated, "")
	}
	return ctx, nil
}
