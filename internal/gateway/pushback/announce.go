package pushback

import (
	"slices"
	"strconv"
	"strings"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// eagerAnnouncements is how often a statement is announced first after a change. Each receiver
// announces it as often, so that it reaches hundreds of entries within some rounds of heartbeats.
const eagerAnnouncements = 16

// announcements tracks how often a target's statements were announced.
type announcements struct {
	// eager is the number of announcements left that precede those of unchanged statements.
	eager int
	// last is when the statements were last announced.
	last time.Time
}

func (a *announcements) restart() { a.eager = eagerAnnouncements }

// Announce returns up to n statements for other entries: those that have changed, then the others
// in turn, from which entries learn them that have started or missed an announcement.
func (r *Registry) Announce(n int, now time.Time) []*peerv1.TargetStatement {
	if r.size.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	ids := make([]fleet.ID, 0, len(r.targets))
	for id, t := range r.targets {
		if !t.limit.at.IsZero() || t.leaving.stated {
			ids = append(ids, id)
		}
	}
	if len(ids) > n {
		slices.SortFunc(ids, func(a, b fleet.ID) int { return r.targets[a].compareUrgency(r.targets[b]) })
		ids = ids[:n]
	}
	statements := make([]*peerv1.TargetStatement, 0, len(ids))
	for _, id := range ids {
		t := r.targets[id]
		t.announcements.last = now
		t.announcements.eager = max(t.announcements.eager-1, 0)
		statements = append(statements, t.message(id, now))
	}
	return statements
}

// compareUrgency orders targets by which is to be announced first.
func (t *target) compareUrgency(other *target) int {
	if t.announcements.eager > 0 != (other.announcements.eager > 0) {
		if t.announcements.eager > 0 {
			return -1
		}
		return 1
	}
	return t.announcements.last.Compare(other.announcements.last)
}

func (t *target) message(id fleet.ID, now time.Time) *peerv1.TargetStatement {
	m := &peerv1.TargetStatement{Target: uint32(id), Leaving: t.leaving.stated}
	age := now.Sub(t.limit.at)
	if t.limit.perSecond == None {
		m.UnlimitedAgeMs = ratelimit.EncodeAge(age)
	} else {
		m.Limit = ratelimit.EncodeStatedLimit(ratelimit.StatedLimit{PerSecond: t.limit.perSecond, Age: age})
	}
	return m
}

// Merge applies the statements that another entry announces.
func (r *Registry) Merge(statements []*peerv1.TargetStatement, peer string, receipt asof.Receipt) {
	for _, m := range statements {
		if m.Leaving {
			r.StateLeaving(fleet.ID(m.Target), fleet.Incarnation{}, Origin{Peer: peer}, receipt.Latest(0))
		}
		if m.Limit == nil {
			r.mergeRateLimit(fleet.ID(m.Target), ratelimit.StatedLimit{PerSecond: None, Age: ratelimit.DecodeAge(m.UnlimitedAgeMs)}, peer, receipt)
			continue
		}
		r.mergeRateLimit(fleet.ID(m.Target), ratelimit.DecodeStatedLimit(m.Limit), peer, receipt)
	}
}

// Learn applies the limit of a target that another entry sends along with a lease request.
func (r *Registry) Learn(id fleet.ID, s ratelimit.StatedLimit, peer string, receipt asof.Receipt) {
	r.mergeRateLimit(id, s, peer, receipt)
}

func (r *Registry) mergeRateLimit(id fleet.ID, s ratelimit.StatedLimit, peer string, receipt asof.Receipt) {
	now := receipt.Latest(0)
	if s.Age > statementTTL {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.recordOf(id, now)
	if t == nil {
		return
	}
	t.limit.merge(s.PerSecond, receipt.Earliest(s.Age))
	r.reportRateLimit(id, t, Origin{Peer: peer}, now)
}

// keyPrefix precedes the ID in the key of a target's bucket. No workspace has such a name.
const keyPrefix = "\x00target/"

// Key returns the key of a target's rate limit.
func Key(id fleet.ID) string { return keyPrefix + strconv.FormatUint(uint64(id), 16) }

// IDFromKey returns the target whose rate limit has a key, or false if it is no target's.
func IDFromKey(key string) (fleet.ID, bool) {
	text, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(text, 16, 32)
	return fleet.ID(id), err == nil
}
