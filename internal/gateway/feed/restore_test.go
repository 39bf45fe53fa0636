package feed

import (
	"bytes"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/asof"
)

// statement is the value of a record in tests: a number that rises with each change.
func statement(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func numberOf(r *Record) uint64 {
	if len(r.Value) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(r.Value)
}

func isLaterStatement(a, b *Record) bool { return numberOf(a) > numberOf(b) }

// restorableTopic is a topic of a store that comes back from copies.
type restorableTopic struct {
	fakeTopic
	era     Era
	copies  [][]Record
	written map[string]Record
	next    uint64
}

func (f *restorableTopic) write(key string) {
	f.next++
	f.append(key, statement(f.next))
	f.written[key] = f.records[len(f.records)-1]
}

func (f *restorableTopic) drop(key string) {
	f.append(key, nil)
	f.written[key] = f.records[len(f.records)-1]
}

// rewrite writes a key's newest record again, if the log lacks it.
func (f *restorableTopic) rewrite(key string) {
	newest, ok := f.written[key]
	if i := f.last(key); ok && (i < 0 || !bytes.Equal(f.records[i].Value, newest.Value)) {
		f.append(key, newest.Value)
	}
}

func (f *restorableTopic) last(key string) int {
	for i, r := range slices.Backward(f.records) {
		if r.Key == key {
			return i
		}
	}
	return -1
}

func (f *restorableTopic) copy() { f.copies = append(f.copies, slices.Clone(f.records)) }

func (f *restorableTopic) restore(i int) {
	f.records, f.era = slices.Clone(f.copies[i]), f.era+1
}

func (f *restorableTopic) snapshot() Snapshot {
	s := f.newest(f.end())
	s.Era = f.era
	for i := range s.Records {
		s.Records[i].Era = f.era
	}
	return s
}

// read updates a replica like a follower: by a read within an era, else by a snapshot.
func (f *restorableTopic) read(r *Replica, now time.Time) {
	if r.Era() != f.era || r.Empty() {
		r.Replace(f.snapshot(), now)
		return
	}
	records := slices.Clone(f.records[r.End():])
	for i := range records {
		records[i].Era = f.era
	}
	r.Merge(records, f.end(), now)
}

func fetchPage(r, peer *Replica, now time.Time) {
	from := r.EndPosition()
	r.NoteEra(peer.Era(), peer.EraSince())
	if p := peer.PageFrom(from); r.CanApply(&p, from) {
		r.Apply(p, peer.CurrentAt(), now)
	}
}

var testKeys = []string{"a", "b", "c"}

// What is in force must never go back while the store comes back from older copies, whatever is written
// again, in which order and when, and whoever tells whom; at the end all must know the newest statements
// that the store or any living process knew.
func TestStatementsNeverGoBackAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		topic := &restorableTopic{era: Era(rapid.IntRange(0, 1).Draw(rt, "first era")), written: map[string]Record{}}
		options := ReplicaOptions{OutageGap: time.Second, Later: isLaterStatement}
		replicas := []*Replica{NewReplica(options), NewReplica(options), NewReplica(options)}
		inForce := make([]map[string]uint64, len(replicas))
		for i := range inForce {
			inForce[i] = map[string]uint64{}
		}
		topic.copy()
		key, one := rapid.SampledFrom(testKeys), rapid.IntRange(0, len(replicas)-1)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(100 * time.Millisecond)
			i := one.Draw(rt, "replica")
			switch rapid.IntRange(0, 8).Draw(rt, "step") {
			case 0, 1:
				topic.write(key.Draw(rt, "key"))
			case 2:
				topic.rewrite(key.Draw(rt, "key"))
			case 3:
				topic.copy()
			case 4:
				topic.restore(rapid.IntRange(0, len(topic.copies)-1).Draw(rt, "copy"))
			case 5, 6:
				topic.read(replicas[i], now)
			case 7:
				fetchPage(replicas[i], replicas[one.Draw(rt, "peer")], now)
			case 8:
				if rapid.IntRange(0, 3).Draw(rt, "restarts") == 0 {
					replicas[i], inForce[i] = NewReplica(options), map[string]uint64{}
				}
			}
			for i, r := range replicas {
				for _, record := range r.Records() {
					if number := numberOf(&record); number < inForce[i][record.Key] {
						rt.Fatalf("replica %d: %s went back from %d to %d", i, record.Key, inForce[i][record.Key], number)
					} else {
						inForce[i][record.Key] = number
					}
				}
				for k, number := range inForce[i] {
					if record, ok := r.Get(k); !ok || numberOf(&record) < number {
						rt.Fatalf("replica %d: %s is gone, was %d", i, k, number)
					}
				}
			}
		}
		want := map[string]uint64{}
		for _, record := range topic.snapshot().Records {
			want[record.Key] = numberOf(&record)
		}
		for _, numbers := range inForce {
			for k, number := range numbers {
				want[k] = max(want[k], number)
			}
		}
		for range len(replicas) {
			for i, r := range replicas {
				topic.read(r, now)
				fetchPage(r, replicas[(i+1)%len(replicas)], now)
			}
		}
		for i, r := range replicas {
			for k, number := range want {
				if record, ok := r.Get(k); !ok || numberOf(&record) != number {
					rt.Fatalf("replica %d: %s is %d, want %d", i, k, numberOf(&record), number)
				}
			}
		}
	})
}

