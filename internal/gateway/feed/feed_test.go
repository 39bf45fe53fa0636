package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/sleep"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fakeTopic is a topic in the store: all its records, and how many of the oldest were deleted.
type fakeTopic struct {
	records []Record
	trimmed uint64
}

func (f *fakeTopic) append(key string, value []byte) {
	f.records = append(f.records, Record{Key: key, Value: value, Offset: uint64(len(f.records))})
}

func (f *fakeTopic) end() uint64 { return uint64(len(f.records)) }

// newest returns a snapshot of the topic's first records, up to end.
func (f *fakeTopic) newest(end uint64) Snapshot {
	last := map[string]Record{}
	for _, r := range f.records[:end] {
		last[r.Key] = r
	}
	s := Snapshot{End: end}
	for _, r := range last {
		if r.Value != nil {
			s.Records = append(s.Records, r)
		}
	}
	return s
}

// Records arrive from snapshots, reads and peers, in any order and repeatedly. A key must never go
// back to an older record, and a replica with all records must equal a snapshot of the topic.
func TestReplicaNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		topic := &fakeTopic{}
		a, b := NewReplica(ReplicaOptions{OutageGap: time.Second}), NewReplica(ReplicaOptions{OutageGap: time.Second})
		seen := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "key")
				var value []byte
				if rapid.Bool().Draw(rt, "has value") {
					value = []byte{byte(len(topic.records))}
				}
				topic.append(key, value)
			case 1:
				a.Replace(topic.newest(rapid.Uint64Range(0, topic.end()).Draw(rt, "snapshot end")), time.Time{})
			case 2:
				from := min(a.End(), topic.end())
				to := rapid.Uint64Range(from, topic.end()).Draw(rt, "read end")
				a.Merge(slices.Clone(topic.records[from:to]), to, time.Time{})
			case 3:
				b.Apply(a.PageFrom(b.EndPosition()), time.Time{}, time.Time{})
			case 4:
				a.Apply(b.PageFrom(a.EndPosition()), time.Time{}, time.Time{})
			}
			for _, r := range a.Records() {
				if r.Offset < seen[r.Key] {
					rt.Fatalf("key %s went back from offset %d to %d", r.Key, seen[r.Key], r.Offset)
				}
				seen[r.Key] = r.Offset
			}
		}
		a.Merge(slices.Clone(topic.records[a.End():]), topic.end(), time.Time{})
		b.Apply(a.PageFrom(b.EndPosition()), time.Time{}, time.Time{})
		want := topic.newest(topic.end())
		slices.SortFunc(want.Records, func(x, y Record) int { return int(x.Key[0]) - int(y.Key[0]) })
		for name, c := range map[string]*Replica{"reader": a, "peer": b} {
			if got := c.Records(); !slices.EqualFunc(got, want.Records, func(x, y Record) bool { return x.Key == y.Key && x.Offset == y.Offset }) {
				rt.Fatalf("%s has %v, the topic %v", name, got, want.Records)
			}
		}
	})
}

// A peer that began with a snapshot does not know which keys were dropped before. A replica that
// still has such a key must drop it when it fetches from this peer.
func TestPeerThatBeganWithSnapshotPassesOnDrops(t *testing.T) {
	topic := &fakeTopic{}
	topic.append("engine", []byte("listed"))
	entry := NewReplica(ReplicaOptions{OutageGap: time.Second})
	entry.Replace(topic.newest(1), time.Time{})
	topic.append("engine", nil)
	topic.append("other", []byte("listed"))
	sidecar := NewReplica(ReplicaOptions{OutageGap: time.Second})
	sidecar.Replace(topic.newest(3), time.Time{})
	entry.Apply(sidecar.PageFrom(entry.EndPosition()), time.Time{}, time.Time{})
	if _, ok := entry.Get("engine"); ok {
		t.Error("the dropped engine is still listed")
	}
	if _, ok := entry.Get("other"); !ok || entry.End() != 3 {
		t.Errorf("the new engine is listed: %v; end %d", ok, entry.End())
	}
}

