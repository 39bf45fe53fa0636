// Package config defines the operators' configuration: services with their
// dependencies and targets, models, workspaces and objectives.
//
// [Parse] validates a text as a whole. An invalid text has no effect.
package config

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/settings"
)

// Kind is the kind of a service.
type Kind string

// Kinds of service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
	KindKV     Kind = "kv"
)

// Class is the priority class of a request. Lower values have higher priority.
type Class uint8

// Priority classes.
const (
	ClassAlert Class = iota
	ClassInteractive
	ClassBatch
	// NumClasses is the number of classes.
	NumClasses = 3
)

var classNames = [NumClasses]string{"alert", "interactive", "batch"}

// String returns the name of the class in configurations and headers.
func (c Class) String() string {
	if int(c) >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class with the name; ok is false if there is none.
func ParseClass(name string) (class Class, ok bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Config is a version of the configuration.
type Config struct {
	// Schema is the version of the format. It must be 1.
	Schema int `toml:"schema"`
	// Regions lists the regions with hosts.
	Regions []Region `toml:"region"`
	// Services lists the services that requests are routed to.
	Services []Service `toml:"service"`
	// Models lists the models that engines serve.
	Models []Model `toml:"model"`
	// Workspaces lists the workspaces whose callers are accepted.
	Workspaces []Workspace `toml:"workspace"`
	// Objectives lists the service-level objectives of the burn report.
	Objectives []Objective `toml:"objective"`
	// Limits bounds requests and retries.
	Limits Limits `toml:"limits"`

	services      map[string]*Service
	models        map[string]*Model
	workspaces    map[string]*Workspace
	byTokenDigest map[string]*Workspace
}

// Region is a region with its availability zones.
type Region struct {
	// Name of the region, unique.
	Name string `toml:"name"`
	// AvailabilityZones of the region, unique across regions.
	AvailabilityZones []string `toml:"availability_zones"`
}

// Service is a service and its targets.
type Service struct {
	// Name of the service, unique.
	Name string `toml:"name"`
	// Kind is "engine", "plain" or "kv".
	Kind Kind `toml:"kind"`
	// DependsOn names the services that this one needs, without cycles.
	DependsOn []string `toml:"depends_on"`
	// AtMostOnce requires an idempotency key for each call, which runs at most
	// once.
	AtMostOnce bool `toml:"at_most_once"`
	// OpaqueKeys allows idempotency keys without an issue time. A key that is
	// repeated after the log's retention then runs again.
	OpaqueKeys bool `toml:"opaque_keys"`
	// KeyLifetime is how long an idempotency key is accepted after it was issued.
	// Sidecars store every key for that time. Default and maximum: three quarters
	// of the log's retention.
	KeyLifetime settings.Duration `toml:"key_lifetime"`
	// ChecksFence is set if the targets refuse load orders with an old fencing
	// number.
	ChecksFence bool `toml:"checks_fence"`
	// MaxLoads is how many targets may load weights at once. Default 1.
	MaxLoads int `toml:"max_loads"`
	// BlockTokens is the number of tokens in a cache block. Default 64.
	BlockTokens int `toml:"block_tokens"`
	// Timeout of a call of a plain service. Default 10s.
	Timeout settings.Duration `toml:"timeout"`
	// Targets of the service.
	Targets []Target `toml:"target"`
}

// Target is a target, which is reached through its sidecar.
type Target struct {
	// Name of the target, unique over all services.
	Name string `toml:"name"`
	// Address of its sidecar, as IP address and port.
	Address string `toml:"address"`
	// AvailabilityZone of its host.
	AvailabilityZone string `toml:"availability_zone"`
}

// Model is a model that an engine service serves.
type Model struct {
	// Name in requests, unique.
	Name string `toml:"name"`
	// Service that serves it, of kind "engine".
	Service string `toml:"service"`
	// Weights is the version to serve. A change makes the sidecars load it.
	Weights string `toml:"weights"`
	// Adapters that requests may use.
	Adapters []string `toml:"adapters"`
}

// Workspace is a customer's workspace.
type Workspace struct {
	// Name of the workspace, unique.
	Name string `toml:"name"`
	// TokenSHA256 is the hex digest of its callers' token.
	TokenSHA256 string `toml:"token_sha256"`
	// Weight is its share of busy targets, relative to other workspaces. Default 1.
	Weight float64 `toml:"weight"`
	// Class of its requests that specify none. Default "interactive".
	Class string `toml:"class"`
}

// Objective is a service-level objective.
type Objective struct {
	// Service and Class of the requests that it applies to.
	Service string `toml:"service"`
	Class   string `toml:"class"`
	// TTFT is the maximum time to first token of a good request, or to the
	// response of a plain service.
	TTFT settings.Duration `toml:"ttft"`
	// Goal is the required fraction of good requests, between 0 and 1.
	Goal float64 `toml:"goal"`
}

// Limits bounds requests and retries.
type Limits struct {
	// MaxBodyBytes of a request. Default 4 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// DefaultDeadline of requests that specify none. Default 30s.
	DefaultDeadline settings.Duration `toml:"default_deadline"`
	// RetryShare limits the retries of an entry to a fraction of its requests.
	// Default 0.1.
	RetryShare float64 `toml:"retry_share"`
}

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Model returns the model with the name, or nil.
func (c *Config) Model(name string) *Model { return c.models[name] }

// Workspace returns the workspace with the name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// WorkspaceByTokenDigest returns the workspace whose token has the hex digest, or
// nil. The lookup uses the digest so that its timing reveals nothing about the
// token.
func (c *Config) WorkspaceByTokenDigest(digest string) *Workspace { return c.byTokenDigest[digest] }

// ModelOf returns the model of an engine service, or nil.
func (c *Config) ModelOf(service string) *Model {
	for i := range c.Models {
		if c.Models[i].Service == service {
			return &c.Models[i]
		}
	}
	return nil
}

// FindTarget returns the target with the name and its service, or nils.
func (c *Config) FindTarget(name string) (*Service, *Target) {
	for i := range c.Services {
		s := &c.Services[i]
		for j := range s.Targets {
			if s.Targets[j].Name == name {
				return s, &s.Targets[j]
			}
		}
	}
	return nil, nil
}

// ObjectiveFor returns the objective for a service and class, or nil.
func (c *Config) ObjectiveFor(service string, class Class) *Objective {
	for i := range c.Objectives {
		o := &c.Objectives[i]
		if o.Service == service && o.Class == class.String() {
			return o
		}
	}
	return nil
}

// HasAdapter reports whether requests may use the adapter. The empty name means
// the model without an adapter.
func (m *Model) HasAdapter(name string) bool {
	if name == "" {
		return true
	}
	for _, a := range m.Adapters {
		if a == name {
			return true
		}
	}
	return false
}

// RegionOf returns the region of an availability zone, or "".
func (c *Config) RegionOf(zone string) string {
	for _, r := range c.Regions {
		for _, z := range r.AvailabilityZones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

const (
	defaultMaxBodyBytes = 4 << 20
	defaultDeadline     = 30 * time.Second
	defaultRetryShare   = 0.1
	defaultBlockTokens  = 64
	defaultTimeout      = 10 * time.Second
)

func (c *Config) setDefaults() {
	if c.Limits.MaxBodyBytes == 0 {
		c.Limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.Limits.DefaultDeadline.Duration == 0 {
		c.Limits.DefaultDeadline.Duration = defaultDeadline
	}
	if c.Limits.RetryShare == 0 {
		c.Limits.RetryShare = defaultRetryShare
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.MaxLoads == 0 {
			s.MaxLoads = 1
		}
		if s.BlockTokens == 0 {
			s.BlockTokens = defaultBlockTokens
		}
		if s.Timeout.Duration == 0 {
			s.Timeout.Duration = defaultTimeout
		}
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if w.Weight == 0 {
			w.Weight = 1
		}
		if w.Class == "" {
			w.Class = ClassInteractive.String()
		}
	}
}