// Keys that are dropped, lost or listed again by copies must equal the log once they were written again or
// the time for that is over.
func TestReplicaEqualsLogOnceRestoreIsOver(t *testing.T) {
	const absentFor, hiddenFor = 2 * time.Second, 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		topic := &restorableTopic{era: 1, written: map[string]Record{}}
		options := ReplicaOptions{OutageGap: time.Second, Later: isLaterStatement, AbsentFor: absentFor, HiddenFor: hiddenFor}
		replicas := []*Replica{NewReplica(options), NewReplica(options), NewReplica(options)}
		topic.copy()
		key, one := rapid.SampledFrom(testKeys), rapid.IntRange(0, len(replicas)-1)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(rt, "ms")) * time.Millisecond)
			i := one.Draw(rt, "replica")
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1:
				topic.write(key.Draw(rt, "key"))
			case 2:
				topic.drop(key.Draw(rt, "key"))
			case 3:
				topic.rewrite(key.Draw(rt, "key"))
			case 4:
				topic.copy()
			case 5:
				topic.restore(rapid.IntRange(0, len(topic.copies)-1).Draw(rt, "copy"))
			case 6, 7:
				topic.read(replicas[i], now)
			case 8:
				fetchPage(replicas[i], replicas[one.Draw(rt, "peer")], now)
			case 9:
				replicas[i].Expire(now)
			}
		}
		for _, r := range replicas {
			topic.read(r, now)
		}
		now = now.Add(hiddenFor + time.Second)
		want := topic.snapshot().Records
		slices.SortFunc(want, func(x, y Record) int { return int(x.Key[0]) - int(y.Key[0]) })
		for i, r := range replicas {
			topic.read(r, now)
			r.Expire(now)
			if got := r.Records(); !slices.EqualFunc(got, want, func(x, y Record) bool { return x.Key == y.Key && numberOf(&x) >= numberOf(&y) }) {
				rt.Fatalf("replica %d has %v, the log %v", i, got, want)
			}
		}
	})
}

// at is a time in tests of restores.
func at(s int) time.Time { return time.Unix(int64(s), 0) }

func newTestReplica(era Era, end uint64, records ...Record) *Replica {
	r := NewReplica(ReplicaOptions{OutageGap: time.Second, Later: isLaterStatement, AbsentFor: 2 * time.Second, HiddenFor: 5 * time.Second})
	r.Replace(Snapshot{Era: era, Records: records, End: end}, at(1))
	return r
}

