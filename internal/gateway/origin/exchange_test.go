package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// network connects exchanges on a virtual clock. Messages take a millisecond, and may be lost.
type network struct {
	mu        sync.Mutex
	processes map[netip.AddrPort]*Exchange
	members   []Member
	dead      map[netip.AddrPort]bool
	// cut is the zone that is separated from the others; empty for none.
	cut    string
	loss   float64
	random *rand.Rand
	sent   int
	asked  map[netip.AddrPort]int
}

// newNetwork returns zones with entries and sidecars that know each other.
func newNetwork(zones, entriesPerZone, sidecarsPerZone int) *network {
	n := &network{processes: map[netip.AddrPort]*Exchange{}, dead: map[netip.AddrPort]bool{}, random: rand.New(rand.NewPCG(1, 2)), asked: map[netip.AddrPort]int{}}
	for z := range zones {
		for i := range entriesPerZone + sidecarsPerZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i)}), 7)
			m := Member{Address: address, Zone: fmt.Sprintf("zone-%d", z), Entry: i < entriesPerZone}
			n.members = append(n.members, m)
			n.processes[address] = NewExchange(Options{Zone: m.Zone, Self: address, Now: time.Now, Send: func(to netip.AddrPort, msg *peerv1.OriginMessage) { n.send(m, to, msg) }})
		}
	}
	n.introduce()
	return n
}

// introduce tells all live processes of each other.
func (n *network) introduce() {
	for _, self := range n.members {
		var others []Member
		for _, m := range n.members {
			if m.Address != self.Address && !n.dead[m.Address] {
				others = append(others, m)
			}
		}
		n.processes[self.Address].SetMembers(others)
	}
}

func (n *network) send(from Member, to netip.AddrPort, m *peerv1.OriginMessage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if m.Ask != 0 {
		n.asked[to]++
	}
	receiver := n.processes[to]
	crosses := n.cut != "" && (from.Zone == n.cut) != (receiver.options.Zone == n.cut)
	if n.dead[from.Address] || n.dead[to] || crosses || n.random.Float64() < n.loss {
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		if !n.isDead(to) {
			receiver.Handle(from.Address, m)
		}
	})
}

// separate cuts a zone off from the others.
func (n *network) separate(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = zone
}

func (n *network) isDead(address netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead[address]
}

func (n *network) kill(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[address] = true
}

// entry returns the i-th entry of a zone.
func (n *network) entry(zone, i int) *Exchange { return n.processes[n.address(zone, i)] }

func (n *network) address(zone, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(i)}), 7)
}

func key(i int) Key { return KeyOf("town", fmt.Sprint(i)) }

var v1, v2 = VersionOf("s", "v1"), VersionOf("s", "v2")

// Guards against streams whose start is unknown because the entry that began them has died, whichever
// entry their callers come back to and however large the fleet is.
func TestStartIsFoundAfterDeathOfItsEntry(t *testing.T) {
	for _, size := range []struct{ zones, entries, sidecars int }{{1, 2, 1}, {1, 2, 0}, {3, 1, 3}, {3, 2, 3}, {5, 20, 30}} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(size.zones, size.entries, size.sidecars)
			const streams = 40
			for i := range streams {
				n.entry(0, 0).Record(key(i), Record{Version: v1})
			}
			time.Sleep(10 * time.Millisecond)
			n.kill(n.address(0, 0))
			for i := range streams {
				zone, entry := i%size.zones, size.entries-1
				if zone == 0 && entry == 0 {
					zone = 1
				}
				if f := n.entry(zone, entry).Find(t.Context(), key(i)); f.Version != v1 || f.Source == Unknown {
					t.Errorf("%+v: stream %d: found %+v", size, i, f)
				}
			}
		})
	}
}

