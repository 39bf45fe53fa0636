package feed

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// log is a topic as the store holds it: all records ever, and how many of the
// oldest were deleted.
type log struct {
	records []Record
	trimmed uint64
}

func (l *log) append(key string, value []byte) {
	l.records = append(l.records, Record{Key: key, Value: value, Offset: uint64(len(l.records))})
}

func (l *log) end() uint64 { return uint64(len(l.records)) }

// newest is what a snapshot brings at an end.
func (l *log) newest(end uint64) Snapshot {
	last := map[string]Record{}
	for _, r := range l.records[:end] {
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

// Records come by snapshots, by reads, and from peers that are behind or ahead,
// in any order and some twice. A key never goes back to an older record, and a
// copy that has all of the log holds just what a snapshot of it holds.
func TestCopyNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &log{}
		a, b := NewReplica(time.Second), NewReplica(time.Second)
		seen := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "key")
				var value []byte
				if rapid.Bool().Draw(rt, "kept") {
					value = []byte{byte(len(l.records))}
				}
				l.append(key, value)
			case 1:
				a.Replace(l.newest(rapid.Uint64Range(0, l.end()).Draw(rt, "snapshot end")), time.Time{})
			case 2:
				from := min(a.End(), l.end())
				to := rapid.Uint64Range(from, l.end()).Draw(rt, "read end")
				a.Merge(slices.Clone(l.records[from:to]), to, time.Time{})
			case 3:
				b.Apply(a.PageFrom(b.End()), time.Time{})
			case 4:
				a.Apply(b.PageFrom(a.End()), time.Time{})
			}
			for _, r := range a.Records() {
				if r.Offset < seen[r.Key] {
					rt.Fatalf("key %s went back from %d to %d", r.Key, seen[r.Key], r.Offset)
				}
				seen[r.Key] = r.Offset
			}
		}
		a.Merge(slices.Clone(l.records[a.End():]), l.end(), time.Time{})
		b.Apply(a.PageFrom(b.End()), time.Time{})
		want := l.newest(l.end())
		slices.SortFunc(want.Records, func(x, y Record) int { return int(x.Key[0]) - int(y.Key[0]) })
		for name, c := range map[string]*Replica{"reader": a, "peer": b} {
			if got := c.Records(); !slices.EqualFunc(got, want.Records, func(x, y Record) bool { return x.Key == y.Key && x.Offset == y.Offset }) {
				rt.Fatalf("%s has %v, the log %v", name, got, want.Records)
			}
		}
	})
}

// A caller's request reaches an engine two seconds after it left. The list drops
// the engine; a sidecar that starts just then reads a snapshot, which lacks the
// engine; an entry that still lists it fetches from the sidecar the records that
// are new to it. Without word of the drop it would keep the engine for ever.
func TestPeerThatBeganWithASnapshotHandsOnDrops(t *testing.T) {
	l := &log{}
	l.append("engine", []byte("listed"))
	entry := NewReplica(time.Second)
	entry.Replace(l.newest(1), time.Time{})
	l.append("engine", nil)
	l.append("other", []byte("listed"))
	sidecar := NewReplica(time.Second)
	sidecar.Replace(l.newest(3), time.Time{})
	entry.Apply(sidecar.PageFrom(entry.End()), time.Time{})
	if _, ok := entry.Get("engine"); ok {
		t.Error("the engine that left is still listed")
	}
	if _, ok := entry.Get("other"); !ok || entry.End() != 3 {
		t.Errorf("the new engine is listed: %v; end %d", ok, entry.End())
	}
}

