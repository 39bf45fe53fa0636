package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var errLost = errors.New("response lost")

// store is an in-memory log with one partition, which may be restored from copies.
type store struct {
	records []string
	era     feed.Era
	copies  [][]string
}

func (s *store) copy() { s.copies = append(s.copies, slices.Clone(s.records)) }

func (s *store) restore(i int) { s.records, s.era = slices.Clone(s.copies[i]), s.era+1 }

func (s *store) newest() Record {
	r := Record{NextOffset: uint64(len(s.records)), Era: s.era}
	if n := len(s.records); n > 0 {
		r.Holder, r.Offset = s.records[n-1], uint64(n-1)
	}
	return r
}

func (s *store) appendRecord(holder string, offset uint64) Write {
	if offset != uint64(len(s.records)) {
		return Write{At: feed.Position{Era: s.era}}
	}
	s.records = append(s.records, holder)
	return Write{Appended: true, At: feed.Position{Era: s.era, Offset: offset}}
}

// process drives one lease. It takes no steps while its host is suspended.
type process struct {
	*Lease
	name           string
	suspendedUntil time.Time
	// actsFrom is when a process that has started may first act.
	actsFrom time.Time
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
			p.WriteDone(Write{}, errLost, now)
			return
		}
		w := s.appendRecord(p.name, p.NextOffset())
		if lost {
			p.WriteDone(Write{}, errLost, now)
			return
		}
		p.WriteDone(w, nil, now)
	}
}

// Processes never act within the time in which a target detects alternating holders, while
// hosts are suspended, the store is down and responses are lost.
func TestProcessesDoNotAlternate(t *testing.T) { testNoAlternation(t, false) }

// The same while the store comes back from copies, which lack the newest records.
func TestProcessesDoNotAlternateAcrossRestores(t *testing.T) { testNoAlternation(t, true) }

func testNoAlternation(t *testing.T, restores bool) {
	const detection = 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		s := &store{}
		s.copy()
		now := time.Unix(1000, 0)
		var processes []*process
		for i := range 3 {
			name := fmt.Sprintf("entry-%d", i)
			processes = append(processes, &process{Lease: New(name), name: name})
			processes[i].ObserveEra(0, now) // that of its configuration
		}
		lastActor, lastActed := "", time.Time{}
		down := false
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			if rapid.IntRange(0, 39).Draw(rt, "store") == 0 {
				down = !down
			}
			if restores && rapid.IntRange(0, 9).Draw(rt, "copy") == 0 {
				s.copy()
			}
			if restores && rapid.IntRange(0, 39).Draw(rt, "restore") == 0 {
				s.restore(rapid.IntRange(max(0, len(s.copies)-8), len(s.copies)-1).Draw(rt, "from"))
			}
			for i, p := range processes {
				if restores && rapid.IntRange(0, 99).Draw(rt, "restart") == 0 {
					// A new process knows the era of its configuration, and acts only after the time in which it
					// finds out whether there are sidecars.
					p = &process{Lease: New(p.name + "'"), name: p.name + "'", actsFrom: now.Add(TakeoverAfter)}
					p.ObserveEra(s.era, now)
					processes[i] = p
				}
				if rapid.IntRange(0, 59).Draw(rt, "suspend") == 0 {
					p.suspendedUntil = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(rt, "for")) * 100 * time.Millisecond)
				}
				if now.Before(p.suspendedUntil) || now.Before(p.actsFrom) {
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

// Tokens must rise with each append, also when the store has come back from a copy and gives out offsets
// again, and whoever takes them.
func TestTokensRiseAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &store{era: feed.Era(rapid.SampledFrom([]int{0, 1, feed.MaxEra - 100}).Draw(rt, "first era"))}
		s.copy()
		highest := uint64(0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				s.copy()
			case 1:
				s.restore(rapid.IntRange(0, len(s.copies)-1).Draw(rt, "copy"))
			default:
				token := Token{At: s.appendRecord("holder", uint64(len(s.records))).At}
				if token.Number() <= highest || token.Number() >= 1<<53 {
					rt.Fatalf("token %d at %s after %d", token.Number(), token.At, highest)
				}
				highest = token.Number()
			}
		}
	})
}
