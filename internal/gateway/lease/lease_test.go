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

var errLost = errors.New("response lost")

// store is an in-memory log with one partition.
type store struct{ records []string }

func (s *store) newest() Record {
	r := Record{NextOffset: uint64(len(s.records))}
	if n := len(s.records); n > 0 {
		r.Holder, r.Offset = s.records[n-1], uint64(n-1)
	}
	return r
}

func (s *store) appendRecord(holder string, offset uint64) (uint64, bool) {
	if offset != uint64(len(s.records)) {
		return 0, false
	}
	s.records = append(s.records, holder)
	return offset, true
}

// process drives one lease. It takes no steps while its host is suspended.
type process struct {
	*Lease
	name           string
	suspendedUntil time.Time
}

// step takes one step. With down, calls to the store fail; with lost, a write takes effect but
// its response is lost.
func (p *process) step(s *store, now time.Time, down, lost bool) {
	switch p.Next(now) {
	case ReadRecord:
		if down {
			p.ReadDone(Record{}, errLost, now)
			return
		}
		p.ReadDone(s.newest(), nil, now)
	case WriteRecord:
		if down {
			p.WriteDone(0, false, errLost, now)
			return
		}
		offset, appended := s.appendRecord(p.name, p.NextOffset())
		if lost {
			p.WriteDone(0, false, errLost, now)
			return
		}
		p.WriteDone(offset, appended, nil, now)
	}
}

// Processes never act within the time in which a target detects alternating holders, while
// hosts are suspended, the store is down and responses are lost.
func TestProcessesDoNotAlternate(t *testing.T) {
	const detection = 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		s := &store{}
		now := time.Unix(1000, 0)
		var processes []*process
		for i := range 3 {
			name := fmt.Sprintf("entry-%d", i)
			processes = append(processes, &process{Lease: New(name), name: name})
		}
		lastActor, lastActed := "", time.Time{}
		down := false
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			if rapid.IntRange(0, 39).Draw(rt, "store") == 0 {
				down = !down
			}
			for _, p := range processes {
				if rapid.IntRange(0, 59).Draw(rt, "suspend") == 0 {
					p.suspendedUntil = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(rt, "for")) * 100 * time.Millisecond)
				}
				if now.Before(p.suspendedUntil) {
					continue
				}
				p.step(s, now, down, rapid.IntRange(0, 9).Draw(rt, "lost") == 0)
				if !p.Held(now) {
					continue
				}
				if lastActor != "" && lastActor != p.name && now.Sub(lastActed) < detection {
					rt.Fatalf("%s acts %v after %s", p.name, now.Sub(lastActed), lastActor)
				}
				lastActor, lastActed = p.name, now
			}
		}
	})
}

// The first process acquires a new lease at once and keeps it until it stops; another one then
// takes over within a few seconds.
func TestLeaseIsTakenOver(t *testing.T) {
	s := &store{}
	now := time.Unix(1000, 0)
	first, second := &process{Lease: New("a"), name: "a"}, &process{Lease: New("b"), name: "b"}
	run := func(d time.Duration, processes ...*process) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			for _, p := range processes {
				p.step(s, now, false, false)
			}
		}
	}
	run(300*time.Millisecond, first)
	if !first.Held(now) {
		t.Fatal("the first process does not hold the lease")
	}
	run(20*time.Second, first, second)
	if !first.Held(now) || second.Held(now) {
		t.Fatal("a live holder was replaced")
	}
	run(TakeoverAfter+2*pollInterval, second)
	if first.Held(now) || !second.Held(now) {
		t.Error("a stopped holder was not replaced")
	}
}
