package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var errLost = errors.New("the answer was lost")

// store is a log with one partition, in memory.
type store struct{ records []string }

func (s *store) look() Record {
	r := Record{NextOffset: uint64(len(s.records))}
	if n := len(s.records); n > 0 {
		r.Holder, r.Offset = s.records[n-1], uint64(n-1)
	}
	return r
}

func (s *store) write(holder string, end uint64) (uint64, bool) {
	if end != uint64(len(s.records)) {
		return 0, false
	}
	s.records = append(s.records, holder)
	return end, true
}

// process drives one lease. Its host may be frozen: it takes no step then.
type process struct {
	*Lease
	name        string
	frozenUntil time.Time
}

// step takes one step; late is by how much the answer to a call comes late, lost whether
// it never comes.
func (p *process) step(s *store, now time.Time, down, lost bool) {
	switch p.Next(now) {
	case ReadRecord:
		if down {
			p.ReadDone(Record{}, errLost, now)
			return
		}
		p.ReadDone(s.look(), nil, now)
	case WriteRecord:
		if down {
			p.WriteDone(0, false, errLost, now)
			return
		}
		offset, added := s.write(p.name, p.NextOffset())
		if lost {
			p.WriteDone(0, false, errLost, now)
			return
		}
		p.WriteDone(offset, added, nil, now)
	}
}

// Three entries want to give the orders of engines that have no sidecar. Hosts freeze,
// the store is down, answers are lost after they took effect. However that falls, no two
// of them act within the time in which an engine would see two holders take turns.
func TestNoTwoProcessesActWithinTurns(t *testing.T) {
	const turns = 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		s := &store{}
		now := time.Unix(1000, 0)
		var all []*process
		for i := range 3 {
			name := fmt.Sprintf("entry-%d", i)
			all = append(all, &process{Lease: New(name), name: name})
		}
		lastActor, lastAt := "", time.Time{}
		down := false
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			if rapid.IntRange(0, 39).Draw(rt, "store") == 0 {
				down = !down
			}
			for _, p := range all {
				if rapid.IntRange(0, 59).Draw(rt, "freeze") == 0 {
					p.frozenUntil = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(rt, "for")) * 100 * time.Millisecond)
				}
				if now.Before(p.frozenUntil) {
					continue
				}
				p.step(s, now, down, rapid.IntRange(0, 9).Draw(rt, "lost") == 0)
				if !p.Held(now) {
					continue
				}
				if lastActor != "" && lastActor != p.name && now.Sub(lastAt) < turns {
					rt.Fatalf("%s acts %v after %s", p.name, now.Sub(lastAt), lastActor)
				}
				lastActor, lastAt = p.name, now
			}
		}
	})
}

// The first entry takes the lease at once where nobody ever held it, and keeps it. It
// dies; the next one takes it over within a few seconds.
func TestLeaseIsTakenOver(t *testing.T) {
	s := &store{}
	now := time.Unix(1000, 0)
	first, second := &process{Lease: New("a"), name: "a"}, &process{Lease: New("b"), name: "b"}
	run := func(d time.Duration, who ...*process) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for _, p := range who {
				p.step(s, now, false, false)
			}
		}
	}
	run(300*time.Millisecond, first)
	if !first.Held(now) {
		t.Fatal("the first one does not hold it")
	}
	run(20*time.Second, first, second)
	if !first.Held(now) || second.Held(now) {
		t.Fatal("a holder that lives was replaced")
	}
	run(TakeoverAfter+2*lookPeriod, second)
	if first.Held(now) || !second.Held(now) {
		t.Error("a holder that died was not replaced")
	}
}
