package feed

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against processes that take a topic for current by an answer that is older than they say, and against ages
// that grow while the store answers: an empty answer to a long poll holds as of the end of its wait.
func TestEmptyLongPollHoldsAsOfItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 4 * time.Second
		source := &stallingSource{}
		f, loop := startFollower(t, source, Options{Wait: wait, Place: func() (int, int) { return 0, 4 }})
		time.Sleep(wait + time.Second)
		synctest.Wait()
		age := make(chan time.Duration)
		loop.Post(func() { age <- time.Since(f.Replica().CurrentAt()) })
		if got := <-age; got > time.Second {
			t.Errorf("1 s after the end of an empty long poll the replica is %v old", got)
		}
		source.set(func() { source.stalled = true })
		time.Sleep(2 * wait)
		loop.Post(func() { age <- time.Since(f.Replica().CurrentAt()) })
		if got := <-age; got < 2*wait {
			t.Errorf("while the store is silent for %v the replica is %v old", 2*wait, got)
		}
		loop.Stop()
		synctest.Wait()
	})
}

// Guards against processes that step in all at once, or too late for the bound.
func TestProcessesStepInOneAfterTheOther(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 4 * time.Second, 17 * time.Second} {
		s, before := Schedule{Bound: bound}, time.Duration(0)
		for rank := range 100 {
			age := s.StepInAge(rank, 100)
			if age <= before || age < 2*s.RenewPeriod() || age > bound*6/10 {
				t.Errorf("bound %v: place %d reads at an age of %v, the one before at %v", bound, rank, age, before)
			}
			before = age
		}
		if last := s.StepInAge(100, 100); last != bound*6/10 {
			t.Errorf("bound %v: a place beyond the last reads at %v", bound, last)
		}
	}
}
