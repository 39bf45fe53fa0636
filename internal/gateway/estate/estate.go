// Package estate holds the configuration that operators declare: routes, the services behind
// them, workspaces with their keys, and limits on requests.
//
// An Estate is one validated, immutable version of it, so the request path reads it without
// locks and never sees a partial update.
package estate

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// Kind is the kind of a route's requests, which decides whether they may be retried.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a stream of events in response. They run at most once unless their
	// route is resumable.
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

// Backend is one of the services of a route.
type Backend struct {
	Service string
	// Weight is the service's share of the route's requests, relative to the sum of weights.
	Weight int
}

// Route matches requests by host name and path prefix.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time to the complete response; zero means that only the caller's
	// deadline applies.
	Timeout time.Duration
	// TargetLatency is the latency objective: to the first event of a stream, otherwise to the
	// complete response.
	TargetLatency time.Duration
	// GapTarget is the latency objective between two events of a stream.
	GapTarget time.Duration
	// MaxWait is how long a caller waits for the next event of a stream, including the first,
	// before it disconnects; zero if unknown.
	MaxWait time.Duration
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int
	// Priority ranks routes; 0 is the highest priority.
	Priority int
	// Public routes accept requests without a key.
	Public bool
	// HasPrompts is set if requests carry prompts that may share parts.
	HasPrompts bool
	// Resumable streams may continue at another target after an event.
	Resumable bool
	// Backends holds at least one service. The sum of the weights is positive.
	Backends []Backend
}

// Retryable reports whether the route's requests may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickBackend returns the service for a request, chosen by weight with a number that is uniformly
// distributed in [0, 1).
func (r *Route) PickBackend(uniform float64) string {
	sum := 0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	point := int(uniform * float64(sum))
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Engine describes the engines of a service that serves models.
type Engine struct {
	// Slots is how many requests an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMbps is the bandwidth of an engine's link to other engines.
	LinkMbps float64
	// AllowsMoves and AllowsBackups report whether running requests may be migrated and backed
	// up.
	AllowsMoves   bool
	AllowsBackups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Models are the names of the models served.
	Models []string
}

// KVStore describes a store to which the KV cache of prompt parts is offloaded.
type KVStore struct {
	Address     netip.AddrPort
	Zone        string
	CacheTokens int
	LinkMbps    float64
}

// Service is a group of targets with one function.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections to a target, over all clients.
	MaxConns int
	// Engine is set for services that serve models.
	Engine *Engine
	// Store is set for KV stores, which are no backends of routes.
	Store *KVStore
}

// Workspace is a customer.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides a route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached prompt parts with others.
	Isolated bool
	// Rate is the rate limit of the workspace over all entries.
	Rate ratelimit.Policy
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Estate is one version of the declared configuration.
type Estate struct {
	// Version increases with each estate, not necessarily by one.
	Version    int64
	Limits     Limits
	workspaces []Workspace
	services   map[string]*Service
	stores     []*Service
	byHost     map[string][]*Route
	byKey      map[string]*Workspace
	byName     map[string]*Workspace
	// sharedCacheDomain is the cache domain of the workspaces that are not isolated.
	sharedCacheDomain string
	// strictestPause is the lowest GapTarget of the streams that a service serves.
	strictestPause map[string]time.Duration
}

// New validates a configuration and returns its estate.
func New(version int64, routes []Route, services []Service, workspaces []Workspace, limits Limits) (*Estate, error) {
	e := &Estate{
		Version: version, Limits: limits, workspaces: workspaces,
		services: make(map[string]*Service, len(services)),
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Workspace{},
		byName:   make(map[string]*Workspace, len(workspaces)),

		strictestPause: map[string]time.Duration{},
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
			return errors.Newf("service %q is declared twice", s.Name)
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
		e.addPause(r)
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

func (e *Estate) addPause(r *Route) {
	if r.Kind != Stream || r.GapTarget <= 0 {
		return
	}
	for _, b := range r.Backends {
		if strictest, ok := e.strictestPause[b.Service]; !ok || r.GapTarget < strictest {
			e.strictestPause[b.Service] = r.GapTarget
		}
	}
}

// maxWeight is the largest weight of a backend. The sum of a route's weights fits into an int.
const maxWeight = 1 << 30

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
			return errors.Newf("service %q is a KV store, which takes no requests", b.Service)
		}
		if b.Weight < 0 || b.Weight > maxWeight {
			return errors.Newf("weight %d of service %q is not in 0 to %d", b.Weight, b.Service, maxWeight)
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
			return errors.Newf("workspace %q: the name is empty or declared twice", w.Name)
		}
		if w.Rate.PerSecond < 0 || w.Rate.Burst < 0 || w.Rate.DefaultCost < 0 {
			return errors.Newf("workspace %q: a rate limit is negative", w.Name)
		}
		e.byName[w.Name] = w
		for _, key := range w.Keys {
			if other := e.byKey[key]; other != nil {
				return errors.Newf("workspaces %q and %q have a key in common", other.Name, w.Name)
			}
			e.byKey[key] = w
		}
	}
	e.sharedCacheDomain = sharedCacheDomain(workspaces)
	return nil
}

// sharedDomainPrefix distinguishes the shared cache domain from those of isolated workspaces.
const sharedDomainPrefix = "*"

// sharedCacheDomain returns the cache domain of the workspaces that are not isolated. It depends on the
// isolated ones: parts that a workspace made before it became isolated are in another domain than those
// that the others use afterwards.
func sharedCacheDomain(workspaces []Workspace) string {
	var isolated []string
	for i := range workspaces {
		if workspaces[i].Isolated {
			isolated = append(isolated, workspaces[i].Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	h := xxhash.New()
	for _, name := range isolated {
		_, _ = fmt.Fprintf(h, "%d.%s", len(name), name)
	}
	return sharedDomainPrefix + strconv.FormatUint(h.Sum64(), 16)
}

// CacheDomain returns the domain within which a workspace shares cached prompt parts; w may be nil. That
// of an isolated workspace is its own.
func (e *Estate) CacheDomain(w *Workspace) string {
	switch {
	case w == nil || !w.Isolated:
		return e.sharedCacheDomain
	case strings.HasPrefix(w.Name, sharedDomainPrefix):
		return sharedDomainPrefix + w.Name // no shared domain has the prefix twice
	default:
		return w.Name
	}
}

// Match returns the host's route with the longest matching path prefix, or nil. host may include
// a port.
func (e *Estate) Match(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range e.byHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests on the route must carry a workspace's key.
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

// RateLimited returns the workspaces that have a rate limit.
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

// StrictestPause returns the lowest objective for the time between two events among the streams that a
// service serves; zero if there is none.
func (e *Estate) StrictestPause(service string) time.Duration { return e.strictestPause[service] }

// Services returns all services, in no particular order.
func (e *Estate) Services() []*Service {
	all := make([]*Service, 0, len(e.services))
	for _, s := range e.services {
		all = append(all, s)
	}
	return all
}

// Stores returns the KV stores.
func (e *Estate) Stores() []*Service { return e.stores }

// Routes returns all routes, in no particular order.
func (e *Estate) Routes() []*Route {
	var all []*Route
	for _, list := range e.byHost {
		all = append(all, list...)
	}
	return all
}
