// Package cluster runs a whole deployment on loopback addresses, for the demo and for tests.
//
// The entries and sidecars are real daemons, in this process or in processes of their own. The
// platform, the engines and the plain targets are stand-ins.
package cluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/daemon"
	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// Options configures a cluster.
type Options struct {
	// ConfigText is the configuration. Its target addresses are replaced by free ones.
	ConfigText string
	// Entries is the number of entry processes.
	Entries     int
	EngineCosts standin.EngineCosts
	// AdjustSettings, if set, modifies the settings of each process before its first start.
	AdjustSettings func(*settings.Settings)
	// LogOutput receives the logs of daemons in this process.
	LogOutput io.Writer
	// Launch starts a daemon; nil runs it in this process.
	Launch func(*settings.Settings) (Process, error)
	// MaxWeightLoads is the number of concurrent loads that the weight store supports, at least
	// and by default 2.
	MaxWeightLoads int
}

// Process is a running daemon. Close ends it at once.
type Process interface{ Close() }

// Cluster is a running deployment. Engines, PlainTargets and Sidecars are by target name.
type Cluster struct {
	options      Options
	Log          *standin.Log
	Hosts        *standin.Hosts
	Engines      map[string]*standin.Engine
	PlainTargets map[string]*standin.Plain
	WeightStore  *standin.WeightStore
	Entries      []Process
	Sidecars     map[string]Process
	// EntrySettings and SidecarSettings are the settings for restarts.
	EntrySettings   []*settings.Settings
	SidecarSettings map[string]*settings.Settings
	ConfigText      string
	servers         []*http.Server
}

// DefaultEngineCosts are engine costs for demos and tests.
var DefaultEngineCosts = standin.EngineCosts{
	PrefillTokensPerSecond: 20_000,
	DecodeStep:             2 * time.Millisecond,
	DecodePerPeer:          200 * time.Microsecond,
	MaxBatch:               8,
	CacheBlocks:            600,
	LoadTime:               500 * time.Millisecond,
}

const defaultMaxWeightLoads = 2

// The ports are below the usual ephemeral range, so that a process finds its port free when it
// restarts.
const (
	firstPort = 10_000
	portRange = 20_000
)

var nextPort atomic.Int64

