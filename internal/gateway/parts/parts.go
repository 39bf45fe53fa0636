// Package parts indexes which targets have which shared prompt parts cached.
//
// The index combines two sources. Sends observed by this process, or announced by others,
// are known at once, but evictions are not. Caches report their contents through sidecars:
// that takes about 100 ms, and includes evictions. A wrong location costs a repeated prefill
// but never yields a wrong answer, because a part's key covers everything that decides
// whether its cached state is valid.
package parts

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Key identifies a part within a cache scope. A cached part is usable only if all parts
// before it in the prompt are cached too; callers must check them in order.
//
// Keys are short because processes announce them often. A collision costs a fetch that
// returns nothing.
type Key uint32

// KeyOf returns the key of a part in a cache scope.
func KeyOf(scope, part string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(scope)
	_, _ = d.WriteString("\x00" + part)
	return Key(d.Sum64())
}

// Scope returns the cache scope of a prompt: the model, the version of its weights, and the domain of the
// workspaces that share parts. Parts are shared only within a scope.
//
// The length prefix of the model name keeps the scopes of different inputs distinct.
func Scope(model string, weights int64, domain string) string {
	return strconv.Itoa(len(model)) + "." + model + "." + strconv.FormatInt(weights, 10) + "." + domain
}

// Keys returns the keys of the prompt's shared parts: all but the last part.
func Keys(scope string, prompt []wire.Part) []Key {
	if len(prompt) < 2 {
		return nil
	}
	keys := make([]Key, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		keys = append(keys, KeyOf(scope, p.ID))
	}
	return keys
}

// State is what the index knows about a part at a target.
type State uint8

const (
	// Absent means that the part is not known to be cached or in progress.
	Absent State = iota
	// InProgress means that the prefill of the part is in progress.
	InProgress
	// Cached means that the part is cached.
	Cached
)

const (
	// inProgressTTL is how long a prefill counts as in progress; one that takes longer has
	// failed or is queued.
	inProgressTTL = 2 * time.Second
	// cachedTTL is how long after its last use a part counts as cached without a report.
	// Engines evict parts that were not used for some seconds.
	cachedTTL = 8 * time.Second
	// reportTTL is how long a cache's report of a part is valid. Sidecars repeat all
	// reports in half that time, which makes up for lost messages.
	reportTTL = 10 * time.Second
	// maxReportDelay is the largest expected age of a report on arrival. A cache reports a
	// change after about 80 ms, and the broadcast takes as long again.
	maxReportDelay = 300 * time.Millisecond
	// maxKeys bounds the memory to about 100 bytes per key; the least recently updated keys
	// are dropped first.
	maxKeys = 40_000
)

// Update is a change of the index that processes announce to each other.
type Update struct {
	Part   Key
	Target fleet.ID
	// Done is set when the part is cached, and not set while its prefill is in progress.
	Done bool
}

// AllTokens is the number of cached tokens of a part that is cached completely and whose
// length is not known.
const AllTokens = math.MaxInt32

// location is what the index knows about one part at one target.
type location struct {
	target fleet.ID
	// state is the last state recorded from sends, and recordedAt when it was recorded.
	state      State
	recordedAt time.Time
	// tokens is how many tokens of the part the target reported as cached, and reportedAt
	// when it reported them.
	tokens     int
	reportedAt time.Time
}

// Index records which targets have which parts cached. It is safe for concurrent use.
//
// Keys are stored in two generations. An update moves its key to the recent generation.
// When that is full it replaces the older one, whose remaining keys are dropped without
// iterating over them.
type Index struct {
	mu            sync.Mutex
	recent, older map[Key][]location
	// pending are the updates that were not announced yet.
	pending []Update
	// lastReport is when each target last reported its cache.
	lastReport map[fleet.ID]time.Time
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{recent: map[Key][]location{}, older: map[Key][]location{}, lastReport: map[fleet.ID]time.Time{}}
}

// get returns the locations of a key. The caller holds mu.
func (x *Index) get(k Key) []location {
	if list, ok := x.recent[k]; ok {
		return list
	}
	return x.older[k]
}

// put stores the locations of a key in the recent generation. The caller holds mu.
func (x *Index) put(k Key, list []location) {
	if len(x.recent) >= maxKeys/2 {
		x.older, x.recent = x.recent, map[Key][]location{}
	}
	x.recent[k] = list
}

// Record records that the prefill of parts at a target has begun or, if done, that the parts
// are cached. It reports whether there are updates to announce to other processes.
func (x *Index) Record(target fleet.ID, keys []Key, done bool, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	before := len(x.pending)
	for _, k := range keys {
		if x.record(Update{Part: k, Target: target, Done: done}, now) {
			x.pending = append(x.pending, Update{Part: k, Target: target, Done: done})
		}
	}
	return len(x.pending) > before
}

// Apply applies an update that another process announced.
func (x *Index) Apply(u Update, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.record(u, now)
}

// record reports whether the update is worth announcing: it changes the state, or renews an
// location that is not recent. The caller holds mu.
func (x *Index) record(u Update, now time.Time) bool {
	state := InProgress
	if u.Done {
		state = Cached
	}
	list := x.get(u.Part)
	for i := range list {
		if list[i].target != u.Target {
			continue
		}
		previous := list[i]
		if previous.state == Cached && now.Sub(previous.recordedAt) <= cachedTTL {
			state = Cached
		}
		list[i].state, list[i].recordedAt = state, now
		x.put(u.Part, list)
		return previous.current(now) != state || now.Sub(previous.recordedAt) > cachedTTL/4
	}
	x.put(u.Part, append(dropExpired(list, now), location{target: u.Target, state: state, recordedAt: now}))
	return true
}

