package origin

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// serving is a stream that an exchange serves in a test.
type serving struct {
	by atomic.Pointer[netip.AddrPort]
	// epoch is the one that it was registered at.
	epoch uint32
}

func serve(x *Exchange, k Key, epoch uint32) *serving {
	s := &serving{epoch: epoch}
	x.Serve(k, epoch, func(by netip.AddrPort) { s.by.Store(&by) })
	return s
}

func (s *serving) ended() bool { return s.by.Load() != nil }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// lose sets the share of messages that are lost.
func (n *network) lose(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// messages returns the number of messages sent so far.
func (n *network) messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// resume takes a stream up at an exchange, as a caller that has come back makes it do.
func resume(t *testing.T, x *Exchange, k Key) (*serving, <-chan struct{}) {
	t.Helper()
	found := x.Find(t.Context(), k)
	if found.Source == Unknown {
		t.Fatalf("the stream is not known")
	}
	s := serve(x, k, found.Epoch+1)
	return s, x.TakeOver(k, found.Record)
}

// Guards against a stream that runs on at the entry that its caller has left, or is ended at the one to which
// it came back, in large and small deployments and whether or not messages are lost.
func TestStreamEndsAtTheEntryBefore(t *testing.T) {
	for _, size := range []struct {
		zones, entries, sidecars int
		loss                     float64
	}{{1, 2, 0, 0}, {1, 2, 1, 0.1}, {3, 2, 3, 0}, {5, 20, 30, 0.1}} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(size.zones, size.entries, size.sidecars)
			for i := range 4 {
				k := key(i)
				first, second := n.entry(0, 0), n.entry(size.zones-1, size.entries-1)
				before := serve(first, k, 1)
				first.Record(k, Record{v1, Run{Target: 7, Epoch: 1}})
				time.Sleep(50 * time.Millisecond)
				after, ended := resume(t, second, k)
				n.lose(size.loss)
				time.Sleep(takeoverTimeout)
				if !before.ended() || *before.by.Load() != n.address(size.zones-1, size.entries-1) || after.ended() || !isClosed(ended) {
					t.Errorf("%+v: ended before %v, after %v, answered %v", size, before.ended(), after.ended(), isClosed(ended))
				}
				n.lose(0)
				back, ended := resume(t, first, k)
				time.Sleep(50 * time.Millisecond)
				if !after.ended() || back.ended() || !isClosed(ended) {
					t.Errorf("%+v, back again: ended after %v, back %v, answered %v", size, after.ended(), back.ended(), isClosed(ended))
				}
			}
		})
	}
}

// Guards against a stream that runs twice at one entry after its caller has come back to it.
func TestStreamEndsWhenItIsTakenUpAtTheSameEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newNetwork(1, 2, 1).entry(0, 0)
		before := serve(x, key(1), 1)
		x.Record(key(1), Record{v1, Run{Target: 7, Epoch: 1}})
		after, ended := resume(t, x, key(1))
		if !before.ended() || before.by.Load().IsValid() || after.ended() || !isClosed(ended) {
			t.Errorf("ended before %v, after %v, answered %v", before.ended(), after.ended(), isClosed(ended))
		}
		time.Sleep(10 * time.Millisecond)
	})
}

// Guards against a takeover that arrives late and ends a later run of the stream, and against answers of
// processes that were not asked.
func TestLateTakeoversAndForeignAnswersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 3, 0)
		first, k := n.entry(0, 0), key(1)
		first.Record(k, Record{v1, Run{Epoch: 1}})
		time.Sleep(10 * time.Millisecond)
		later := serve(first, k, 3)
		first.Handle(n.address(0, 1), &peerv1.OriginMessage{Id: 77, TakeOver: uint64(k), Epoch: 2})
		first.Handle(n.address(0, 1), &peerv1.OriginMessage{Id: 77, TakeOver: uint64(k), Epoch: 3})
		first.Handle(n.address(0, 1), &peerv1.OriginMessage{Id: 77, TakeOver: uint64(key(2)), Epoch: 9})
		if later.ended() {
			t.Error("a late takeover ended a later run")
		}
		n.kill(n.address(0, 0))
		second := n.entry(0, 1)
		_, ended := resume(t, second, k)
		for id := range uint32(10) {
			second.Handle(n.address(0, 2), &peerv1.OriginMessage{Id: id, Ended: true})
		}
		time.Sleep(time.Second)
		if isClosed(ended) {
			t.Error("another process's answer counts")
		}
		time.Sleep(takeoverTimeout)
		if second.openTakeovers() != 0 {
			t.Error("the takeover is kept for ever")
		}
	})
}