// Replicas restart at any time and read the store or each other. Each must equal a snapshot of the
// topic at the replica's end.
func TestCopiesOfProcessesThatStartAnewConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		topic := &fakeTopic{}
		replicas := []*Replica{NewReplica(ReplicaOptions{OutageGap: time.Second}), NewReplica(ReplicaOptions{OutageGap: time.Second}), NewReplica(ReplicaOptions{OutageGap: time.Second})}
		one := rapid.IntRange(0, len(replicas)-1)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i, j := one.Draw(rt, "replica"), one.Draw(rt, "peer")
			c := replicas[i]
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "key")
				var value []byte
				if rapid.Bool().Draw(rt, "has value") {
					value = []byte{byte(len(topic.records))}
				}
				topic.append(key, value)
			case 2:
				replicas[i] = NewReplica(ReplicaOptions{OutageGap: time.Second})
				replicas[i].Replace(topic.newest(topic.end()), time.Time{})
			case 3:
				c.Merge(slices.Clone(topic.records[c.End():]), topic.end(), time.Time{})
			case 4:
				c.Apply(replicas[j].PageFrom(c.EndPosition()), time.Time{}, time.Time{})
			}
			for i, c := range replicas {
				got, want := NewReplica(ReplicaOptions{OutageGap: time.Second}), topic.newest(c.End())
				got.Replace(want, time.Time{})
				if !slices.EqualFunc(c.Records(), got.Records(), func(x, y Record) bool { return x.Key == y.Key && x.Offset == y.Offset }) {
					rt.Fatalf("replica %d at %d has %v, the store %v", i, c.End(), c.Records(), got.Records())
				}
			}
		}
	})
}

// A snapshot must drop the keys that it lacks, because the records that dropped them may have
// been deleted before they were read.
func TestSnapshotDropsMissingKeys(t *testing.T) {
	topic := &fakeTopic{}
	topic.append("x", []byte("1"))
	topic.append("y", []byte("1"))
	c := NewReplica(ReplicaOptions{OutageGap: time.Second})
	c.Replace(topic.newest(2), time.Time{})
	topic.append("x", nil)
	if changed := c.Replace(topic.newest(3), time.Time{}); !slices.Equal(changed, []string{"x"}) {
		t.Errorf("changed %v", changed)
	}
	if _, ok := c.Get("x"); ok {
		t.Error("the dropped key is still there")
	}
}

// An older snapshot from a stale read must not drop newer keys.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	topic := &fakeTopic{}
	topic.append("x", []byte("1"))
	old := topic.newest(1)
	topic.append("y", []byte("1"))
	c := NewReplica(ReplicaOptions{OutageGap: time.Second})
	c.Replace(topic.newest(2), time.Time{})
	if changed := c.Replace(old, time.Time{}); len(changed) != 0 {
		t.Errorf("changed %v", changed)
	}
	if _, ok := c.Get("y"); !ok {
		t.Error("the newer key is gone")
	}
}

// A gap longer than outageGap must count as an outage. An older time from a peer must neither
// start nor end one.
func TestOutageDetection(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	c := NewReplica(ReplicaOptions{OutageGap: 2 * time.Second})
	c.MarkCurrent(at(1))
	c.MarkCurrent(at(2))
	c.MarkCurrent(at(1))
	if !c.OutageEnd().IsZero() || c.CurrentAt() != at(2) {
		t.Errorf("outage end %v, current at %v", c.OutageEnd(), c.CurrentAt())
	}
	c.MarkCurrent(at(7))
	if c.OutageBegin() != at(2) || c.OutageEnd() != at(7) {
		t.Errorf("outage from %v to %v", c.OutageBegin(), c.OutageEnd())
	}
}

// CompleteSince must be the time of the last snapshot or of the first records, whether these came
// from the store or from a peer.
func TestCompleteSince(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	peer := NewReplica(ReplicaOptions{OutageGap: time.Second}) // began when the topic was empty
	peer.Replace(Snapshot{}, at(1))
	peer.Merge([]Record{{Key: "a", Value: []byte("1")}}, 1, at(2))
	c := NewReplica(ReplicaOptions{OutageGap: time.Second})
	if !c.CompleteSince().IsZero() {
		t.Error("an empty replica is complete")
	}
	page := peer.PageFrom(Position{})
	if c.Apply(page, at(3), at(3)); page.Full || c.CompleteSince() != at(3) {
		t.Errorf("complete since %v after the first records", c.CompleteSince())
	}
	c.Merge([]Record{{Key: "b", Value: []byte("1"), Offset: 1}}, 2, at(4))
	if c.CompleteSince() != at(3) {
		t.Errorf("complete since %v after more records", c.CompleteSince())
	}
	c.Replace(Snapshot{End: 9}, at(5))
	if c.CompleteSince() != at(5) {
		t.Errorf("complete since %v after a snapshot", c.CompleteSince())
	}
}

