// Package estate holds what the operators of a deployment declare: the routes
// that callers use, the services behind them, the workspaces with their keys,
// and the limits on what callers may send.
//
// An Estate is one whole version. It is checked before it exists and does not
// change afterwards, so that traffic reads it without locks and never sees half
// of a version.
package estate

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered as a series of events. They run at most
	// once, unless their route is resumable.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Backend is one of the services that a route sends to.
type Backend struct {
	Service string
	// Weight is the service's share of the route's requests, against the sum
	// of the weights.
	Weight int
}

// Route is one way in: a host name with a path prefix.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept without its final
	// answer; zero means no bound but the caller's.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use: to the
	// first event of a stream, else to the whole answer.
	TargetLatency time.Duration
	// GapTarget is the longest pause between the events of a stream that is
	// still of full use.
	GapTarget time.Duration
	// Patience is how long a caller waits for the next event of a stream, the first
	// one included, before it leaves; zero when that is not known.
	MaxWait time.Duration
	// MaxAttempts is how many targets may run one request.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Public routes take requests without a key.
	Public bool
	// Prompted routes carry prompts whose parts are shared.
	HasPrompts bool
	// Resumable streams may be continued at another target after an event.
	Resumable bool
	// Backends are the services; at least one, and the weights sum above zero.
	Backends []Backend
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend picks the service for a request by a number that is uniform in
// [0, 1).
func (r *Route) PickBackend(uniform float64) string {
	sum := 0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	at := int(uniform * float64(sum))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Engine describes the engines of a service that serves models.
type Engine struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// CacheTokens is an engine's memory, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMbps is the speed of an engine's link to other engines.
	LinkMbps float64
	// Moves and Backups say whether runs may be moved and backed up.
	AllowsMoves   bool
	AllowsBackups bool
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
	// Models are the names of the models served.
	Models []string
}

// KVStore describes a store of cached prompt parts.
type KVStore struct {
	Address     netip.AddrPort
	Zone        string
	CacheTokens int
	LinkMbps    float64
}

// Service is one service that routes send to.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections a target takes from all callers.
	MaxConns int
	// Engine is set for services that serve models.
	Engine *Engine
	// Store is set for a store of cached prompt parts; no route leads there.
	Store *KVStore
}

// Workspace is a customer.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before a route's, when HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached part of a prompt with another.
	Isolated bool
	// Rate limits what the workspace may use over all entries together.
	Rate ratelimit.Policy
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Estate is one version of all that operators declare.
type Estate struct {
	// Version orders estates; they increase in uneven steps.
	Version    int64
	Limits     Limits
	workspaces []Workspace
	services   map[string]*Service
	stores     []*Service
	byHost     map[string][]*Route
	byKey      map[string]*Workspace
	byName     map[string]*Workspace
}

// New checks the parts and returns the estate made of them.
func New(version int64, routes []Route, services []Service, workspaces []Workspace, limits Limits) (*Estate, error) {
	e := &Estate{
		Version: version, Limits: limits, workspaces: workspaces,
		services: make(map[string]*Service, len(services)),
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Workspace{},
		byName:   make(map[string]*Workspace, len(workspaces)),
	}
	if err := e.addServices(services); err != nil {
		return nil, err
	}
	if err := e.addRoutes(routes); err != nil {
		return nil, err
	}
	if err := e.addWorkspaces(workspaces); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Estate) addServices(services []Service) error {
	for i := range services {
		s := &services[i]
		if s.Name == "" {
			return errors.Newf("service %d has no name", i)
		}
		if e.services[s.Name] != nil {
			return errors.Newf("service %q stands twice", s.Name)
		}
		e.services[s.Name] = s
		if s.Store != nil {
			e.stores = append(e.stores, s)
		}
	}
	return nil
}

func (e *Estate) addRoutes(routes []Route) error {
	for i := range routes {
		r := &routes[i]
		if err := e.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		host := strings.ToLower(r.Host)
		e.byHost[host] = append(e.byHost[host], r)
	}
	for host, list := range e.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
		for i := 1; i < len(list); i++ {
			if list[i].PathPrefix == list[i-1].PathPrefix {
				return errors.Newf("routes %q and %q: host %q has prefix %q twice", list[i-1].Name, list[i].Name, host, list[i].PathPrefix)
			}
		}
	}
	return nil
}

func (e *Estate) checkRoute(r *Route) error {
	if r.Host == "" {
		return errors.New("no host")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return errors.Newf("path prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if len(r.Backends) == 0 {
		return errors.New("no backend")
	}
	sum := 0
	for _, b := range r.Backends {
		s := e.services[b.Service]
		if s == nil {
			return errors.Newf("unknown service %q", b.Service)
		}
		if s.Store != nil {
			return errors.Newf("service %q is a store of cached parts, which takes no requests", b.Service)
		}
		if b.Weight < 0 {
			return errors.Newf("weight %d of service %q is below zero", b.Weight, b.Service)
		}
		sum += b.Weight
	}
	if sum == 0 {
		return errors.New("the backends' weights sum to zero")
	}
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return nil
}

func (e *Estate) addWorkspaces(workspaces []Workspace) error {
	for i := range workspaces {
		w := &workspaces[i]
		if w.Name == "" || e.byName[w.Name] != nil {
			return errors.Newf("workspace %q: the name is empty or stands twice", w.Name)
		}
		if w.Rate.PerSecond < 0 || w.Rate.Burst < 0 || w.Rate.DefaultCost < 0 {
			return errors.Newf("workspace %q: a rate limit below zero", w.Name)
		}
		e.byName[w.Name] = w
		for _, key := range w.Keys {
			if other := e.byKey[key]; other != nil {
				return errors.Newf("workspaces %q and %q have a key in common", other.Name, w.Name)
			}
			e.byKey[key] = w
		}
	}
	return nil
}

// Match returns the route of a request, or nil: of the host's routes the one
// with the longest prefix that begins the path. host may carry a port.
func (e *Estate) Match(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range e.byHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests on the route carry a workspace's key.
func (e *Estate) NeedsKey(r *Route) bool { return len(e.workspaces) > 0 && !r.Public }

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (e *Estate) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return e.byKey[key]
}

// Workspace returns a workspace by its name, or nil.
func (e *Estate) Workspace(name string) *Workspace { return e.byName[name] }

// Limited returns the workspaces that have a rate limit.
func (e *Estate) RateLimited() []*Workspace {
	var all []*Workspace
	for i := range e.workspaces {
		if e.workspaces[i].Rate.Limited() {
			all = append(all, &e.workspaces[i])
		}
	}
	return all
}

// Service returns a service by its name, or nil.
func (e *Estate) Service(name string) *Service { return e.services[name] }

// Services returns all services, in no particular order.
func (e *Estate) Services() []*Service {
	all := make([]*Service, 0, len(e.services))
	for _, s := range e.services {
		all = append(all, s)
	}
	return all
}

// Stores returns the stores of cached prompt parts.
func (e *Estate) Stores() []*Service { return e.stores }

// Routes returns all routes, in no particular order.
func (e *Estate) Routes() []*Route {
	var all []*Route
	for _, list := range e.byHost {
		all = append(all, list...)
	}
	return all
}
