// Package settings reads the settings of one process: its role, its addresses
// and where the platform is. The operators' configuration is another text; see
// package config.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/tomltext"
)

// Role is what a process does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Settings are the settings of one process.
type Settings struct {
	// Name is unique among the system's processes. For a sidecar it is the
	// name of its target in the configuration. Required.
	Name string `toml:"name"`
	// Role is "entry" or "sidecar". Required.
	Role Role `toml:"role"`
	// Region and AvailabilityZone are where the host stands. Required.
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`
	// Listen is where callers (entry) or entries (sidecar) connect, as IP
	// number and port. Required.
	Listen string `toml:"listen"`
	// AdminListen serves metrics, health and the administration API. Required.
	AdminListen string `toml:"admin_listen"`
	// AdminTokenSHA256 is the hex digest of the administration token. Empty
	// closes the administration API; metrics and health stay open.
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
	// Peers are listen addresses of a few other processes. They give the
	// configuration to a process that starts while the log is down.
	Peers []string `toml:"peers"`
	// Seed of the jitter of timers. Default: a hash of the name.
	Seed uint64 `toml:"seed"`

	Platform Platform `toml:"platform"`
	Target   Target   `toml:"target"`
	TLS      TLS      `toml:"tls"`
	Timing   Timing   `toml:"timing"`
	Cache    Cache    `toml:"cache"`
}

// Platform says where the platform's services are, as base URLs.
type Platform struct {
	// LogURL is the append-only log. Required.
	LogURL string `toml:"log_url"`
	// HostsURL is the list of live and leaving hosts. Empty means none.
	HostsURL string `toml:"hosts_url"`
	// LogRetention is how long the log keeps a record. Default 24h.
	LogRetention Duration `toml:"log_retention"`
}

// Target says where a sidecar's own target is.
type Target struct {
	// URL is the base URL of the engine or plain service.
	URL string `toml:"url"`
	// MaxRunning is how many requests the target works on at once. Default 8.
	MaxRunning int `toml:"max_running"`
	// MaxPrefilling is how many of them may await their first token. Default 1, which keeps the order of classes in
	// the gate's hands.
	MaxPrefilling int `toml:"max_prefilling"`
	// MaxQueued is how many requests may wait. Default 512.
	MaxQueued int `toml:"max_queued"`
	// PrefillTokensPerSecond is the rate assumed until one is measured.
	// Default 8000.
	PrefillTokensPerSecond float64 `toml:"prefill_tokens_per_second"`
}

// TLS turns on TLS for the callers' side of an entry.
type TLS struct {
	// CertFile and KeyFile are PEM files; both or none.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// Timing holds periods and bounds.
type Timing struct {
	// LogPolls is how many polls of the configuration stream a second the
	// whole fleet may make; each process takes its part. Default 20.
	LogPolls float64 `toml:"log_polls"`
	// SyncPeriod is how often a process asks one other for its version of the
	// configuration. Default 2s.
	SyncPeriod Duration `toml:"sync_period"`
	// HostsPeriod is how often the host list is read. Default 2s.
	HostsPeriod Duration `toml:"hosts_period"`
	// EventsPeriod is how often a sidecar reads cache events, which only
	// correct the index. Default 500ms.
	EventsPeriod Duration `toml:"events_period"`
	// ClaimInterval is how long claims gather into one append. Default 10ms.
	ClaimInterval Duration `toml:"claim_interval"`
	// ResumeGrace is how long a run lives without a reader. Default 5s.
	ResumeGrace Duration `toml:"resume_grace"`
	// DrainTimeout bounds a planned stop. Default 60s.
	DrainTimeout Duration `toml:"drain_timeout"`
	// DrainDelay is how long a stopping process still takes requests, so that
	// the balancer or the entries notice first. Default 1s.
	DrainDelay Duration `toml:"drain_delay"`
}

// Cache bounds a sidecar's prefix index.
type Cache struct {
	// MaxBlocks is the most blocks that the index holds. Default 200000.
	MaxBlocks int `toml:"max_blocks"`
}

// Duration is a time.Duration written like "250ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is no duration; allowed are numbers with a unit, like \"250ms\" or \"10s\"", text)
	}
	if v <= 0 {
		return errors.Newf("%q is not above zero", text)
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, string(text))
}

// Parse checks a settings text; name stands for the file in messages.
func Parse(name, text string) (*Settings, error) {
	s := defaults()
	if err := tomltext.Decode(name, text, s); err != nil {
		return nil, err
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, errors.Newf("%s: %s", name, strings.Join(problems, "; "))
	}
	if s.Seed == 0 {
		s.Seed = xxhash.Sum64String(s.Name) >> 1 // TOML integers have 63 bits
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
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

func (s *Settings) check() []string {
	var problems []string
	report := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	report(s.Name != "", "name: missing")
	report(s.Role == RoleEntry || s.Role == RoleSidecar, `role: "`+string(s.Role)+`" found; allowed are "entry" and "sidecar"`)
	report(s.Region != "", "region: missing")
	report(s.AvailabilityZone != "", "availability_zone: missing")
	report(isAddress(s.Listen), `listen: "`+s.Listen+`" found; allowed is an IP number with a port`)
	report(isAddress(s.AdminListen), `admin_listen: "`+s.AdminListen+`" found; allowed is an IP number with a port`)
	report(s.Platform.LogURL != "", "platform.log_url: missing")
	report(s.Role != RoleSidecar || s.Target.URL != "", "target.url: missing; a sidecar needs its target")
	report((s.TLS.CertFile == "") == (s.TLS.KeyFile == ""), "tls: cert_file and key_file go together")
	report(s.Target.MaxRunning > 0, "target.max_running: must be above 0")
	report(s.Target.MaxPrefilling > 0, "target.max_prefilling: must be above 0")
	report(s.Target.MaxQueued > 0, "target.max_queued: must be above 0")
	report(s.Target.PrefillTokensPerSecond > 0, "target.prefill_tokens_per_second: must be above 0")
	report(s.Timing.LogPolls > 0, "timing.log_polls: must be above 0")
	for _, peer := range s.Peers {
		report(isAddress(peer), `peers: "`+peer+`" found; allowed are IP numbers with a port`)
	}
	return problems
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