// A key that is added and dropped between two reads is in no replica. Only the positions show
// which replica has missed the drop.
func TestPositionsRevealMissedDrop(t *testing.T) {
	a := Record{Key: "a", Value: []byte("1"), Offset: 3}
	stale, reader, restarted := NewReplica(ReplicaOptions{OutageGap: time.Second}), NewReplica(ReplicaOptions{OutageGap: time.Second}), NewReplica(ReplicaOptions{OutageGap: time.Second})
	for _, c := range []*Replica{stale, reader} {
		c.Replace(Snapshot{Records: []Record{a}, End: 5}, time.Unix(1, 0))
	}
	if stale.LacksDrop(reader.Coverage()) || !stale.CoveredBy(reader.Coverage()) {
		t.Error("equal replicas have different positions")
	}
	reader.Merge([]Record{{Key: "b", Value: []byte("1"), Offset: 5}, {Key: "b", Offset: 6}, {Key: "a", Value: []byte("2"), Offset: 7}}, 8, time.Unix(2, 0))
	if !stale.LacksDrop(reader.Coverage()) {
		t.Error("LacksDrop does not report a drop that the peer has read")
	}
	restarted.Replace(Snapshot{Records: []Record{a}, End: 8}, time.Unix(2, 0))
	if stale.CoveredBy(restarted.Coverage()) {
		t.Error("CoveredBy holds for a replica that began after the drop")
	}
	stale.Merge(nil, 8, time.Unix(3, 0))
	if stale.LacksDrop(reader.Coverage()) || !stale.CoveredBy(restarted.Coverage()) {
		t.Error("the replica lacks the drop after it has read on")
	}
}

// stallingSource is a store whose reads get no response while it is stalled.
type stallingSource struct {
	mu      sync.Mutex
	topic   fakeTopic
	stalled bool
	calls   int
}

func (s *stallingSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *stallingSource) Newest(ctx context.Context) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.topic.newest(s.topic.end()), nil
}