// loopbackHost is a random loopback address, so that concurrent test processes don't compete for
// ports.
var loopbackHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// FreeAddress returns a loopback address that is not in use and that was not returned before.
func FreeAddress() (string, error) {
	for range portRange {
		address := fmt.Sprintf("%s:%d", loopbackHost, firstPort+nextPort.Add(1)%portRange)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// Start starts a cluster and waits until all its processes are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{
		options: o, Log: standin.NewLog(), Hosts: standin.NewHosts(),
		Engines: map[string]*standin.Engine{}, PlainTargets: map[string]*standin.Plain{},
		WeightStore: standin.NewWeightStore(max(o.MaxWeightLoads, defaultMaxWeightLoads)), Sidecars: map[string]Process{}, SidecarSettings: map[string]*settings.Settings{},
	}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	parsed, err := config.Parse("configuration", c.options.ConfigText)
	if err != nil {
		return err
	}
	if c.ConfigText, err = assignAddresses(c.options.ConfigText, parsed); err != nil {
		return err
	}
	if parsed, err = config.Parse("configuration", c.ConfigText); err != nil {
		return err
	}
	data, err := configlog.Encode(configlog.Record{Type: configlog.TypePublish, Nonce: "first", Text: c.ConfigText})
	if err != nil {
		return err
	}
	c.Log.AppendRecord(configlog.Stream, data)
	logURL, err := c.Serve(c.Log.Handler())
	if err != nil {
		return err
	}
	hostsURL, err := c.Serve(c.Hosts.Handler())
	if err != nil {
		return err
	}
	if err := c.startSidecars(parsed, logURL, hostsURL); err != nil {
		return err
	}
	if err := c.startEntries(parsed, logURL, hostsURL); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// assignAddresses replaces the address of each target in a configuration by a free one.
func assignAddresses(text string, c *config.Config) (string, error) {
	for i := range c.Services {
		for _, t := range c.Services[i].Targets {
			address, err := FreeAddress()
			if err != nil {
				return "", err
			}
			text = strings.ReplaceAll(text, `"`+t.Address+`"`, `"`+address+`"`)
		}
	}
	return text, nil
}

// Serve serves a handler on a free address until Close, and returns its base URL.
func (c *Cluster) Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (c *Cluster) startSidecars(parsed *config.Config, logURL, hostsURL string) error {
	for i := range parsed.Services {
		service := &parsed.Services[i]
		for _, t := range service.Targets {
			url, err := c.Serve(c.newTarget(service, parsed.ModelOf(service.Name), t.Name))
			if err != nil {
				return err
			}
			s, err := c.newSettings(settings.RoleSidecar, t.Name, t.Address, logURL, hostsURL)
			if err != nil {
				return err
			}
			s.Target.URL = url
			s.AvailabilityZone = t.AvailabilityZone
			s.Region = parsed.RegionOf(t.AvailabilityZone)
			c.SidecarSettings[t.Name] = s
			if err := c.StartSidecar(t.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// newTarget returns the stand-in for a target.
func (c *Cluster) newTarget(service *config.Service, model *config.Model, name string) http.Handler {
	if service.Kind == config.KindEngine {
		e := standin.NewEngine(c.options.EngineCosts, model.Weights, c.WeightStore)
		c.Engines[name] = e
		return e.Handler()
	}
	p := standin.NewPlain()
	c.PlainTargets[name] = p
	return p.Handler()
}

func (c *Cluster) startEntries(parsed *config.Config, logURL, hostsURL string) error {
	region := parsed.Regions[0]
	for i := range c.options.Entries {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		s, err := c.newSettings(settings.RoleEntry, fmt.Sprintf("entry-%d", i+1), address, logURL, hostsURL)
		if err != nil {
			return err
		}
		s.Region = region.Name
		s.AvailabilityZone = region.AvailabilityZones[i%len(region.AvailabilityZones)]
		c.EntrySettings = append(c.EntrySettings, s)
		c.Entries = append(c.Entries, nil)
		if err := c.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newSettings(role settings.Role, name, listen, logURL, hostsURL string) (*settings.Settings, error) {
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`name = %q
role = %q
region = "-"
availability_zone = "-"
listen = %q
admin_listen = %q
[platform]
log_url = %q
hosts_url = %q
[target]
url = "-"
max_running = 8
max_prefilling = 1
prefill_tokens_per_second = 20000.0
[timing]
drain_delay = "100ms"
hosts_period = "500ms"
`, name, role, listen, admin, logURL, hostsURL)
	s, err := settings.Parse(name, text)
	if err != nil {
		return nil, err
	}
	for _, other := range c.SidecarSettings {
		s.Peers = append(s.Peers, other.Listen)
		if len(s.Peers) == 3 {
			break
		}
	}
	if c.options.AdjustSettings != nil {
		c.options.AdjustSettings(s)
	}
	return s, nil
}

func (c *Cluster) launch(s *settings.Settings) (Process, error) {
	if c.options.Launch != nil {
		return c.options.Launch(s)
	}
	return daemon.New(s, c.options.LogOutput)
}

// StartSidecar starts or restarts the sidecar of a target.
func (c *Cluster) StartSidecar(name string) error {
	d, err := c.launch(c.SidecarSettings[name])
	if err != nil {
		return err
	}
	c.Sidecars[name] = d
	return nil
}

// StartEntry starts or restarts an entry.
func (c *Cluster) StartEntry(i int) error {
	d, err := c.launch(c.EntrySettings[i])
	if err != nil {
		return err
	}
	c.Entries[i] = d
	return nil
}

// EntryURL returns the base URL of an entry.
func (c *Cluster) EntryURL(i int) string { return "http://" + c.EntrySettings[i].Listen }

// PrefilledTokens returns the number of prompt tokens that the engines prefilled.
func (c *Cluster) PrefilledTokens() int {
	n := 0
	for _, e := range c.Engines {
		n += e.Stats().PrefillTokens
	}
	return n
}

// WaitReady waits until all processes are ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, s := range c.EntrySettings {
		if err := WaitReady(ctx, s.AdminListen); err != nil {
			return err
		}
	}
	for _, s := range c.SidecarSettings {
		if err := WaitReady(ctx, s.AdminListen); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until a process is ready.
func WaitReady(ctx context.Context, adminAddress string) error {
	const pollInterval = 10 * time.Millisecond
	for {
		resp, err := http.Get("http://" + adminAddress + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s is not ready", adminAddress)
		}
	}
}

// Close ends all processes and servers at once.
func (c *Cluster) Close() {
	for _, d := range c.Entries {
		if d != nil {
			d.Close()
		}
	}
	for _, d := range c.Sidecars {
		d.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}