// A key that a copy does not have yet must stay until the time for writing it again is over; one that was
// dropped and is in the copy must stay dropped, until a later statement says otherwise.
func TestKeysThatACopyLacksOrHasAgain(t *testing.T) {
	r := newTestReplica(1, 5, Record{Key: "lost", Value: statement(4), Era: 1, Offset: 4}, Record{Key: "left", Value: statement(2), Era: 1, Offset: 2})
	r.Merge([]Record{{Key: "left", Era: 1, Offset: 5}}, 6, at(2))
	r.Replace(Snapshot{Era: 2, Records: []Record{{Key: "left", Value: statement(2), Era: 2, Offset: 2}}, End: 3}, at(3))
	if _, ok := r.Get("lost"); !ok {
		t.Error("a key that the copy lacks is gone at once")
	}
	if _, ok := r.Get("left"); ok {
		t.Error("a dropped key is back with the copy")
	}
	r.Expire(at(4))
	if _, ok := r.Get("lost"); !ok {
		t.Error("a key that the copy lacks is gone before the time for writing it again is over")
	}
	r.Expire(at(6))
	if _, ok := r.Get("lost"); ok {
		t.Error("a key that was not written again is still there")
	}
	r.Merge([]Record{{Key: "left", Value: statement(7), Era: 2, Offset: 3}}, 4, at(7))
	if _, ok := r.Get("left"); !ok {
		t.Error("a later statement does not bring a dropped key back")
	}
}

// A record that is written again is the same statement: it must keep the position at which the statement
// was first read, by which targets at one address are ordered.
func TestRestatedRecordKeepsItsPosition(t *testing.T) {
	r := newTestReplica(1, 5, Record{Key: "a", Value: statement(4), Era: 1, Offset: 4})
	r.Replace(Snapshot{Era: 2, End: 2}, at(2))
	r.Merge([]Record{{Key: "a", Value: statement(4), Era: 2, Offset: 2}}, 3, at(3))
	if record, _ := r.Get("a"); record.First != (Position{Era: 1, Offset: 4}) || record.At() != (Position{Era: 2, Offset: 2}) {
		t.Errorf("first read at %s, is at %s", record.First, record.At())
	}
	if r.Restated() != 1 || len(r.Retained()) != 0 || r.RetainedDigest() != 0 {
		t.Errorf("%d restated, %d retained, digest %x", r.Restated(), len(r.Retained()), r.RetainedDigest())
	}
}

// Positions of different eras must not be compared: an equal or a higher end of another era says nothing.
func TestCoverageOfAnotherEraSaysNothing(t *testing.T) {
	r := newTestReplica(2, 5)
	other := Coverage{Era: 1, End: 9, SeenFrom: 0, DropEnd: 9}
	if r.LacksDrop(other) || r.CoveredBy(other) {
		t.Error("coverage of an earlier era counts")
	}
	page := newTestReplica(1, 9).PageFrom(r.EndPosition())
	if r.CanApply(&page, r.EndPosition()) {
		t.Error("a page of an earlier era can be applied")
	}
}

// restorableSource is a store that can be restored. Its calls are counted.
type restorableSource struct {
	mu    sync.Mutex
	topic restorableTopic
	calls int
	// late answers are of this era if it is set.
	late Era
}

func (s *restorableSource) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *restorableSource) Newest(context.Context) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	snapshot := s.topic.snapshot()
	if s.late > 0 {
		snapshot.Era = s.late
	}
	return snapshot, nil
}

