// Package daemon runs a process of the system: the role given in its settings, its
// listeners and its graceful shutdown.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/admin"
	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/entry"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/logging"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/probe"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/sidecar"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection without requests is kept.
	idleTimeout = 2 * time.Minute
	// maxAdminBody is the maximum size of a request to the administration server, adminReadTimeout the time
	// in which it must have arrived.
	maxAdminBody     = 1 << 20
	adminReadTimeout = 10 * time.Second
	peerDialTimeout  = 500 * time.Millisecond
	peerIdleTimeout  = 10 * time.Second
	peerPingAfter    = time.Second
	peerPingTimeout  = time.Second
	// connDivisor divides the memory of an entry into the part for callers' connections, heads and small
	// bodies, adminConnDivisor that of a process into the part for connections to its administration server.
	connDivisor      = 4
	adminConnDivisor = 64
)

// role is an entry or a sidecar.
type role interface {
	Start()
	Handler() http.Handler
	Close()
}

// Daemon is a running process.
type Daemon struct {
	settings *settings.Settings
	logger   logr.Logger
	role     role
	drain    func(ctx context.Context)
	traffic  *http.Server
	admin    *http.Server
	// probes is the probe client of an entry or the probe server of a sidecar.
	probes io.Closer
	// conns tracks the connections of callers, or of entries, which are few.
	conns    *callers.Conns
	peers    *http.Client
	platform *http.Client
	draining atomic.Bool
	failed   chan error
}

// New binds the listeners and starts the process. It binds first, because owning
// the listen address proves that no earlier process of this name is running.
func New(s *settings.Settings, logOutput io.Writer) (*Daemon, error) {
	d := &Daemon{
		settings: s, logger: logging.New(logOutput, s.Name),
		peers: newPeerClient(), platform: external.NewHTTPClient(), failed: make(chan error, 2),
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		listener.Close()
		return nil, errors.Wrap(err, "admin_listen")
	}
	if err := d.build(); err != nil {
		listener.Close()
		adminListener.Close()
		return nil, err
	}
	d.role.Start()
	d.serve(listener, adminListener)
	d.logger.Info("started", "role", string(s.Role), "listen", s.Listen, "admin_listen", s.AdminListen)
	return d, nil
}

func (d *Daemon) build() error {
	m := metrics.New()
	process := &admin.Process{
		Name: d.settings.Name, Role: string(d.settings.Role), Zone: d.settings.AvailabilityZone, TokenSHA256: d.settings.AdminTokenSHA256,
		StartedMs: time.Now().UnixMilli(), Registry: m.Registry, Draining: d.draining.Load,
	}
	log := external.NewHTTPLog(d.settings.Platform.LogURL, d.platform)
	mux := http.NewServeMux()
	var err error
	if d.settings.Role == settings.RoleEntry {
		err = d.buildEntry(log, m, process, mux)
	} else {
		err = d.buildSidecar(log, m, process)
	}
	if err != nil {
		return err
	}
	handler, err := admin.Handler(process)
	if err != nil {
		return err
	}
	mux.Handle("/", handler)
	d.admin = newServer(http.MaxBytesHandler(mux, maxAdminBody))
	d.admin.ReadTimeout = adminReadTimeout
	return nil
}

func (d *Daemon) buildEntry(log external.Log, m *metrics.Metrics, process *admin.Process, mux *http.ServeMux) error {
	prober, err := probe.NewClient(d.settings.Listen)
	if err != nil {
		return err
	}
	d.probes = prober
	connections := buffers.NewBudget(d.settings.MemoryMB << 20 / connDivisor)
	d.conns = callers.NewConns(connections, func(reason string) {
		m.ConnectionShed(reason)
		d.logger.Info("caller_connection_shed", "reason", reason)
	})
	deps := entry.Deps{Log: log, Peers: d.peers, Prober: prober, Logger: d.logger, Metrics: m, Connections: connections}
	if d.settings.Platform.HostsURL != "" {
		deps.Hosts = external.NewHTTPHosts(d.settings.Platform.HostsURL, d.platform)
	}
	e, err := entry.New(d.settings, deps)
	if err != nil {
		return err
	}
	d.role = e
	d.drain = func(ctx context.Context) {}
	d.traffic = newServer(e.Handler())
	mux.Handle(e.PeerHandler())
	process.Burn = e.Burn()
	process.InFlight = e.InFlight
	process.Config = activeConfig(e.Board().Config.Get)
	process.Ready = e.Ready
	process.Targets = adminTargets(func() []routing.Target {
		view, _ := e.Board().View.Get()
		var all []routing.Target
		for _, targets := range view.Services {
			all = append(all, targets...)
		}
		return all
	})
	return nil
}