// Processes start at any moment, read the store or each other, and one that has
// read all of a topic from whichever of them holds what the store holds.
func TestCopiesOfProcessesThatStartAnewConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &log{}
		copies := []*Replica{NewReplica(time.Second), NewReplica(time.Second), NewReplica(time.Second)}
		one := rapid.IntRange(0, len(copies)-1)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i, j := one.Draw(rt, "copy"), one.Draw(rt, "peer")
			c := copies[i]
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "key")
				var value []byte
				if rapid.Bool().Draw(rt, "kept") {
					value = []byte{byte(len(l.records))}
				}
				l.append(key, value)
			case 2:
				copies[i] = NewReplica(time.Second)
				copies[i].Replace(l.newest(l.end()), time.Time{})
			case 3:
				c.Merge(slices.Clone(l.records[c.End():]), l.end(), time.Time{})
			case 4:
				c.Apply(copies[j].PageFrom(c.End()), time.Time{})
			}
			for i, c := range copies {
				got, want := NewReplica(time.Second), l.newest(c.End())
				got.Replace(want, time.Time{})
				if !slices.EqualFunc(c.Records(), got.Records(), func(x, y Record) bool { return x.Key == y.Key && x.Offset == y.Offset }) {
					rt.Fatalf("copy %d at %d has %v, the store %v", i, c.End(), c.Records(), got.Records())
				}
			}
		}
	})
}

// The history that dropped a key was deleted before it was read. The next
// snapshot lacks the key, and the copy drops it.
func TestSnapshotDropsWhatItLacks(t *testing.T) {
	l := &log{}
	l.append("x", []byte("1"))
	l.append("y", []byte("1"))
	c := NewReplica(time.Second)
	c.Replace(l.newest(2), time.Time{})
	l.append("x", nil)
	if changed := c.Replace(l.newest(3), time.Time{}); !slices.Equal(changed, []string{"x"}) {
		t.Errorf("changed %v", changed)
	}
	if _, ok := c.Get("x"); ok {
		t.Error("the dropped key is still there")
	}
}

// A stale read brings an older snapshot than the one that is known. It must not
// drop what has come since.
func TestOlderSnapshotChangesNothing(t *testing.T) {
	l := &log{}
	l.append("x", []byte("1"))
	old := l.newest(1)
	l.append("y", []byte("1"))
	c := NewReplica(time.Second)
	c.Replace(l.newest(2), time.Time{})
	if changed := c.Replace(old, time.Time{}); len(changed) != 0 {
		t.Errorf("changed %v", changed)
	}
	if _, ok := c.Get("y"); !ok {
		t.Error("the newer key is gone")
	}
}

// A silence of the store that exceeds the gap is an outage; a peer's older word
// neither ends one nor makes one.
func TestOutageIsTheGapBetweenTwoWords(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	c := NewReplica(2 * time.Second)
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

// What came and went before a copy's first records, or between two snapshots, it has not
// seen, whichever way these came.
func TestFollowedSinceTheFirstRecordsOrTheLastSnapshot(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	peer := NewReplica(time.Second) // began when the topic was empty
	peer.Replace(Snapshot{}, at(1))
	peer.Merge([]Record{{Key: "a", Value: []byte("1")}}, 1, at(2))
	c := NewReplica(time.Second)
	if !c.CompleteSince().IsZero() {
		t.Error("an empty copy is followed")
	}
	page := peer.PageFrom(0)
	if c.Apply(page, at(3)); page.Full || c.CompleteSince() != at(3) {
		t.Errorf("followed since %v after the first records", c.CompleteSince())
	}
	c.Merge([]Record{{Key: "b", Value: []byte("1"), Offset: 1}}, 2, at(4))
	if c.CompleteSince() != at(3) {
		t.Errorf("followed since %v after more", c.CompleteSince())
	}
	c.Replace(Snapshot{End: 9}, at(5))
	if c.CompleteSince() != at(5) {
		t.Errorf("followed since %v after a snapshot", c.CompleteSince())
	}
}

// A key comes and goes between two reads of one copy. Neither that copy nor one that has
// read the drop, or began with a snapshot after it, holds it: only their positions differ.
func TestPositionsShowADropThatNoRecordShows(t *testing.T) {
	a := Record{Key: "a", Value: []byte("1"), Offset: 3}
	behind, reader, late := NewReplica(time.Second), NewReplica(time.Second), NewReplica(time.Second)
	for _, c := range []*Replica{behind, reader} {
		c.Replace(Snapshot{Records: []Record{a}, End: 5}, time.Unix(1, 0))
	}
	if behind.LacksDrop(reader.Position()) || !behind.CoveredBy(reader.Position()) {
		t.Error("copies that are alike differ")
	}
	reader.Merge([]Record{{Key: "b", Value: []byte("1"), Offset: 5}, {Key: "b", Offset: 6}, {Key: "a", Value: []byte("2"), Offset: 7}}, 8, time.Unix(2, 0))
	if !behind.LacksDrop(reader.Position()) {
		t.Error("a drop that was read does not show")
	}
	late.Replace(Snapshot{Records: []Record{a}, End: 8}, time.Unix(2, 0))
	if behind.CoveredBy(late.Position()) {
		t.Error("a copy that began after the drop passes for one that would know of it")
	}
	behind.Merge(nil, 8, time.Unix(3, 0))
	if behind.LacksDrop(reader.Position()) || !behind.CoveredBy(late.Position()) {
		t.Error("a copy that has read on is held back")
	}
}

// silentSource is a store that leaves reads unanswered while it is silent.
type silentSource struct {
	mu     sync.Mutex
	log    log
	silent bool
	calls  int
}

func (s *silentSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *silentSource) Newest(ctx context.Context) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.log.newest(s.log.end()), nil
}