func (x *Exchange) openTakeovers() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.takeovers)
}

// Guards against a stream that is taken to have ended at an entry which has not answered: one that does not
// hear, and one that is not among the live ones any more.
func TestUnansweredTakeoverIsNotTakenForAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 3, 0)
		k := key(1)
		n.entry(0, 0).Record(k, Record{v1, Run{Target: 7, Epoch: 1}})
		time.Sleep(10 * time.Millisecond)
		n.kill(n.address(0, 0))
		sent := n.messages()
		_, ended := resume(t, n.entry(0, 1), k)
		time.Sleep(2 * takeoverTimeout)
		if isClosed(ended) {
			t.Error("an entry that does not answer counts as having ended the stream")
		}
		if messages := n.messages() - sent; messages > 20 {
			t.Errorf("%d messages for one takeover", messages)
		}
		n.introduce()
		// The record says that entry 1 serves it now; entry 2 knows of the first one only.
		n.entry(0, 2).registry.add(key(2), Record{v1, Run{Server: serverOf(n.address(0, 0)), Target: 7, Epoch: 1}}, time.Now())
		_, ended = resume(t, n.entry(0, 2), key(2))
		time.Sleep(2 * takeoverTimeout)
		if isClosed(ended) || n.entry(0, 2).openTakeovers() != 0 {
			t.Error("an entry that is not known counts as having ended the stream, or is looked for without end")
		}
	})
}

// Guards against records that forget where a stream runs, or remember an earlier run, in whichever order they
// arrive and however often.
func TestRecordsKeepTheLatestRun(t *testing.T) {
	now := time.Unix(1000, 0)
	runs := []Run{{Server: 1, Target: 7, Epoch: 1}, {Server: 1, Target: 8, Epoch: 1}, {Server: 2, Target: 8, Epoch: 2}, {Server: 3, Epoch: 3}, {Server: 3, Target: 9, Epoch: 3}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		r := newRegistry()
		for _, i := range append(random.Perm(len(runs)), 0, random.IntN(len(runs))) {
			r.add(1, Record{v1, runs[i]}, now)
		}
		if got, _ := r.find(1, now); got.Version != v1 || got.Run != (Run{Server: 3, Target: 9, Epoch: 3}) {
			t.Fatalf("found %+v", got)
		}
	}
}

// overlapAllowed is how long a stream may run at two targets.
const overlapAllowed = 400 * time.Millisecond

// Guards against a stream that runs on where its caller read it last, because the entry to which the caller comes
// back, or the process that it asks, knows of an earlier run only.
func TestStreamEndsWhereItWasTakenUpLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(5, 20, 30)
		for i := range 10 {
			k := key(i)
			first, second, third := n.entry(0, i), n.entry(1, i), n.entry(2, i)
			serve(first, k, 1)
			first.Record(k, Record{v1, Run{Target: 7, Epoch: 1}})
			time.Sleep(50 * time.Millisecond)
			_, _ = resume(t, second, k)
			time.Sleep(50 * time.Millisecond)
			before, _ := resume(t, third, k)
			time.Sleep(50 * time.Millisecond)
			// It knows that the second one has taken the stream over, unless it keeps the records of this stream.
			after, ended := resume(t, first, k)
			time.Sleep(overlapAllowed)
			if !before.ended() || after.ended() || !isClosed(ended) {
				t.Errorf("stream %d: ended before %v, after %v, answered %v", i, before.ended(), after.ended(), isClosed(ended))
			}
			first.Record(k, Record{v1, Run{Target: 8, Epoch: after.epoch}})
			if found := first.Find(t.Context(), k); found.Epoch != 4 || found.Target != 8 || found.Server != first.self {
				t.Errorf("stream %d: recorded %+v, want epoch 4 at target 8", i, found)
			}
			time.Sleep(50 * time.Millisecond)
			last, ended := resume(t, n.entry(4, i), k)
			time.Sleep(overlapAllowed)
			if !after.ended() || last.ended() || !isClosed(ended) {
				t.Errorf("stream %d, back again: ended after %v, last %v, answered %v", i, after.ended(), last.ended(), isClosed(ended))
			}
		}
	})
}