// RecordReport records a target's report of how many tokens of a part it has cached. The
// report overrides what was recorded from sends, except for a prefill in progress and for
// parts recorded as cached so recently that the report may be older.
func (x *Index) RecordReport(target fleet.ID, k Key, tokens int, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recordReportTime(target, now)
	list := x.get(k)
	i := slices.IndexFunc(list, func(l location) bool { return l.target == target })
	switch {
	case i < 0 && tokens > 0:
		x.put(k, append(dropExpired(list, now), location{target: target, tokens: tokens, reportedAt: now}))
	case i >= 0:
		list[i].applyReport(tokens, now)
		x.put(k, dropExpired(list, now))
	}
}

// recordReportTime records that a target reported its cache. When the target is new, it also
// deletes the targets whose last report has expired.
func (x *Index) recordReportTime(target fleet.ID, now time.Time) {
	if _, known := x.lastReport[target]; !known {
		maps.DeleteFunc(x.lastReport, func(_ fleet.ID, at time.Time) bool { return now.Sub(at) > reportTTL })
	}
	x.lastReport[target] = now
}

// ReportedRecently reports whether a target has recently reported its cache: parts that it
// did not report are then not cached.
func (x *Index) ReportedRecently(target fleet.ID, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.lastReport[target]
	return ok && now.Sub(at) <= reportTTL
}

// applyReport overrides the recorded state with a report, unless the state may be newer.
//
// Engines report the prefill of a part block by block and with a delay. Such a report may
// arrive after the first response for the part; if it were applied, the part would count as
// partly cached and its rest would be computed again elsewhere.
func (l *location) applyReport(tokens int, now time.Time) {
	predatesReport := l.state == Cached && now.Sub(l.recordedAt) > maxReportDelay
	if predatesReport {
		l.state = Absent
	}
	l.tokens, l.reportedAt = tokens, now
}

// dropExpired removes expired locations.
func dropExpired(list []location, now time.Time) []location {
	return slices.DeleteFunc(list, func(l location) bool { return l.current(now) == Absent })
}

// reportValid reports whether the target has reported cached tokens recently enough.
func (l *location) reportValid(now time.Time) bool {
	return l.tokens > 0 && now.Sub(l.reportedAt) <= reportTTL
}

func (l *location) inProgress(now time.Time) bool {
	return l.state == InProgress && now.Sub(l.recordedAt) <= inProgressTTL
}

// current returns the state of the part, which may be cached only partly.
func (l *location) current(now time.Time) State {
	switch {
	case l.inProgress(now):
		return InProgress
	case l.reportValid(now), l.state == Cached && now.Sub(l.recordedAt) <= cachedTTL:
		return Cached
	default:
		return Absent
	}
}

// stateOf returns the state of a part with the given number of tokens. A partly evicted part
// counts as absent: prompts must wait for its new prefill, and offload it again.
func (l *location) stateOf(tokens int, now time.Time) State {
	switch {
	case l.cachedTokens(cachedTTL, now) > max(tokens-blockTokens, 0):
		return Cached
	case l.inProgress(now):
		return InProgress
	default:
		return Absent
	}
}

// cachedTokens returns how many tokens of the part are cached. What was recorded from sends
// is valid for the given retention, after which caches evict unused parts.
func (l *location) cachedTokens(retention time.Duration, now time.Time) int {
	switch {
	case l.state == Cached && now.Sub(l.recordedAt) <= min(retention, cachedTTL):
		return AllTokens
	case l.reportValid(now):
		return l.tokens
	default:
		return 0
	}
}

// TakeUpdates removes and returns up to n pending updates.
func (x *Index) TakeUpdates(n int) []Update {
	x.mu.Lock()
	defer x.mu.Unlock()
	n = min(n, len(x.pending))
	updates := x.pending[:n:n]
	x.pending = x.pending[n:]
	if len(x.pending) == 0 {
		x.pending = nil
	}
	return updates
}

// DropUpdates discards the pending updates. Large fleets don't announce them.
func (x *Index) DropUpdates() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pending = nil
}

// Forget deletes the locations at a target whose cache was cleared.
func (x *Index) Forget(target fleet.ID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, generation := range []map[Key][]location{x.recent, x.older} {
		for k, list := range generation {
			generation[k] = slices.DeleteFunc(list, func(l location) bool { return l.target == target })
		}
	}
}

// StateAt returns the state of a part with the given number of tokens at a target.
func (x *Index) StateAt(k Key, tokens int, target fleet.ID, now time.Time) State {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.get(k)
	for i := range list {
		if list[i].target == target {
			return list[i].stateOf(tokens, now)
		}
	}
	return Absent
}

// VisitLocations calls visit for each target that has a part with the given number of tokens
// cached or in progress.
func (x *Index) VisitLocations(k Key, tokens int, now time.Time, visit func(target fleet.ID, s State)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.get(k)
	for i := range list {
		if s := list[i].stateOf(tokens, now); s != Absent {
			visit(list[i].target, s)
		}
	}
}
