// Package config holds the operators' configuration: the one text that lists
// services, what each depends on, targets, models, workspaces and objectives.
//
// A text is checked whole by [Parse]. Either all of it is good or none of it
// takes effect.
package config

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/settings"
)

// Kind is the kind of a service.
type Kind string

// The kinds of service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
	KindKV     Kind = "kv"
)

// Class is the priority class of a request. A lower number goes first.
type Class uint8

// The classes.
const (
	ClassAlert Class = iota
	ClassInteractive
	ClassBatch
	// Classes is how many there are.
	NumClasses = 3
)

var classNames = [NumClasses]string{"alert", "interactive", "batch"}

// String returns the name of the class in texts and headers.
func (c Class) String() string {
	if int(c) >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass returns the class of a name; ok is false for another word.
func ParseClass(name string) (class Class, ok bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return 0, false
}

// Config is one version of the operators' text.
type Config struct {
	// Schema is the version of this format. Only 1 is known.
	Schema int `toml:"schema"`
	// Regions lists where hosts stand.
	Regions []Region `toml:"region"`
	// Services lists what is routed to.
	Services []Service `toml:"service"`
	// Models lists what engines serve.
	Models []Model `toml:"model"`
	// Workspaces lists who may call.
	Workspaces []Workspace `toml:"workspace"`
	// Objectives lists what the burn report measures against.
	Objectives []Objective `toml:"objective"`
	// Limits bounds requests and retries.
	Limits Limits `toml:"limits"`

	services   map[string]*Service
	models     map[string]*Model
	workspaces map[string]*Workspace
	tokens     map[string]*Workspace
}

// Region is a region with its availability zones.
type Region struct {
	// Name of the region, unique.
	Name string `toml:"name"`
	// AvailabilityZones of the region, each in one region only.
	AvailabilityZones []string `toml:"availability_zones"`
}

// Service is one service and its targets.
type Service struct {
	// Name of the service, unique.
	Name string `toml:"name"`
	// Kind is "engine", "plain" or "kv".
	Kind Kind `toml:"kind"`
	// DependsOn names services that this one needs. No cycles.
	DependsOn []string `toml:"depends_on"`
	// AtMostOnce makes each call need an idempotency key and run at most once.
	AtMostOnce bool `toml:"at_most_once"`
	// OpaqueKeys takes idempotency keys without an issue time. The promise
	// then ends with the log's retention: a key repeated later runs again.
	OpaqueKeys bool `toml:"opaque_keys"`
	// KeyLifetime is how long an idempotency key is taken after it was made.
	// Default and at most three quarters of the log's retention. The sidecars
	// hold every key for as long.
	KeyLifetime settings.Duration `toml:"key_lifetime"`
	// ChecksFence says whether the targets refuse an order with an old fencing
	// number by themselves.
	ChecksFence bool `toml:"checks_fence"`
	// MaxLoads is how many targets may load weights at once. Default 1.
	MaxLoads int `toml:"max_loads"`
	// BlockTokens is the size of a cached block in tokens. Default 64.
	BlockTokens int `toml:"block_tokens"`
	// Timeout bounds one call of a plain service. Default 10s.
	Timeout settings.Duration `toml:"timeout"`
	// Targets of the service.
	Targets []Target `toml:"target"`
}

// Target is one target, reached through its sidecar.
type Target struct {
	// Name of the target, unique over all services.
	Name string `toml:"name"`
	// Address of its sidecar, as IP number and port.
	Address string `toml:"address"`
	// AvailabilityZone of its host.
	AvailabilityZone string `toml:"availability_zone"`
}

// Model is a model that an engine service has loaded.
type Model struct {
	// Name as callers write it, unique.
	Name string `toml:"name"`
	// Service that serves it, of kind "engine".
	Service string `toml:"service"`
	// Weights is the version in force. A change makes the sidecars load it.
	Weights string `toml:"weights"`
	// Adapters that callers may name.
	Adapters []string `toml:"adapters"`
}

// Workspace is one customer.
type Workspace struct {
	// Name of the workspace, unique.
	Name string `toml:"name"`
	// TokenSHA256 is the hex digest of the token its callers send.
	TokenSHA256 string `toml:"token_sha256"`
	// Weight is its share when targets are busy, against the others' weights.
	// Default 1.
	Weight float64 `toml:"weight"`
	// Class of its requests that name none. Default "interactive".
	Class string `toml:"class"`
}

// Objective is a service-level objective.
type Objective struct {
	// Service and Class it speaks of.
	Service string `toml:"service"`
	Class   string `toml:"class"`
	// TTFT is the time within which the first token (or whole answer of a
	// plain service) counts as good.
	TTFT settings.Duration `toml:"ttft"`
	// Goal is the share of good requests, between 0 and 1.
	Goal float64 `toml:"goal"`
}

// Limits bounds requests and retries.
type Limits struct {
	// MaxBodyBytes of a request. Default 4 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// DefaultDeadline of a request that names none. Default 30s.
	DefaultDeadline settings.Duration `toml:"default_deadline"`
	// RetryShare is how many retries an entry makes, as a share of its
	// requests. Default 0.1.
	RetryShare float64 `toml:"retry_share"`
}

// Service returns the service of a name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Model returns the model of a name, or nil.
func (c *Config) Model(name string) *Model { return c.models[name] }

// Workspace returns the workspace of a name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// WorkspaceByTokenDigest returns the workspace whose token has this hex
// digest, or nil. The lookup is by digest, so that its timing tells nothing
// about the token.
func (c *Config) WorkspaceByTokenDigest(digest string) *Workspace { return c.tokens[digest] }

// ModelOf returns the model that an engine service serves, or nil.
func (c *Config) ModelOf(service string) *Model {
	for i := range c.Models {
		if c.Models[i].Service == service {
			return &c.Models[i]
		}
	}
	return nil
}

// TargetNamed returns a target and its service, or nils.
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

// ObjectiveFor returns the objective of a service and class, or nil.
func (c *Config) ObjectiveFor(service string, class Class) *Objective {
	for i := range c.Objectives {
		o := &c.Objectives[i]
		if o.Service == service && o.Class == class.String() {
			return o
		}
	}
	return nil
}

// HasAdapter reports whether callers may name the adapter; the empty name is
// the model itself.
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

func (c *Config) fillDefaults() {
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
