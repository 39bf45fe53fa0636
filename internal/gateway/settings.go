package gateway

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/tomltext"
)

// Settings are the settings of one process in a deployment whose state lies in
// the platform's store.
type Settings struct {
	// Name is unique among the system's processes. Required.
	Name string `toml:"name"`
	// Role is "entry" or "sidecar". Required.
	Role settings.Role `toml:"role"`
	// Region and AvailabilityZone are where the host stands. Required.
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`
	// Listen is where callers connect. Required for an entry.
	Listen string `toml:"listen"`
	// ReadyListen is where the balancer asks whether the process takes callers.
	// Required for an entry.
	ReadyListen string `toml:"ready_listen"`
	// MeshListen is where the other processes send heartbeats and fetch what
	// they lack. Every process of a deployment has the same port. Required.
	MeshListen string `toml:"mesh_listen"`
	// MetricsListen serves metrics. Required.
	MetricsListen string `toml:"metrics_listen"`
	// ProbeListen is where a sidecar answers the entries' probes, over UDP. Every process
	// of a deployment has the same port. Empty turns probes off: entries then go by what
	// all tell each other, which carries some tens of hosts.
	ProbeListen string `toml:"probe_listen"`
	// LargeEntries and LargeEngines are the sizes up to which all processes are told of all
	// work and of all caches. In larger fleets entries ask the sidecars of the engines that
	// they consider. Default 24 and 60.
	LargeEntries int `toml:"large_entries"`
	LargeEngines int `toml:"large_engines"`
	// LimitsListen is where an entry answers the others about workspaces' rate limits, over
	// UDP. Every entry of a deployment has the same port. Empty turns rate limits off.
	LimitsListen string `toml:"limits_listen"`
	// AdminListen serves the administration API. Empty for none.
	AdminListen string `toml:"admin_listen"`
	// AdminTokenSHA256 is the hex digest of the administration token. Empty closes
	// the API.
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
	// ServiceLevel is the share of requests that are to be answered within their
	// route's target latency; the report on burn goes by it. Default 0.95.
	ServiceLevel float64 `toml:"service_level"`
	// Seeds are addresses on hosts where other processes run; their ports do
	// not matter.
	Seeds []string `toml:"seeds"`
	// FirstStart is set while the whole deployment starts for the first time, and no
	// traffic comes yet.
	FirstStart bool `toml:"first_start"`
	// Engine is the engine beside a sidecar. Required for a sidecar.
	Engine string `toml:"engine"`
	// Service is the engine's service.
	Service string `toml:"service"`
	// MemoryMB is the memory that the process may use. Default 256.
	MemoryMB int64 `toml:"memory_mb"`
	// LogLinesPerSecond bounds the log's volume. Default 600: an entry writes two
	// lines for each request that goes well, and has up to 165 requests a second.
	LogLinesPerSecond int `toml:"log_lines_per_second"`

	Store      StoreSettings      `toml:"store"`
	Bounds     BoundsSettings     `toml:"bounds"`
	Quarantine QuarantineSettings `toml:"quarantine"`
}

// QuarantineSettings say what becomes of requests under which targets ended.
type QuarantineSettings struct {
	// Ends is how many targets may end under a request before it is refused. Default 3:
	// two ends may have a cause of their own, and each further one costs all that the
	// target works on.
	MaxCrashes int `toml:"ends"`
	// SuspectFor is how long after its last end a request is a suspect. Default 1h.
	SuspectFor settings.Duration `toml:"suspect_for"`
	// HoldFor is how long a request is refused after its last end. Default 24h: long enough
	// for the targets' owners to mend them.
	RefuseFor settings.Duration `toml:"hold_for"`
	// Records is how many requests an entry keeps a record of, of some 300 bytes each. The
	// least suspected are dropped first. Default 2000.
	MaxRecords int `toml:"records"`
}

// StoreSettings say where the platform's store is.
type StoreSettings struct {
	// Address of the store. Required.
	Address string `toml:"address"`
}

// BoundsSettings are what the deployment promises and allows.
type BoundsSettings struct {
	// GracePeriod is the time between the signal to stop and the end. Required.
	GracePeriod settings.Duration `toml:"grace_period"`
	// Weights is the time within which engines have newly named weights.
	// Required.
	MaxStaleness settings.Duration `toml:"weights"`
	// RetryRatio is how many sends beyond the first all processes together may
	// make for each request; RetrySlack how many beyond that in a window of some
	// seconds. Default 0.1 and 10.
	RetryRatio float64 `toml:"retry_ratio"`
	RetrySlack float64 `toml:"retry_slack"`
}

// LoadSettings reads and checks the settings file at path.
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
	// Telling all grows with entries times engines, and takes most of a small entry's
	// processor with a hundred of each.
	defaultLargeEntries = 24
	defaultLargeEngines = 60
	// defaultServiceLevel is the share that operators of large deployments ask for.
	defaultServiceLevel = 0.95
	// The defaults of the quarantine; its settings say why.
	defaultEnds       = 3
	defaultSuspectFor = time.Hour
	defaultHoldFor    = 24 * time.Hour
	defaultRecords    = 2000
)

// ParseSettings checks a settings text; name stands for the file in messages.
func ParseSettings(name, text string) (*Settings, error) {
	s := &Settings{
		MemoryMB: defaultMemoryMB, LogLinesPerSecond: defaultLogLines, ServiceLevel: defaultServiceLevel,
		LargeEntries: defaultLargeEntries, LargeEngines: defaultLargeEngines,
		Bounds: BoundsSettings{RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack},
		Quarantine: QuarantineSettings{
			MaxCrashes: defaultEnds, SuspectFor: settings.Duration{Duration: defaultSuspectFor}, RefuseFor: settings.Duration{Duration: defaultHoldFor}, MaxRecords: defaultRecords,
		},
	}
	if err := tomltext.Decode(name, text, s); err != nil {
		return nil, err
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, errors.Newf("%s: %s", name, strings.Join(problems, "; "))
	}
	return s, nil
}

func (s *Settings) check() []string {
	var problems []string
	report := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	address := func(name, value string) {
		_, err := netip.ParseAddrPort(value)
		report(err == nil, name+`: "`+value+`" found; allowed is an IP number with a port`)
	}
	report(s.Name != "", "name: missing")
	report(s.Role == settings.RoleEntry || s.Role == settings.RoleSidecar, `role: "`+string(s.Role)+`" found; allowed are "entry" and "sidecar"`)
	report(s.AvailabilityZone != "", "availability_zone: missing")
	address("mesh_listen", s.MeshListen)
	address("metrics_listen", s.MetricsListen)
	address("store.address", s.Store.Address)
	if s.ProbeListen != "" {
		address("probe_listen", s.ProbeListen)
	}
	if s.LimitsListen != "" {
		address("limits_listen", s.LimitsListen)
	}
	if s.AdminListen != "" {
		address("admin_listen", s.AdminListen)
	}
	report(s.ServiceLevel > 0 && s.ServiceLevel < 1, "service_level: allowed is above 0 and below 1")
	if s.Role == settings.RoleEntry {
		address("listen", s.Listen)
		address("ready_listen", s.ReadyListen)
	}
	if s.Role == settings.RoleSidecar {
		address("engine", s.Engine)
	}
	for _, seed := range s.Seeds {
		address("seeds", seed)
	}
	report(s.MemoryMB > 0, "memory_mb: must be above 0")
	report(s.LargeEntries > 0, "large_entries: must be above 0")
	report(s.LargeEngines > 0, "large_engines: must be above 0")
	report(s.LogLinesPerSecond > 0, "log_lines_per_second: must be above 0")
	report(s.Bounds.GracePeriod.Duration > 0, "bounds.grace_period: missing")
	report(s.Bounds.MaxStaleness.Duration > 0, "bounds.weights: missing")
	report(s.Quarantine.MaxCrashes > 0, "quarantine.ends: must be above 0")
	report(s.Quarantine.SuspectFor.Duration > 0, "quarantine.suspect_for: must be above 0")
	report(s.Quarantine.RefuseFor.Duration >= s.Quarantine.SuspectFor.Duration, "quarantine.hold_for: must not be below quarantine.suspect_for")
	report(s.Quarantine.MaxRecords > 0, "quarantine.records: must be above 0")
	report(s.Bounds.RetryRatio >= 0 && s.Bounds.RetryRatio <= 1, "bounds.retry_ratio: allowed is 0 to 1")
	report(s.Bounds.RetrySlack >= 0, "bounds.retry_slack: must not be below 0")
	return problems
}

// seed makes a process's random choices its own.
func (s *Settings) seed() uint64 { return xxhash.Sum64String(s.Name) }

// mesh is the address that other processes know this one by.
func (s *Settings) mesh() netip.AddrPort { return netip.MustParseAddrPort(s.MeshListen) }

// probe is where probes are answered; false when they are off.
func (s *Settings) probe() (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(s.ProbeListen)
	return address, err == nil
}

// seedHosts are the hosts on which other processes may run.
func (s *Settings) seedHosts() []netip.Addr {
	var hosts []netip.Addr
	for _, seed := range s.Seeds {
		hosts = append(hosts, netip.MustParseAddrPort(seed).Addr())
	}
	return hosts
}

// grace is how long a stopping process has, with a margin for its end.
func (s *Settings) grace() time.Duration { return s.Bounds.GracePeriod.Duration - graceMargin }

// graceMargin is left of the grace period for closing connections and exiting.
const graceMargin = 700 * time.Millisecond