func (d *Daemon) buildSidecar(log external.Log, m *metrics.Metrics, process *admin.Process) error {
	s := sidecar.New(d.settings, sidecar.Deps{
		Log:    log,
		Engine: external.NewHTTPEngine(d.settings.Target.URL, d.platform),
		Plain:  external.NewHTTPPlain(d.settings.Target.URL, d.platform),
		Peers:  d.peers, Logger: d.logger, Metrics: m,
	})
	d.role = s
	d.conns = callers.NewConns(nil, nil)
	d.drain = s.Drain
	d.traffic = newServer(s.Handler())
	process.InFlight = s.InFlight
	process.Config = activeConfig(s.Board().Config.Get)
	process.Ready = s.Ready
	process.Targets = adminTargets(func() []routing.Target { return configuredTargets(s.Board().Config.Get()) })
	server, err := probe.NewServer(d.settings.Listen, s.Probe)
	if err != nil {
		return err
	}
	d.probes = server
	return nil
}

// activeConfig returns a function that returns the version and text in force.
func activeConfig(get func() (configlog.Snapshot, bool)) func() (int64, string, bool) {
	return func() (int64, string, bool) {
		s, ok := get()
		return int64(s.Version), s.Text, ok
	}
}

var stateNames = map[routing.State]oas.TargetState{
	routing.Live:    oas.TargetStateLive,
	routing.Leaving: oas.TargetStateLeaving,
	routing.Suspect: oas.TargetStateSuspect,
}

// adminTargets converts targets to those of the administration API.
func adminTargets(targets func() []routing.Target) func() []oas.Target {
	return func() []oas.Target {
		var all []oas.Target
		for _, t := range targets() {
			all = append(all, oas.Target{Name: t.Name, Service: t.Service, AvailabilityZone: t.Zone, Address: t.Address, State: stateNames[t.State]})
		}
		return all
	}
}

func configuredTargets(snapshot configlog.Snapshot, ok bool) []routing.Target {
	if !ok {
		return nil
	}
	var all []routing.Target
	for i := range snapshot.Config.Services {
		service := &snapshot.Config.Services[i]
		for _, t := range service.Targets {
			all = append(all, routing.NewTarget(service.Name, t.Name, t.Address, t.AvailabilityZone, snapshot.Config.RegionOf(t.AvailabilityZone)))
		}
	}
	return all
}

func (d *Daemon) serve(traffic, adminListener net.Listener) {
	encrypted := d.settings.TLS.CertFile != ""
	traffic = d.conns.Guard(d.traffic, traffic, encrypted)
	adminListener = callers.NewConns(buffers.NewBudget(d.settings.MemoryMB<<20/adminConnDivisor), nil).Guard(d.admin, adminListener, false)
	go func() {
		if encrypted {
			d.failed <- d.traffic.ServeTLS(traffic, d.settings.TLS.CertFile, d.settings.TLS.KeyFile)
			return
		}
		d.failed <- d.traffic.Serve(traffic)
	}()
	go func() { d.failed <- d.admin.Serve(adminListener) }()
}

// Failed returns a channel with the errors of listeners that stopped.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Stop shuts the process down gracefully. It reports not ready at once, accepts
// late requests for the drain delay, waits for running requests and then closes
// the process. Requests that end within the drain timeout complete.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timing.DrainTimeout.Duration)
	defer cancel()
	d.draining.Store(true)
	d.logger.Info("stopping")
	if d.settings.Role == settings.RoleEntry {
		sleep.For(ctx, d.settings.Timing.DrainDelay.Duration)
	}
	d.drain(ctx)
	if d.settings.Role == settings.RoleSidecar {
		sleep.For(ctx, d.settings.Timing.DrainDelay.Duration)
	}
	if err := d.traffic.Shutdown(ctx); err != nil {
		d.logger.Info("stop_cut_requests", "error", err.Error())
	}
	d.Close()
	d.logger.Info("stopped")
}

// Close stops the process immediately.
func (d *Daemon) Close() {
	_ = d.traffic.Close()
	_ = d.admin.Close()
	_ = d.probes.Close()
	d.role.Close()
	d.peers.CloseIdleConnections()
	d.platform.CloseIdleConnections()
}

// newServer returns a server for HTTP/1.1 and unencrypted HTTP/2.
func newServer(h http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols}
}

// maxHeaderBytes is the maximum size of the headers of a request or response.
const maxHeaderBytes = 64 << 10

// newPeerClient returns a client that uses one HTTP/2 connection per peer. Pings
// detect connections to unreachable or frozen peers.
func newPeerClient() *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:              protocols,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            dialer.DialContext,
		IdleConnTimeout:        peerIdleTimeout,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
	}}
}