// Guards against starts that are unknown in a zone that is cut off, or because a whole zone or all
// entries have died.
func TestStartIsFoundAfterWiderFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(n *network)
		// zone and entry are where the callers come back.
		zone, entry int
	}{
		{"zone cut off, its entry dies", func(n *network) { n.separate("zone-0"); n.kill(n.address(0, 0)) }, 0, 1},
		{"zone dies", func(n *network) {
			for i := range 12 {
				n.kill(n.address(0, i))
			}
		}, 2, 1},
		{"all entries but one die", func(n *network) {
			for z := range 3 {
				for i := range 4 {
					if z != 1 || i != 3 {
						n.kill(n.address(z, i))
					}
				}
			}
		}, 1, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(3, 4, 8)
			const streams = 30
			for i := range streams {
				n.entry(0, 0).Record(key(i), Record{Version: v2})
			}
			time.Sleep(10 * time.Millisecond)
			c.fail(n)
			for i := range streams {
				if f := n.entry(c.zone, c.entry).Find(t.Context(), key(i)); f.Version != v2 || f.Source == Unknown {
					t.Errorf("%s: stream %d: found %+v", c.name, i, f)
				}
			}
		})
	}
}

// Guards against starts that are lost when all processes are replaced one after the other.
func TestStartsSurviveRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 2, 0)
		for i := range 30 {
			n.entry(0, 0).Record(key(i), Record{Version: v1})
		}
		time.Sleep(10 * time.Millisecond)
		for _, m := range n.members {
			n.processes[m.Address].HandOver()
			time.Sleep(10 * time.Millisecond)
			x := NewExchange(n.processes[m.Address].options)
			n.mu.Lock()
			n.processes[m.Address] = x
			n.mu.Unlock()
			n.introduce()
		}
		for i := range 30 {
			if f := n.entry(2, 1).Find(t.Context(), key(i)); f.Version != v1 {
				t.Errorf("stream %d: found %+v", i, f)
			}
		}
	})
}

// Guards against streams that are refused by an entry which has just started and does not know the
// others yet.
func TestNewEntryWaitsForItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 2, 1)
		n.entry(0, 0).Record(key(1), Record{Version: v1})
		time.Sleep(10 * time.Millisecond)
		x := NewExchange(n.entry(0, 0).options)
		n.mu.Lock()
		n.processes[n.address(0, 0)] = x
		n.mu.Unlock()
		time.AfterFunc(200*time.Millisecond, n.introduce)
		if f := x.Find(t.Context(), key(1)); f.Version != v1 {
			t.Errorf("found %+v", f)
		}
	})
}

// Guards against lost datagrams that make a start unknown.
func TestStartIsFoundDespiteLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3, 4, 8)
		n.loss = 0.05
		unknown := 0
		for i := range 500 {
			n.entry(0, 0).Record(key(i), Record{Version: v1})
			time.Sleep(10 * time.Millisecond)
			if f := n.entry(2, 3).Find(t.Context(), key(i)); f.Source == Unknown {
				unknown++
			}
		}
		if unknown > 2 {
			t.Errorf("%d of 500 starts are unknown at 5 %% loss", unknown)
		}
	})
}

// Guards against a request that waits for long, or asks every process, because its caller names a
// stream that never was.
func TestUnknownStartIsToldSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, 20, 30)
		time.Sleep(settleTime)
		start := time.Now()
		f := n.entry(0, 0).Find(t.Context(), key(1))
		if f.Source != Unknown || time.Since(start) > 5*time.Millisecond || n.sent > 2*maxAsked {
			t.Errorf("found %+v after %v and %d datagrams", f, time.Since(start), n.sent)
		}
		for _, m := range n.members {
			n.kill(m.Address)
		}
		start = time.Now()
		if f := n.entry(0, 0).Find(t.Context(), key(2)); f.Source != Unknown || time.Since(start) > askTimeout {
			t.Errorf("found %+v after %v without answers", f, time.Since(start))
		}
	})
}

// Guards against memory that a flood of streams or of questions fills.
func TestFloodIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 2, 0)
		x := n.entry(0, 0)
		for i := range 3 * maxGenerationSize {
			x.Handle(n.address(0, 1), &peerv1.OriginMessage{Keys: []uint64{uint64(i + 1)}, Versions: []uint64{1}})
		}
		if size := x.Size(); size > 2*maxGenerationSize {
			t.Errorf("%d records", size)
		}
		n.kill(n.address(0, 1))
		time.Sleep(settleTime)
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for i := range 2 * maxQuestions {
			callers.Go(func() { x.Find(ctx, key(i)) })
		}
		synctest.Wait()
		x.mu.Lock()
		open := len(x.questions)
		x.mu.Unlock()
		if open > maxQuestions {
			t.Errorf("%d open questions", open)
		}
		cancel()
		callers.Wait()
	})
}

