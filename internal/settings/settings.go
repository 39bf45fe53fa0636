// Package settings reads the settings file of a process: its role, its addresses
// and those of the platform. Package config defines the operators' configuration.
package settings

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/tomltext"
)

// Role is the role of a process.
type Role string

// Roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Settings are the settings of a process.
type Settings struct {
	// Name of the process, unique in the deployment. For a sidecar it is the name
	// of its target in the configuration. Required.
	Name string `toml:"name"`
	// Role is "entry" or "sidecar". Required.
	Role Role `toml:"role"`
	// Region and AvailabilityZone of the host. Required.
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`
	// Listen is the address for callers (entry) or entries (sidecar), as IP
	// address and port. Required.
	Listen string `toml:"listen"`
	// AdminListen is the address of metrics, health checks and the administration
	// API. Required.
	AdminListen string `toml:"admin_listen"`
	// AdminTokenSHA256 is the hex digest of the administration token. Empty
	// disables the administration API, but not metrics and health checks.
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
	// Peers are the listen addresses of a few other processes. They provide the
	// configuration if the log is down when the process starts.
	Peers []string `toml:"peers"`
	// MemoryMB is the memory limit of the process. Default 512.
	MemoryMB int64 `toml:"memory_mb"`
	// Seed of timer jitter. Default: a hash of the name.
	Seed uint64 `toml:"seed"`

	Platform Platform `toml:"platform"`
	Target   Target   `toml:"target"`
	TLS      TLS      `toml:"tls"`
	Timing   Timing   `toml:"timing"`
	Cache    Cache    `toml:"cache"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// LogURL is the URL of the append-only log. Required.
	LogURL string `toml:"log_url"`
	// HostsURL is the URL of the list of live and leaving hosts. Optional.
	HostsURL string `toml:"hosts_url"`
	// LogRetention is how long the log keeps records. Default 24h.
	LogRetention Duration `toml:"log_retention"`
}

// Target describes the target of a sidecar.
type Target struct {
	// URL is the base URL of the engine or plain service.
	URL string `toml:"url"`
	// MaxRunning is the maximum number of concurrent requests. Default 8.
	MaxRunning int `toml:"max_running"`
	// MaxPrefilling is how many of them may await their first token. Default 1, so
	// that the gate controls the order of prefills.
	MaxPrefilling int `toml:"max_prefilling"`
	// MaxQueued is the maximum number of queued requests. Default 512.
	MaxQueued int `toml:"max_queued"`
	// PrefillTokensPerSecond is the initial estimate of the prefill rate.
	// Default 8000.
	PrefillTokensPerSecond float64 `toml:"prefill_tokens_per_second"`
}

// TLS enables TLS for the callers of an entry.
type TLS struct {
	// CertFile and KeyFile are PEM files. Set both or neither.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// Timing holds periods and timeouts.
type Timing struct {
	// LogPolls is the fleet's total number of polls of the configuration stream
	// per second. Default 20.
	LogPolls float64 `toml:"log_polls"`
	// SyncPeriod is how often a process syncs its configuration with a random
	// peer. Default 2s.
	SyncPeriod Duration `toml:"sync_period"`
	// HostsPeriod is how often the host list is read. Default 2s.
	HostsPeriod Duration `toml:"hosts_period"`
	// EventsPeriod is how often a sidecar reads the engine's cache events.
	// Default 500ms.
	EventsPeriod Duration `toml:"events_period"`
	// ClaimInterval is how long claims are batched into one append. Default 10ms.
	ClaimInterval Duration `toml:"claim_interval"`
	// ResumeGrace is how long a run continues without a reader. Default 5s.
	ResumeGrace Duration `toml:"resume_grace"`
	// DrainTimeout is the maximum duration of a graceful shutdown. Default 60s.
	DrainTimeout Duration `toml:"drain_timeout"`
	// DrainDelay is how long a stopping process still accepts requests, until the
	// load balancer or the entries have noticed. Default 1s.
	DrainDelay Duration `toml:"drain_delay"`
}

// Cache limits the prefix index of a sidecar.
type Cache struct {
	// MaxBlocks is the maximum number of blocks in the index. Default 200000.
	MaxBlocks int `toml:"max_blocks"`
}

// Duration is a time.Duration in text form, like "250ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is no duration; allowed are numbers with a unit, like \"250ms\" or \"10s\"", text)
	}
	if v <= 0 {
		return errors.Newf("%q must be above zero", text)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, string(text))
}

// Parse parses and validates a settings text. Errors refer to it by name.
func Parse(name, text string) (*Settings, error) {
	s := defaults()
	if err := tomltext.Decode(name, text, s); err != nil {
		return nil, err
	}
	if problems := s.validate(); len(problems) > 0 {
		return nil, errors.Newf("%s: %s", name, strings.Join(problems, "; "))
	}
	if s.Seed == 0 {
		s.Seed = xxhash.Sum64String(s.Name) >> 1 // TOML integers have 63 bits
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		MemoryMB: 512,
		Platform: Platform{LogRetention: Duration{24 * time.Hour}},
		Target:   Target{MaxRunning: 8, MaxPrefilling: 1, MaxQueued: 512, PrefillTokensPerSecond: 8000},
		Timing: Timing{
			LogPolls:      20,
			SyncPeriod:    Duration{2 * time.Second},
			HostsPeriod:   Duration{2 * time.Second},
			EventsPeriod:  Duration{500 * time.Millisecond},
			ClaimInterval: Duration{10 * time.Millisecond},
			ResumeGrace:   Duration{5 * time.Second},
			DrainTimeout:  Duration{60 * time.Second},
			DrainDelay:    Duration{time.Second},
		},
		Cache: Cache{MaxBlocks: 200_000},
	}
}

// minMemoryMB is the least memory with which a process runs.
const minMemoryMB = 64

func (s *Settings) validate() []string {
	var problems []string
	require := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	require(s.Name != "", "name: missing")
	require(s.Role == RoleEntry || s.Role == RoleSidecar, `role: "`+string(s.Role)+`" found; allowed are "entry" and "sidecar"`)
	require(s.Region != "", "region: missing")
	require(s.AvailabilityZone != "", "availability_zone: missing")
	require(isAddress(s.Listen), `listen: "`+s.Listen+`" found; allowed is an IP number with a port`)
	require(isAddress(s.AdminListen), `admin_listen: "`+s.AdminListen+`" found; allowed is an IP number with a port`)
	require(s.MemoryMB >= minMemoryMB, "memory_mb: must be at least "+strconv.Itoa(minMemoryMB))
	require(s.Platform.LogURL != "", "platform.log_url: missing")
	require(s.Role != RoleSidecar || s.Target.URL != "", "target.url: missing; required for a sidecar")
	require((s.TLS.CertFile == "") == (s.TLS.KeyFile == ""), "tls: set both cert_file and key_file or neither")
	require(s.Target.MaxRunning > 0, "target.max_running: must be above 0")
	require(s.Target.MaxPrefilling > 0, "target.max_prefilling: must be above 0")
	require(s.Target.MaxQueued > 0, "target.max_queued: must be above 0")
	require(s.Target.PrefillTokensPerSecond > 0, "target.prefill_tokens_per_second: must be above 0")
	require(s.Timing.LogPolls > 0, "timing.log_polls: must be above 0")
	for _, peer := range s.Peers {
		require(isAddress(peer), `peers: "`+peer+`" found; allowed are IP numbers with a port`)
	}
	return problems
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