func (s *silentSource) Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error) {
	until := time.Now().Add(wait)
	lost := false
	for ctx.Err() == nil {
		s.mu.Lock()
		s.calls++
		lost = lost || s.silent // a connection that went silent stays so
		if s.log.trimmed > from {
			s.mu.Unlock()
			return Snapshot{}, ErrTrimmed
		}
		if !lost && (s.log.end() > from || time.Now().After(until)) {
			defer s.mu.Unlock()
			return Snapshot{Records: slices.Clone(s.log.records[from:]), End: s.log.end()}, nil
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
	if options.OnRecovered == nil {
		options.OnRecovered = func() {}
	}
	f := NewFollower(loop, source, NewReplica(time.Second), options)
	go loop.Run()
	f.Start()
	return f, loop
}

func has(loop *control.Loop, f *Follower, key string) bool {
	answer := make(chan bool)
	loop.Post(func() { _, ok := f.Replica().Get(key); answer <- ok })
	return <-answer
}

// The store goes silent while a read waits there, and a configuration is
// published just as it comes back. The waiting read's connection stays silent;
// it must be given up, or the configuration is in force only when its time ends.
func TestReadThatWaitsIsGivenUpWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &silentSource{}
		f, loop := startFollower(t, source, Options{Wait: 20 * time.Second})
		time.Sleep(time.Second)
		source.set(func() { source.silent = true })
		time.Sleep(3 * time.Second)
		source.set(func() { source.silent = false; source.log.append("config", []byte("2")) })
		f.RestartCall() // another topic's reads were answered
		time.Sleep(500 * time.Millisecond)
		if !has(loop, f, "config") {
			t.Error("the configuration was not read")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// Records were deleted before they were read. A snapshot brings the copy up to
// date.
func TestTrimmedTopicIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &silentSource{}
		f, loop := startFollower(t, source, Options{Pause: 100 * time.Millisecond})
		time.Sleep(time.Second)
		source.set(func() {
			source.log.append("a", []byte("1"))
			source.log.append("b", []byte("1"))
			source.log.trimmed = 1
		})
		time.Sleep(time.Second)
		if !has(loop, f, "a") || !has(loop, f, "b") {
			t.Error("a record is missing")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// failing is a store that refuses every call.
type failing struct {
	mu    sync.Mutex
	calls int
}

func (f *failing) Newest(context.Context) (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return Snapshot{}, errors.New("busy")
}

func (f *failing) Read(ctx context.Context, _ uint64, _ time.Duration) (Snapshot, error) {
	return f.Newest(ctx)
}

// A store that is down is not pressed: a process asks about once in its longest
// pause.
func TestStoreThatIsDownIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &failing{}
		_, loop := startFollower(t, source, Options{})
		time.Sleep(20 * time.Second)
		loop.Stop()
		synctest.Wait()
		if source.calls > 40 {
			t.Errorf("%d calls in 20 s", source.calls)
		}
	})
}