// Guards against records that are dropped while callers may come back, and against such that are kept
// for ever.
func TestRecordsExpire(t *testing.T) {
	r, now := newRegistry(), time.Unix(1000, 0)
	r.add(1, Record{Version: v1}, now)
	if _, ok := r.find(1, now.Add(generationLength-time.Millisecond)); !ok {
		t.Error("dropped within a generation")
	}
	r.add(2, Record{Version: v1}, now.Add(generationLength-time.Millisecond))
	if _, ok := r.find(2, now.Add(2*generationLength-2*time.Millisecond)); !ok {
		t.Error("dropped a generation after it was added")
	}
	if _, ok := r.find(2, now.Add(10*generationLength)); ok || r.size() > 0 {
		t.Errorf("%d records are kept for ever", r.size())
	}
}

// Guards against a stream that is told to have begun at another version than the one that wrote its
// first event, in any history of starts, deaths, restarts, cuts, losses and repeated messages.
func TestNoStartIsEverWrong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(rapid.IntRange(1, 3).Draw(rt, "zones"), rapid.IntRange(2, 3).Draw(rt, "entries"), rapid.IntRange(0, 2).Draw(rt, "sidecars"))
			n.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "loss")
			truth := map[Key]Version{}
			entries := []*Exchange{}
			for _, m := range n.members {
				if m.Entry {
					entries = append(entries, n.processes[m.Address])
				}
			}
			steps := rapid.IntRange(5, 40).Draw(rt, "steps")
			for step := range steps {
				x := entries[rapid.IntRange(0, len(entries)-1).Draw(rt, "entry")]
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1:
					k := key(step)
					truth[k] = rapid.SampledFrom([]Version{v1, v2}).Draw(rt, "version")
					x.Record(k, Record{Version: truth[k]})
				case 2:
					for k, want := range truth {
						if f := x.Find(t.Context(), k); f.Source != Unknown && f.Version != want {
							rt.Fatalf("found %+v, want version %d", f, want)
						}
						break
					}
				case 3:
					m := n.members[rapid.IntRange(0, len(n.members)-1).Draw(rt, "member")]
					n.mu.Lock()
					n.dead[m.Address] = !n.dead[m.Address]
					n.mu.Unlock()
					n.introduce()
				case 4:
					n.separate(rapid.SampledFrom([]string{"", "zone-0", "zone-1"}).Draw(rt, "cut"))
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
				}
			}
			time.Sleep(time.Second)
		})
	})
}

// Guards against a caller who reuses an ID for two streams and gets one of them at the version of the
// other, in whichever order the records arrive.
func TestTwoVersionsUnderOneAttemptAreAmbiguous(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, order := range [][]Version{{v1, v2}, {v2, v1}, {v1, v2, v1}, {Ambiguous, v1}} {
		r := newRegistry()
		for _, v := range order {
			r.add(1, Record{Version: v}, now)
		}
		if got, ok := r.find(1, now); !ok || got.Version != Ambiguous {
			t.Errorf("%v: found %v, %v", order, got, ok)
		}
	}
}

// Guards against keys that callers of two workspaces share, and against versions that services share.
func TestKeysAndVersionsDiffer(t *testing.T) {
	if KeyOf("a", "bc") == KeyOf("ab", "c") || KeyOf("a", "x") == KeyOf("b", "x") {
		t.Error("two workspaces share a key")
	}
	if VersionOf("a", "v1") == VersionOf("b", "v1") || VersionOf("a", "") != Ambiguous || VersionOf("a", "v1") == Ambiguous {
		t.Error("versions are not told apart")
	}
}

// BenchmarkRecord measures what recording the start of a stream costs the entry that relays it.
func BenchmarkRecord(b *testing.B) {
	x := NewExchange(Options{Zone: "zone-0", Now: time.Now, Send: func(netip.AddrPort, *peerv1.OriginMessage) {}})
	var members []Member
	for z := range 5 {
		for i := range 200 {
			members = append(members, Member{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i)}), 7), Zone: fmt.Sprintf("zone-%d", z), Entry: i < 84})
		}
	}
	x.SetMembers(members)
	for i := range b.N {
		x.Record(KeyOf("town", fmt.Sprint(i)), Record{Version: v1})
	}
}