// Guards against a stream that two entries have taken up at the same epoch, as the record of the first one was lost.
func TestStreamTakenUpTwiceFromOneRecordEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 4, 0)
		k, old := key(1), Record{v1, Run{Server: serverOf(n.address(0, 0)), Target: 7, Epoch: 1}}
		served := []*serving{serve(n.entry(0, 0), k, 1)}
		for i := range 4 {
			n.entry(0, i).registry.add(k, old, time.Now())
		}
		var answers []<-chan struct{}
		for i := 1; i <= 3; i++ {
			served = append(served, serve(n.entry(0, i), k, 2))
			answers = append(answers, n.entry(0, i).TakeOver(k, old))
			n.entry(0, 3).registry.add(k, old, time.Now())
		}
		time.Sleep(overlapAllowed)
		running := 0
		for i, s := range served {
			if !s.ended() {
				running++
			}
			if i > 0 && !s.ended() && !isClosed(answers[i-1]) {
				t.Errorf("entry %d has no answer", i)
			}
		}
		if running != 1 {
			t.Errorf("%d entries serve the stream, want 1", running)
		}
		time.Sleep(takeoverTimeout)
		for i := range 4 {
			if n.entry(0, i).openTakeovers() != 0 {
				t.Errorf("entry %d keeps a takeover for ever", i)
			}
		}
	})
}

// Guards against an earlier run that ends the one which the caller reads, as its takeover is answered late with
// the record of that.
func TestLateAnswerDoesNotEndALaterRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 3, 0)
		first, second, k := n.entry(0, 0), n.entry(0, 1), key(1)
		serve(first, k, 1)
		first.Record(k, Record{v1, Run{Target: 7, Epoch: 1}})
		time.Sleep(50 * time.Millisecond)
		second.Find(t.Context(), k)
		second.SetMembers(nil)
		between, _ := resume(t, second, k)
		n.introduce()
		first.Handle(n.address(0, 1), &peerv1.OriginMessage{TakeOver: uint64(k), Epoch: 2})
		last, _ := resume(t, first, k)
		time.Sleep(overlapAllowed)
		if !between.ended() || last.ended() {
			t.Errorf("ended between %v, last %v", between.ended(), last.ended())
		}
		time.Sleep(takeoverTimeout)
	})
}

// Guards against a stream that runs at two targets for long because a link loses messages for some hundred
// milliseconds, or as the entry to which its caller comes back does not know the one before yet.
func TestStreamEndsAsSoonAsTheEntryBeforeIsReached(t *testing.T) {
	for _, c := range []struct {
		name    string
		hinder  func(n *network, second *Exchange)
		recover func(n *network)
	}{
		{"messages lost", func(n *network, _ *Exchange) { n.lose(1) }, func(n *network) { n.lose(0) }},
		{"not known yet", func(n *network, second *Exchange) { second.SetMembers(nil) }, func(n *network) { n.introduce() }},
	} {
		for _, lasts := range []time.Duration{100 * time.Millisecond, 230 * time.Millisecond, 330 * time.Millisecond} {
			t.Run(c.name+" for "+lasts.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(1, 3, 1)
					first, second, k := n.entry(0, 0), n.entry(0, 1), key(1)
					before := serve(first, k, 1)
					first.Record(k, Record{v1, Run{Target: 7, Epoch: 1}})
					time.Sleep(50 * time.Millisecond)
					second.Find(t.Context(), k)
					c.hinder(n, second)
					after, ended := resume(t, second, k)
					time.Sleep(lasts)
					c.recover(n)
					time.Sleep(overlapAllowed - lasts)
					if !before.ended() || after.ended() || !isClosed(ended) {
						t.Errorf("ended before %v, after %v, answered %v", before.ended(), after.ended(), isClosed(ended))
					}
					time.Sleep(takeoverTimeout)
				})
			})
		}
	}
}

// Guards against a stream that runs on at an entry which drains, and against records that are kept there.
func TestStreamEndsAtAnEntryThatDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 4, 1)
		first, second := n.entry(0, 0), n.entry(0, 1)
		k := key(1)
		before := serve(first, k, 1)
		first.Record(k, Record{v1, Run{Target: 7, Epoch: 1}})
		time.Sleep(50 * time.Millisecond)
		for i := range n.members {
			n.members[i].Leaving = n.members[i].Address == n.address(0, 0)
		}
		n.introduce()
		_, ended := resume(t, second, k)
		time.Sleep(50 * time.Millisecond)
		if !before.ended() || !isClosed(ended) {
			t.Errorf("ended before %v, answered %v", before.ended(), isClosed(ended))
		}
		r := second.rings.Load()
		for i := range 50 {
			for _, owner := range append(r.owners(key(i)), r.candidates(key(i))...) {
				if owner == n.address(0, 0) {
					t.Fatal("an entry that drains is to keep records")
				}
			}
		}
	})
}
