package feed

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
)

// lateSource is a store whose answers are written at once and arrive late.
type lateSource struct {
	mu    sync.Mutex
	topic fakeTopic
	late  time.Duration
	reads int
}

func (s *lateSource) Newest(context.Context) (Snapshot, error) {
	s.mu.Lock()
	answer := s.topic.newest(s.topic.end())
	s.mu.Unlock()
	time.Sleep(s.late)
	return answer, nil
}

func (s *lateSource) Read(_ context.Context, from uint64, _ time.Duration) (Snapshot, error) {
	s.mu.Lock()
	answer := Snapshot{Records: slices.Clone(s.topic.records[from:]), End: s.topic.end()}
	s.reads++
	s.mu.Unlock()
	time.Sleep(s.late)
	return answer, nil
}

func (s *lateSource) append(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic.append(key, []byte("1"))
}

func (s *lateSource) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// replicaTimes returns when a follower's replica was current, and when that was learned.
func replicaTimes(loop *control.Loop, f *Follower) (current, confirmed time.Time) {
	done := make(chan struct{})
	loop.Post(func() { current, confirmed = f.Replica().CurrentAt(), f.Replica().ConfirmedAt(); close(done) })
	<-done
	return current, confirmed
}

// Guards against an answer that counts as new although it was written long before it arrived: a stream would go
// on by a list from before its caller came back.
func TestReadIsCurrentAsOfItsQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &lateSource{late: time.Second}
		begin := time.Now()
		f, loop := startFollower(t, source, Options{Pause: time.Hour})
		time.Sleep(1500 * time.Millisecond)
		if current, confirmed := replicaTimes(loop, f); current != begin || confirmed != begin.Add(time.Second) {
			t.Errorf("a snapshot that was asked for at 0 and came at 1s is current as of %s, confirmed at %s", current.Sub(begin), confirmed.Sub(begin))
		}
		asked := time.Now()
		refresh(loop, f)
		time.Sleep(1500 * time.Millisecond)
		if current, confirmed := replicaTimes(loop, f); current != asked || confirmed != asked.Add(time.Second) {
			t.Errorf("a read that was asked for at 0 and came at 1s is current as of %s, confirmed at %s", current.Sub(asked), confirmed.Sub(asked))
		}
		loop.Stop()
		synctest.Wait()
	})
}

// refresh asks a follower for a read. The channel receives its outcome.
func refresh(loop *control.Loop, f *Follower) chan bool {
	outcome := make(chan bool, 1)
	loop.Post(func() { f.Refresh(func(ok bool) { outcome <- ok }) })
	return outcome
}

// Guards against a refresh that ends with the answer to an earlier question.
func TestRefreshAsksAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &lateSource{late: time.Second}
		f, loop := startFollower(t, source, Options{Pause: time.Hour, OnRefreshed: func() {}})
		time.Sleep(500 * time.Millisecond)
		source.append("new") // after the answer was written
		begin := time.Now()
		if ok := <-refresh(loop, f); !ok || !hasKey(loop, f, "new") {
			t.Errorf("the refresh ended with %v, and without the record from before it", ok)
		}
		if current, _ := replicaTimes(loop, f); current.Before(begin) {
			t.Errorf("the replica is current as of %s before the refresh", begin.Sub(current))
		}
		loop.Stop()
		synctest.Wait()
	})
}

// Guards against a read of the store for each stream that is resumed, and against callers that wait for a store
// that does not answer.
func TestRefreshesShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, refreshed := &lateSource{}, 0
		f, loop := startFollower(t, source, Options{Pause: time.Hour, OnRefreshed: func() { refreshed++ }})
		time.Sleep(time.Second)
		const refreshes = 2000
		begin := time.Now()
		var last chan bool
		for range refreshes {
			last = refresh(loop, f)
			time.Sleep(time.Millisecond)
		}
		<-last
		if most := int(time.Since(begin)/minRefreshInterval) + 2; source.readCount() > most || refreshed > most {
			t.Errorf("%d reads and %d views for %d refreshes in %s, want at most %d", source.readCount(), refreshed, refreshes, time.Since(begin), most)
		}
		loop.Stop()
		synctest.Wait()
	})
	synctest.Test(t, func(t *testing.T) {
		f, loop := startFollower(t, &failingSource{}, Options{OnRefreshed: func() { t.Error("a failed read counts as a refresh") }})
		time.Sleep(time.Second)
		if ok := <-refresh(loop, f); ok {
			t.Error("the refresh succeeded although the store failed")
		}
		loop.Stop()
		synctest.Wait()
	})
}

// Guards against a peer's page that counts as new although it was on its way for long.
func TestPageIsCurrentAsOfItsQuestion(t *testing.T) {
	peer := NewReplica(ReplicaOptions{OutageGap: time.Second})
	begin := time.Unix(1000, 0)
	peer.Replace(Snapshot{Records: []Record{{Key: "a", Value: []byte("1")}}, End: 1}, begin)
	f := NewFollower(nil, nil, NewReplica(ReplicaOptions{OutageGap: time.Second}), Options{OnChange: func([]string) {}})
	asked, answered := begin.Add(3*time.Second), begin.Add(5*time.Second)
	if !f.ApplyPage(peer.PageFrom(Position{}), Position{}, asof.Answer(asked, answered), 400*time.Millisecond, "peer") {
		t.Fatal("the page was not applied")
	}
	if current, confirmed := f.Replica().CurrentAt(), f.Replica().ConfirmedAt(); current != asked.Add(-400*time.Millisecond) || confirmed != answered.Add(-400*time.Millisecond) {
		t.Errorf("current as of %s, confirmed at %s", current.Sub(begin), confirmed.Sub(begin))
	}
}

// cutSource is a store that answers with few records at once.
type cutSource struct{ lateSource }

func (s *cutSource) Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error) {
	answer, err := s.lateSource.Read(ctx, from, wait)
	if most := 2; len(answer.Records) > most {
		answer.TopicEnd = answer.End
		answer.Records = answer.Records[:most]
		answer.End = from + uint64(most)
	}
	return answer, err
}

// Guards against a replica that counts as current although the store's answer had not all records, and against a
// reader that then waits before it reads on.
func TestAnswerWithoutAllRecordsIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &cutSource{}
		source.append("first")
		f, loop := startFollower(t, source, Options{ShouldRead: func(time.Time) bool { return source.readCount() == 0 }})
		time.Sleep(time.Second)
		before, _ := replicaTimes(loop, f)
		source.late = 100 * time.Millisecond
		for range 5 {
			source.append("next")
		}
		source.append("last")
		asked := time.Now()
		outcome := refresh(loop, f)
		time.Sleep(150 * time.Millisecond)
		if current, _ := replicaTimes(loop, f); current != before {
			t.Errorf("current as of %s after the refresh, without the last records", current.Sub(asked))
		}
		if ok := <-outcome; !ok || !hasKey(loop, f, "last") {
			t.Errorf("the refresh ended with %v before the last record was read", ok)
		}
		if took := time.Since(asked); took > 400*time.Millisecond {
			t.Errorf("three reads took %s", took)
		}
		loop.Stop()
		synctest.Wait()
	})
}