func (s *stallingSource) Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error) {
	deadline := time.Now().Add(wait)
	stalled := false
	for ctx.Err() == nil {
		s.mu.Lock()
		s.calls++
		stalled = stalled || s.stalled // a stalled connection does not recover
		if s.topic.trimmed > from {
			s.mu.Unlock()
			return Snapshot{}, ErrTrimmed
		}
		if !stalled && (s.topic.end() > from || time.Now().After(deadline)) {
			defer s.mu.Unlock()
			return Snapshot{Records: slices.Clone(s.topic.records[from:]), End: s.topic.end()}, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
	return Snapshot{}, ctx.Err()
}

func startFollower(t *testing.T, source Source, options Options) (*Follower, *control.Loop) {
	t.Helper()
	loop := control.NewLoop(1, func(time.Duration) {})
	options.Logger, options.Now = logr.Discard(), time.Now
	options.OnCall = func(string, time.Duration, error) {}
	if options.OnChange == nil {
		options.OnChange = func([]string) {}
	}
	if options.OnEra == nil {
		options.OnEra = func(Era) {}
	}
	if options.OnRecovered == nil {
		options.OnRecovered = func() {}
	}
	if options.OnRefreshed == nil {
		options.OnRefreshed = func() {}
	}
	f := NewFollower(loop, source, NewReplica(ReplicaOptions{OutageGap: time.Second}), options)
	go loop.Run()
	f.Start()
	return f, loop
}

func hasKey(loop *control.Loop, f *Follower, key string) bool {
	answer := make(chan bool)
	loop.Post(func() { _, ok := f.Replica().Get(key); answer <- ok })
	return <-answer
}

// A waiting read whose connection stalled during a store outage must be cancelled when the store
// recovers. Otherwise new records would be read only after the read's timeout.
func TestRestartCallCancelsStalledRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &stallingSource{}
		f, loop := startFollower(t, source, Options{Wait: 20 * time.Second, Place: func() (int, int) { return 19, 20 }})
		time.Sleep(time.Second)
		source.set(func() { source.stalled = true })
		time.Sleep(3 * time.Second)
		source.set(func() { source.stalled = false; source.topic.append("config", []byte("2")) })
		f.RestartCall() // another topic's follower has recovered
		time.Sleep(500 * time.Millisecond)
		if !hasKey(loop, f, "config") {
			t.Error("the configuration was not read")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// If records were deleted before they were read, the follower must read a snapshot.
func TestTrimmedTopicIsReadFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &stallingSource{}
		f, loop := startFollower(t, source, Options{Pause: 100 * time.Millisecond})
		time.Sleep(time.Second)
		source.set(func() {
			source.topic.append("a", []byte("1"))
			source.topic.append("b", []byte("1"))
			source.topic.trimmed = 1
		})
		time.Sleep(time.Second)
		if !hasKey(loop, f, "a") || !hasKey(loop, f, "b") {
			t.Error("a record is missing")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// failingSource is a store that fails every call.
type failingSource struct {
	mu    sync.Mutex
	calls int
}

func (f *failingSource) Newest(context.Context) (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return Snapshot{}, errors.New("busy")
}

func (f *failingSource) Read(ctx context.Context, _ uint64, _ time.Duration) (Snapshot, error) {
	return f.Newest(ctx)
}

// A process must not call a store that is down more often than the maximum backoff allows.
func TestBackoffWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &failingSource{}
		_, loop := startFollower(t, source, Options{})
		time.Sleep(20 * time.Second)
		loop.Stop()
		synctest.Wait()
		if source.calls > 40 {
			t.Errorf("%d calls in 20 s", source.calls)
		}
	})
}

// Guards against reads of all processes that a store forgets at the same time, after it was silent for a
// moment: no process learns of a new record before the reads time out. Peers pass on what one has read.
func TestSomeReadEndsSoonAfterAnOutage(t *testing.T) {
	const (
		wait = 4 * time.Second
		// known is how long after its return the store must have been read: the time after which processes
		// count as in contact again.
		known = 3 * time.Second
	)
	for _, readers := range []int{1, 2, 4, 6} {
		for begin := time.Duration(0); begin < wait; begin += wait / 8 {
			for _, length := range []time.Duration{wait / 16, wait / 2, wait, 3 * wait} {
				synctest.Test(t, func(t *testing.T) {
					source := &stallingSource{}
					var followers []*Follower
					var loops []*control.Loop
					for i := range readers {
						f, loop := startFollower(t, source, Options{Wait: wait, Place: func() (int, int) { return i, readers }})
						followers, loops = append(followers, f), append(loops, loop)
					}
					time.Sleep(wait)
					source.set(func() { source.topic.append("a", []byte("1")) }) // answers all reads at once
					time.Sleep(wait + begin)
					source.set(func() { source.stalled = true })
					time.Sleep(length)
					source.set(func() { source.stalled = false })
					time.Sleep(known / 10)
					source.set(func() { source.topic.append("b", []byte("1")) })
					time.Sleep(known - known/10)
					reached := false
					for i, f := range followers {
						reached = reached || hasKey(loops[i], f, "b")
					}
					if !reached {
						t.Errorf("%d readers, outage of %s that begins %s after a common read: none has read the record %s after its end", readers, length, wait+begin, known)
					}
					for _, loop := range loops {
						loop.Stop()
					}
					synctest.Wait()
				})
			}
		}
	}
}

// Guards against more calls to the store than a long poll of each process makes.
func TestReadsThatEndOneAfterTheOtherCostNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, readers = 4 * time.Second, 4
		source := &countingSource{}
		var loops []*control.Loop
		for i := range readers {
			_, loop := startFollower(t, source, Options{Wait: wait, Place: func() (int, int) { return i, readers }})
			loops = append(loops, loop)
		}
		time.Sleep(10*wait - 1) // the first reader begins its next read at the end of the tenth wait
		for _, loop := range loops {
			loop.Stop()
		}
		synctest.Wait()
		// A snapshot and a shorter first read besides those that wait.
		if n, most := source.calls.Load(), int64(readers*(10+2)); n > most {
			t.Errorf("%d calls in ten waits of %d readers, want at most %d", n, readers, most)
		}
	})
}

// countingSource is a store without records.
type countingSource struct{ calls atomic.Int64 }

func (c *countingSource) Newest(context.Context) (Snapshot, error) {
	c.calls.Add(1)
	return Snapshot{}, nil
}

func (c *countingSource) Read(ctx context.Context, _ uint64, wait time.Duration) (Snapshot, error) {
	c.calls.Add(1)
	sleep.For(ctx, wait)
	return Snapshot{}, ctx.Err()
}
