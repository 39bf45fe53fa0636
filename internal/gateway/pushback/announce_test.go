package pushback

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// receivedAt is the receipt of a message that came without delay.
func receivedAt(now time.Time) asof.Receipt { return asof.Message(now, now) }

// gossip is a fleet of registries whose entries announce statements to some others in rounds.
type gossip struct {
	registries []*Registry
	random     *rand.Rand
	now        time.Time
	bytes      int
}

const (
	gossipPeriod  = 400 * time.Millisecond
	gossipFanOut  = 10
	gossipPerBeat = 16
	gossipDelay   = 3 * time.Millisecond
	gossipLoss    = 0.05
)

func newGossip(n int) *gossip {
	g := &gossip{random: rand.New(rand.NewPCG(1, uint64(n))), now: start}
	for range n {
		g.registries = append(g.registries, NewRegistry(&recorder{}))
	}
	return g
}

// round lets each entry announce once.
func (g *gossip) round() {
	g.now = g.now.Add(gossipPeriod)
	for _, r := range g.registries {
		statements := r.Announce(gossipPerBeat, g.now)
		for _, m := range statements {
			g.bytes += proto.Size(m)
		}
		for range gossipFanOut {
			if receiver := g.registries[g.random.IntN(len(g.registries))]; receiver != r && g.random.Float64() >= gossipLoss {
				receiver.Merge(statements, "peer", receivedAt(g.now.Add(gossipDelay)))
			}
		}
	}
}

func (g *gossip) record(entry int, id fleet.ID, p wire.Pushback, sentAt time.Time) {
	g.registries[entry].Record(Response{Target: id, Incarnation: fleet.Incarnation{Instance: "t"}, Pushback: p, SentAt: sentAt}, g.now)
}

// limitedEntries returns how many entries know a limit of a target.
func (g *gossip) limitedEntries(id fleet.ID) int {
	n := 0
	for _, r := range g.registries {
		if _, _, ok := r.RateLimit(id, g.now); ok {
			n++
		}
	}
	return n
}

// Guards against entries that go on with a target because another entry got its response, and
// against a limit that is over but comes back with an older announcement.
func TestStatementReachesAllEntries(t *testing.T) {
	const within = 8 // rounds, of 0.4 s
	for _, n := range []int{2, 48, 420} {
		g := newGossip(n)
		g.record(0, 1, limit(2), g.now)
		for range within {
			g.round()
		}
		if known := g.limitedEntries(1); known != n {
			t.Errorf("%d of %d entries know the limit after %d rounds", known, n, within)
		}
		g.now = g.now.Add(time.Millisecond)
		g.record(n-1, 1, wire.Pushback{OmitsRateLimit: true}, g.now)
		for range within {
			g.round()
		}
		if known := g.limitedEntries(1); known != 0 {
			t.Errorf("%d of %d entries keep the limit %d rounds after its end", known, n, within)
		}
	}
}

// Guards against an entry that starts and does not learn what targets stated before.
func TestNewEntryLearnsStatements(t *testing.T) {
	const targets, within = 200, 10
	g := newGossip(48)
	for id := range targets {
		g.record(id%48, fleet.ID(id), limit(2), g.now)
	}
	for range 40 {
		g.round()
	}
	g.registries[0] = NewRegistry(&recorder{})
	for range within {
		g.round()
	}
	if known := len(g.registries[0].RateLimits(g.now)); known < targets*9/10 {
		t.Errorf("%d of %d statements known after %d rounds", known, targets, within)
	}
}

// Guards against announcements that grow with the number of targets times that of entries.
func TestAnnouncementsAreBounded(t *testing.T) {
	g := newGossip(4)
	for id := range 1000 {
		g.record(0, fleet.ID(id), limit(1234.5), g.now)
	}
	const maxBytes = 24 * gossipPerBeat
	for range 100 {
		g.bytes = 0
		g.now = g.now.Add(gossipPeriod)
		statements := g.registries[0].Announce(gossipPerBeat, g.now)
		size := 0
		for _, m := range statements {
			size += proto.Size(m) + 2 // tag and length
		}
		if len(statements) != gossipPerBeat || size > maxBytes {
			t.Fatalf("%d statements of %d bytes, at most %d", len(statements), size, maxBytes)
		}
	}
}

// Guards against an announcement that replaces what a newer response has stated.
func TestOlderAnnouncementChangesNothing(t *testing.T) {
	r := newResponses()
	r.at(1000, 900, limit(2))
	now := start.Add(1100 * time.Millisecond)
	r.Learn(1, ratelimit.StatedLimit{PerSecond: 9, Age: 500 * time.Millisecond}, "peer", receivedAt(now))
	if got, _, _ := r.RateLimit(1, now); got != 2 {
		t.Errorf("limit %g after an older announcement", got)
	}
	r.Learn(1, ratelimit.StatedLimit{PerSecond: 9, Age: 10 * time.Millisecond}, "peer", receivedAt(now))
	if got, _, _ := r.RateLimit(1, now); got != 9 {
		t.Errorf("limit %g after a newer announcement", got)
	}
	r.Learn(2, ratelimit.StatedLimit{PerSecond: 9, Age: 2 * statementTTL}, "peer", receivedAt(now))
	if _, _, ok := r.RateLimit(2, now); ok {
		t.Error("an expired statement was adopted")
	}
}

// Guards against a successor that inherits the limit of the incarnation before it.
func TestSuccessorStartsWithoutStatements(t *testing.T) {
	first := fleet.NewTarget(fleet.Listing{Incarnation: fleet.Incarnation{Instance: "t", StartedMs: 1}})
	second := fleet.NewTarget(fleet.Listing{Incarnation: fleet.Incarnation{Instance: "t", StartedMs: 2}})
	r := NewRegistry(&recorder{})
	r.Record(Response{Target: first.ID, Incarnation: first.Incarnation, Pushback: limit(2)}, start)
	if _, _, ok := r.RateLimit(second.ID, start); ok {
		t.Error("the successor is limited")
	}
}

// Guards against two targets that share a bucket, and a workspace that shares one with a target.
func TestKeysOfTargets(t *testing.T) {
	for _, id := range []fleet.ID{0, 1, 1<<32 - 1} {
		if got, ok := IDFromKey(Key(id)); !ok || got != id {
			t.Errorf("%d: key %q gives %d, %v", id, Key(id), got, ok)
		}
	}
	for _, name := range []string{"", "town", "target/1", "\x00target/", "\x00target/100000000", "\x00target/x"} {
		if id, ok := IDFromKey(name); ok {
			t.Errorf("%q is the key of target %d", name, id)
		}
	}
}

// Guards against a limit that takes the place of a newer one, as its announcement waited while this process was
// stopped.
func TestDelayedLimitDoesNotReplaceANewerOne(t *testing.T) {
	r, now := NewRegistry(&recorder{}), time.Unix(1000, 0)
	r.Learn(1, ratelimit.StatedLimit{PerSecond: 20}, "peer", receivedAt(now))
	delayed := asof.Message(now.Add(-2*time.Second), now.Add(time.Second))
	r.Learn(1, ratelimit.StatedLimit{PerSecond: 9, Age: 100 * time.Millisecond}, "peer", delayed)
	if perSecond, _, limited := r.RateLimit(1, now.Add(time.Second)); !limited || perSecond != 20 {
		t.Errorf("the limit in force is %v, %v", perSecond, limited)
	}
}
