package gateway

import (
	"net/netip"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/tomltext"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is unique among all processes of the deployment. Required.
	Name string `toml:"name"`
	// Role is "entry" or "sidecar". Required.
	Role settings.Role `toml:"role"`
	// Region and AvailabilityZone are the location of the host. AvailabilityZone is required.
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`
	// Listen is the address that serves callers. Required for an entry.
	Listen string `toml:"listen"`
	// ReadyListen is the address of the load balancer's readiness check. Required for an
	// entry.
	ReadyListen string `toml:"ready_listen"`
	// MeshListen is the address for heartbeats (UDP) and fetches (HTTP) of other processes.
	// All processes of a deployment use the same port. Required.
	MeshListen string `toml:"mesh_listen"`
	// MetricsListen is the address that serves Prometheus metrics. Required.
	MetricsListen string `toml:"metrics_listen"`
	// ProbeListen is the UDP address on which a sidecar answers the entries' probes. All
	// processes of a deployment use the same port. Empty disables probes: entries then rely on
	// broadcasts, which suits deployments of up to some tens of hosts.
	ProbeListen string `toml:"probe_listen"`
	// LargeEntries and LargeEngines are the fleet sizes up to which work and cache contents
	// are broadcast to all entries. In larger fleets entries probe the sidecars of candidate
	// engines instead. Default 24 and 60.
	LargeEntries int `toml:"large_entries"`
	LargeEngines int `toml:"large_engines"`
	// LimitsListen is the UDP address on which an entry serves the other entries' rate-limit
	// leases. All entries of a deployment use the same port. Empty disables rate limits.
	LimitsListen string `toml:"limits_listen"`
	// AdminListen is the address of the administration API. Empty disables it.
	AdminListen string `toml:"admin_listen"`
	// AdminTokenSHA256 is the hex digest of the administration token. If it is empty, the API
	// refuses all requests.
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
	// ServiceLevel is the share of requests that should meet their route's target latency. It
	// is the objective of the burn-rate report. Default 0.95.
	ServiceLevel float64 `toml:"service_level"`
	// Seeds are addresses on hosts that may run other processes. Their ports are ignored.
	Seeds []string `toml:"seeds"`
	// Contracts are the names of the platform's rules that are in force. The platform's adapter decides
	// which features they call for.
	Contracts []string `toml:"contracts"`
	// FirstStart is set while the whole deployment starts for the first time, without traffic.
	FirstStart bool `toml:"first_start"`
	// Engine is the address of a sidecar's engine. Required for a sidecar.
	Engine string `toml:"engine"`
	// Service is the engine's service.
	Service string `toml:"service"`
	// MemoryMB is the memory limit of the process. Default 256.
	MemoryMB int64 `toml:"memory_mb"`
	// LogLinesPerSecond limits the log volume. An entry writes two lines per successful
	// request. Default 600.
	LogLinesPerSecond int `toml:"log_lines_per_second"`
	// LongestStream is the longest time from the first event of a stream to its last resumption. A stream
	// of which no process has a record goes on only if the list has shown a single software version for as
	// long. Default 65s.
	LongestStream settings.Duration `toml:"longest_stream"`

	Store      StoreSettings      `toml:"store"`
	Bounds     BoundsSettings     `toml:"bounds"`
	Quarantine QuarantineSettings `toml:"quarantine"`
	Queue      QueueSettings      `toml:"queue"`
	Speeds     SpeedSettings      `toml:"speeds"`
}

// QuarantineSettings configure how requests that crash targets are treated.
type QuarantineSettings struct {
	// MaxCrashes is how many crashes are attributed to a request before it is refused. Default
	// 3: two crashes may have other causes, and each further one fails all requests that the
	// target is running.
	MaxCrashes int `toml:"ends"`
	// SuspectFor is how long a request stays a suspect after its last crash. Default 1h.
	SuspectFor settings.Duration `toml:"suspect_for"`
	// RefuseFor is how long a request is refused after its last crash. Default 24h, which
	// gives the targets' owners time for a fix.
	RefuseFor settings.Duration `toml:"hold_for"`
	// MaxRecords is the most requests that an entry keeps records of, at about 300 bytes each.
	// The least suspected ones are evicted first. Default 2000.
	MaxRecords int `toml:"records"`
}

// StoreSettings configure the connection to the platform's store.
type StoreSettings struct {
	// Address of the store. Required.
	Address string `toml:"address"`
}

// BoundsSettings are the deployment's time limits and retry budget.
type BoundsSettings struct {
	// GracePeriod is the time between the stop signal and the forced exit. Required.
	GracePeriod settings.Duration `toml:"grace_period"`
	// MaxStaleness is how long engines may run outdated weights after new ones are declared.
	// Required.
	MaxStaleness settings.Duration `toml:"weights"`
	// Configuration is the time in which a declared configuration must be in force at all processes. In
	// large fleets it determines how soon others read the store if those that usually do cannot. Default 4s.
	Configuration settings.Duration `toml:"configuration"`
	// RetryRatio is the number of retries per request that all processes together may make.
	// RetrySlack is the number of additional retries in a window of some seconds. Default 0.1
	// and 10.
	RetryRatio float64 `toml:"retry_ratio"`
	RetrySlack float64 `toml:"retry_slack"`
}

// LoadSettings reads and validates the settings file at path.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, string(text))
}

const (
	defaultMemoryMB   = 256
	defaultLogLines   = 600
	defaultRetryRatio = 0.1
	defaultRetrySlack = 10
	// The cost of broadcasts grows with entries times engines. At a hundred of each, they take
	// most of the CPU of a small entry.
	defaultLargeEntries = 24
	defaultLargeEngines = 60
	defaultServiceLevel = 0.95
	defaultMaxCrashes   = 3
	defaultSuspectFor   = time.Hour
	defaultRefuseFor    = 24 * time.Hour
	defaultMaxRecords   = 2000
	// defaultConfiguration leaves time for a read that fails and for the way through a fleet of hundreds.
	defaultConfiguration = 4 * time.Second
	// defaultLongestStream includes a margin for the lag of target lists.
	defaultLongestStream = 65 * time.Second
)

// ParseSettings decodes and validates a settings text. The name is used in error messages.
func ParseSettings(name, text string) (*Settings, error) {
	s := &Settings{
		MemoryMB: defaultMemoryMB, LogLinesPerSecond: defaultLogLines, LongestStream: settings.Duration{Duration: defaultLongestStream}, ServiceLevel: defaultServiceLevel,
		LargeEntries: defaultLargeEntries, LargeEngines: defaultLargeEngines,
		Bounds: BoundsSettings{Configuration: settings.Duration{Duration: defaultConfiguration}, RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack},
		Quarantine: QuarantineSettings{
			MaxCrashes: defaultMaxCrashes, SuspectFor: settings.Duration{Duration: defaultSuspectFor}, RefuseFor: settings.Duration{Duration: defaultRefuseFor}, MaxRecords: defaultMaxRecords,
		},
		Queue: QueueSettings{MaxRequests: defaultMaxQueued},
	}
	if err := tomltext.Decode(name, text, s); err != nil {
		return nil, err
	}
	lines := tomltext.Locate(text)
	s.Queue.setDefaults(s.MemoryMB, lines)
	if problems := s.check(lines); len(problems) > 0 {
		return nil, &tomltext.InvalidError{Name: name, Problems: problems}
	}
	return s, nil
}

// seed returns a random seed that differs between processes.
func (s *Settings) seed() uint64 { return xxhash.Sum64String(s.Name) }

// meshAddress returns the address by which other processes know this one.
func (s *Settings) meshAddress() netip.AddrPort { return netip.MustParseAddrPort(s.MeshListen) }

// probeAddress returns the address that serves probes, or false if probes are disabled.
func (s *Settings) probeAddress() (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(s.ProbeListen)
	return address, err == nil
}

// seedHosts returns the hosts that may run other processes.
func (s *Settings) seedHosts() []netip.Addr {
	var hosts []netip.Addr
	for _, seed := range s.Seeds {
		hosts = append(hosts, netip.MustParseAddrPort(seed).Addr())
	}
	return hosts
}

// stopTimeout returns how long a graceful shutdown may take.
func (s *Settings) stopTimeout() time.Duration { return s.Bounds.GracePeriod.Duration - graceMargin }

// graceMargin is the part of the grace period that is reserved for closing connections and
// exiting.
const graceMargin = 700 * time.Millisecond