func (s *restorableSource) Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error) {
	deadline := time.Now().Add(wait)
	for ctx.Err() == nil {
		s.mu.Lock()
		end, era := s.topic.end(), s.topic.era
		if from > end || from < end || time.Now().After(deadline) {
			defer s.mu.Unlock()
			s.calls++
			if from > end {
				return Snapshot{Era: era}, ErrTrimmed
			}
			records := slices.Clone(s.topic.records[from:])
			for i := range records {
				records[i].Era = era
			}
			return Snapshot{Era: era, Records: records, End: end}, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
	return Snapshot{}, ctx.Err()
}

func newRestorableSource(records int) *restorableSource {
	s := &restorableSource{topic: restorableTopic{era: 1, written: map[string]Record{}}}
	s.topic.copy()
	for range records {
		s.topic.write("config")
	}
	return s
}

// A follower must read a restored topic once, and long-poll again: it used to read a snapshot, ignore it and
// read records that the store did not have, over and over.
func TestRestoredTopicIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newRestorableSource(6)
		f, loop := startFollower(t, source, Options{Wait: 4 * time.Second, Place: func() (int, int) { return 3, 4 }})
		time.Sleep(time.Second)
		var before int
		source.set(func() { source.topic.restore(0); before = source.calls })
		time.Sleep(3 * time.Second)
		source.set(func() {
			if calls := source.calls - before; calls > 3 {
				t.Errorf("%d calls in three seconds after the restore", calls)
			}
			source.topic.write("other")
		})
		time.Sleep(100 * time.Millisecond)
		for _, key := range []string{"config", "other"} {
			if !hasKey(loop, f, key) {
				t.Errorf("%s is not known", key)
			}
		}
		loop.Stop()
		synctest.Wait()
	})
}

// A process that is not among the first to read a restored topic must wait for a peer that has, but not for
// ever.
func TestFollowerAwaitsPeersAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newRestorableSource(6)
		const wait = 700 * time.Millisecond
		f, loop := startFollower(t, source, Options{Wait: 4 * time.Second, AwaitPeers: func(learned time.Duration) bool { return learned < wait }})
		time.Sleep(time.Second)
		source.set(func() { source.topic.restore(0); source.topic.write("other") })
		time.Sleep(wait - 100*time.Millisecond)
		if hasKey(loop, f, "other") {
			t.Error("the restored topic was read before the time to wait for a peer was over")
		}
		time.Sleep(300 * time.Millisecond)
		if !hasKey(loop, f, "other") {
			t.Error("the restored topic was not read")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// An answer of an earlier era than one already seen must change nothing.
func TestLateAnswerOfEarlierEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newRestorableSource(3)
		f, loop := startFollower(t, source, Options{Wait: time.Second, Pause: 50 * time.Millisecond})
		time.Sleep(100 * time.Millisecond)
		source.set(func() {
			source.topic.restore(0)
			source.late = 1
			for range 4 { // beyond the end that was known
				source.topic.write("other")
			}
		})
		loop.Post(func() { f.NoteEra(2, time.Now()) })
		time.Sleep(2 * time.Second)
		if hasKey(loop, f, "other") {
			t.Error("an answer that names an earlier era was applied")
		}
		source.set(func() { source.late = 0 })
		time.Sleep(2 * time.Second)
		if !hasKey(loop, f, "other") {
			t.Error("the restored topic was not read")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// A read that waits while a peer brings the new era's log must not be merged beyond the end of that log, which
// may be lower: the records in between would be missing for good.
func TestReadOfEarlierEraLeavesNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newRestorableSource(6)
		f, loop := startFollower(t, source, Options{Wait: 4 * time.Second})
		time.Sleep(100 * time.Millisecond)
		peer := NewReplica(ReplicaOptions{Later: isLaterStatement})
		source.set(func() {
			source.topic.restore(0)
			source.topic.write("a")
			peer.Replace(source.topic.snapshot(), time.Now())
			for range 5 { // the topic ends where the read waits
				source.topic.write("b")
			}
		})
		loop.Post(func() {
			f.ApplyPage(peer.PageFrom(Position{Era: 1, Offset: 6}), Position{Era: 1, Offset: 6}, asof.Answer(time.Now(), time.Now()), 0, "peer")
		})
		time.Sleep(100 * time.Millisecond)
		source.set(func() { source.topic.write("c") })
		time.Sleep(100 * time.Millisecond)
		for _, key := range []string{"a", "b", "c"} {
			if !hasKey(loop, f, key) {
				t.Errorf("%s is not known", key)
			}
		}
		loop.Stop()
		synctest.Wait()
	})
}
