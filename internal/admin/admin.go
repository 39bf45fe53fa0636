// Package admin serves the administration address of a process: metrics, liveness, readiness
// and the administration API.
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

// Process provides the data that the administration API serves.
type Process struct {
	Name, Role, Zone string
	// TokenSHA256 is the hex digest of the administration token. If it is empty, the API
	// rejects all requests.
	TokenSHA256 string
	// StartedMs is the start time in Unix milliseconds.
	StartedMs int64
	Registry  *prometheus.Registry
	// Config returns the version and text of the configuration in force.
	Config func() (version int64, text string, ok bool)
	// Targets returns the targets known to the process.
	Targets func() []oas.Target
	// Goals returns the objectives if the configuration doesn't define them; may be nil.
	Goals func() []burn.Goal
	// Placement returns where a request would be sent; nil for processes that don't route.
	Placement func(context.Context, oas.GetPlacementParams) (*oas.Placement, error)
	// Quarantine lists the requests that targets crashed on. Release removes one from
	// quarantine and reports whether it was listed. Both are nil for processes without a
	// quarantine.
	Quarantine func() []oas.QuarantinedRequest
	Release    func(fingerprint string) bool
	// Limits lists the workspaces with a rate limit; nil for processes that don't enforce any.
	Limits func() []oas.WorkspaceLimit
	// Queue returns the requests that wait for a target; nil for processes without a queue.
	Queue func() *oas.Queue
	// Ready reports whether the process can serve requests.
	Ready func() bool
	// Burn counts the error budget burn; may be nil.
	Burn *burn.Counter
	// InFlight returns the number of requests being served.
	InFlight func() int
	// Draining reports whether a graceful shutdown has begun.
	Draining func() bool
}

// Handler returns the HTTP handler for the administration address.
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
		return nil, errkind.New(errkind.UnknownRoute, "this process doesn't route requests; query a gateway entry")
	}
	return s.Placement(ctx, params)
}

// errNoQuarantine is returned by processes without a quarantine.
var errNoQuarantine = errkind.New(errkind.UnknownRoute, "this process has no quarantine; query a gateway entry")

// GetQuarantine implements oas.Handler.
func (s *server) GetQuarantine(context.Context) (*oas.Quarantine, error) {
	if s.Quarantine == nil {
		return nil, errNoQuarantine
	}
	return &oas.Quarantine{Requests: append([]oas.QuarantinedRequest{}, s.Quarantine()...)}, nil
}

// ReleaseRequest implements oas.Handler.
func (s *server) ReleaseRequest(_ context.Context, params oas.ReleaseRequestParams) error {
	if s.Release == nil {
		return errNoQuarantine
	}
	if !s.Release(params.Print) {
		return errkind.New(errkind.UnknownRun, "request %s is not in quarantine", params.Print)
	}
	return nil
}

// GetLimits implements oas.Handler.
func (s *server) GetLimits(context.Context) (*oas.Limits, error) {
	if s.Limits == nil {
		return nil, errkind.New(errkind.UnknownRoute, "this process doesn't enforce rate limits; query a gateway entry")
	}
	return &oas.Limits{Workspaces: append([]oas.WorkspaceLimit{}, s.Limits()...)}, nil
}

// GetQueue implements oas.Handler.
func (s *server) GetQueue(context.Context) (*oas.Queue, error) {
	if s.Queue == nil {
		return nil, errkind.New(errkind.UnknownRoute, "this process has no queue; query a gateway entry")
	}
	return s.Queue(), nil
}

// NewError implements oas.Handler.
func (s *server) NewError(_ context.Context, err error) *oas.ProblemStatusCode { return problem(err) }

// problem converts an error to its problem details response.
func problem(err error) *oas.ProblemStatusCode {
	e := errkind.From(err)
	var sec *ogenerrors.SecurityError
	if errors.As(err, &sec) {
		e = errkind.New(errkind.Unauthenticated, "send Authorization: Bearer TOKEN with the administration token")
	}
	spec := e.Kind.Spec()
	p := oas.Problem{Type: "urn:toucanwell:error:" + spec.Name, Title: spec.Title, Status: spec.Status}
	if e.Detail != "" {
		p.Detail = oas.NewOptString(e.Detail)
	}
	return &oas.ProblemStatusCode{StatusCode: spec.Status, Response: p}
}

func serveError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := problem(err)
	body, _ := p.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.StatusCode)
	_, _ = w.Write(body)
}

type security struct{ *Process }

// HandleAdminToken implements oas.SecurityHandler. It rejects every token if no digest is
// configured.
func (s *security) HandleAdminToken(ctx context.Context, _ oas.OperationName, t oas.AdminToken) (context.Context, error) {
	sum := sha256.Sum256([]byte(t.Token))
	want := strings.ToLower(s.TokenSHA256)
	if want == "" || subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(want)) != 1 {
		return ctx, errkind.New(errkind.Unauthenticated, "")
	}
	return ctx, nil
}
