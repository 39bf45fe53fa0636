package quarantine

import (
	"flag"
	"slices"
	"testing"
	"time"
)

// partLoad is a workload with requests of fatal parts beside sound ones that share the outermost part.
func partLoad(entries, engines int, every time.Duration, parts ...string) workload {
	return workload{
		entries: entries, engines: engines, fatalParts: parts, partEvery: every, fatalFrom: time.Second, sharedParts: 10,
		requestsPerEngine: 5, loss: 0.01, duration: 40 * time.Second,
	}
}

const (
	// contactTime is within which all entries must know of a fatal part, counted from its fifth crash.
	contactTime = 3 * time.Second
	// knownCrashes and laterRuns are the numbers of crashes from which contactTime counts, and of runs
	// that are allowed after it.
	knownCrashes, laterRuns = 5, 3
)

// runsAfterKnown returns how many requests with a part were sent later than contactTime after its fifth
// crash.
func (s *sim) runsAfterKnown(part string) int {
	crashes := s.partCrashes[part]
	if len(crashes) < knownCrashes {
		return 0
	}
	known := crashes[knownCrashes-1] + contactTime
	return len(slices.DeleteFunc(slices.Clone(s.partRuns[part]), func(at time.Duration) bool { return at <= known }))
}

// servedShare returns the rate at which other requests were served from twice contactTime after the
// fifth crash, or the last, until the end, relative to the rate at which they are sent.
func (s *sim) servedShareAfter(part string) float64 {
	crashes := s.partCrashes[part]
	from := crashes[min(len(crashes), knownCrashes)-1] + 2*contactTime
	served := 0
	for _, at := range s.ordinaryServed {
		if at >= from {
			served++
		}
	}
	return float64(served) / ((s.duration - from).Seconds() * float64(s.requestsPerEngine*s.engines))
}

// Guards against a part that goes on crashing engines under requests that all differ, and against
// sound requests that are refused because they share other parts with these, at any size of the
// deployment.
func TestFatalPartCrashesFewEngines(t *testing.T) {
	for _, c := range []struct {
		name string
		load workload
	}{
		{"small fleet", partLoad(4, 9, 100*time.Millisecond, "f")},
		{"small fleet, 100 a second", partLoad(2, 9, 10*time.Millisecond, "f")},
		{"large fleet", partLoad(103, 180, 50*time.Millisecond, "f")},
		{"outermost part", func() workload { w := partLoad(4, 9, 100*time.Millisecond, "f"); w.isOuter = true; return w }()},
		{"sound at first", func() workload {
			w := partLoad(4, 9, 100*time.Millisecond, "f")
			w.fatalFrom = 12 * time.Second
			return w
		}()},
		{"two parts", partLoad(4, 18, 150*time.Millisecond, "f", "g")},
		{"beside a fatal request", func() workload {
			w := partLoad(4, 18, 150*time.Millisecond, "f")
			w.fatal, w.fatalEvery = 1, 300*time.Millisecond
			return w
		}()},
		{"beside unrelated crashes", func() workload {
			w := partLoad(4, 18, 100*time.Millisecond, "f")
			w.crashEvery, w.crashes = 2*time.Second, 1
			return w
		}()},
		{"entries cut off", func() workload {
			w := partLoad(4, 18, 100*time.Millisecond, "f")
			w.partitionFor = 5 * time.Second
			return w
		}()},
	} {
		seeds := uint64(3)
		if c.load.entries > 100 {
			seeds = 1
		}
		for seed := range seeds {
			s := simulate(fullQuarantine, c.load, seed)
			for _, part := range c.load.fatalParts {
				if len(s.partCrashes[part]) == 0 {
					t.Errorf("%s, seed %d: part %s crashed no engine", c.name, seed, part)
					continue
				}
				if n := s.runsAfterKnown(part); n > laterRuns {
					t.Errorf("%s, seed %d: %d requests with part %s were sent later than %s after the fifth crash, want at most %d; %d crashes", c.name, seed, n, part, contactTime, laterRuns, len(s.partCrashes[part]))
				}
				if share := s.servedShareAfter(part); share < 0.9 {
					t.Errorf("%s, seed %d: %.2f of the other requests are served, want 0.9", c.name, seed, share)
				}
				t.Logf("%s, seed %d: part %s: %d crashes, %d sends after it must be known; %.2f of the others are served, %d of %d were refused for their parts", c.name, seed, part, len(s.partCrashes[part]), s.runsAfterKnown(part), s.servedShareAfter(part), s.partRefused, s.ordinarySent)
			}
			if s.partRefused > 0 {
				t.Errorf("%s, seed %d: %d of %d other requests were refused for their parts", c.name, seed, s.partRefused, s.ordinarySent)
			}
		}
	}
}

// Guards against a fatal part that goes on crashing engines in the largest fleet, at a hundred such requests a
// second, and against a storm of announcements there. It is measured by hand, with -compare.
func TestFatalPartInTheLargestFleet(t *testing.T) {
	if !*compareParts {
		t.Skip("takes long; run with -compare")
	}
	load := partLoad(420, 600, 10*time.Millisecond, "f")
	load.duration = 14 * time.Second
	start := time.Now()
	s := simulate(fullQuarantine, load, 1)
	crashes := s.partCrashes["f"]
	within := func(d time.Duration) int {
		return len(slices.DeleteFunc(slices.Clone(crashes), func(at time.Duration) bool { return at > crashes[0]+d }))
	}
	t.Logf("%d crashes, %d in the second after the first; %d sends after it must be known; %.2f of the others are served, %d of %d refused for their parts; each entry sent %.0f datagrams of records, %.1f KB, in %s; the model took %s",
		len(crashes), within(time.Second), s.runsAfterKnown("f"), s.servedShareAfter("f"), s.partRefused, s.ordinarySent,
		float64(s.datagrams)/float64(load.entries), float64(s.bytes)/1000/float64(load.entries), load.duration, time.Since(start).Round(time.Millisecond))
	if n := s.runsAfterKnown("f"); n > laterRuns {
		t.Errorf("%d requests with the part were sent later than %s after the fifth crash, want at most %d", n, contactTime, laterRuns)
	}
	if share := s.servedShareAfter("f"); share < 0.9 || s.partRefused > 0 {
		t.Errorf("%.2f of the other requests are served, %d were refused for their parts", share, s.partRefused)
	}
}

// Guards against parts that are refused for crashes of engines that have another cause.
func TestUnrelatedCrashesRefuseNoPart(t *testing.T) {
	for _, c := range []struct {
		name string
		load workload
	}{
		{"single crashes", workload{entries: 4, engines: 9, crashEvery: 300 * time.Millisecond, crashes: 1}},
		{"all engines lose power", workload{entries: 4, engines: 9, crashEvery: 4 * time.Second, crashes: 40}},
		{"half of a large fleet", workload{entries: 30, engines: 60, crashEvery: 3 * time.Second, crashes: 30}},
		{"a fatal request", workload{entries: 4, engines: 9, fatal: 2, fatalEvery: 200 * time.Millisecond}},
	} {
		for seed := range uint64(3) {
			c.load.requestsPerEngine, c.load.sharedParts, c.load.duration = 8, 10, 40*time.Second
			if s := simulate(fullQuarantine, c.load, seed); s.partRefused > 0 || s.ordinaryRefused > 0 {
				t.Errorf("%s, seed %d: %d of %d requests were refused for their parts, %d for themselves", c.name, seed, s.partRefused, s.ordinarySent, s.ordinaryRefused)
			}
		}
	}
}

var compareParts = flag.Bool("compare", false, "also measure the ways against fatal parts that are not in use")

// Guards against a change after which the way in use crashes more engines, or refuses more sound
// requests, than others would.
func TestCompareWaysAgainstFatalParts(t *testing.T) {
	byRequests, refuseOnly, allSuspect := fullQuarantine, fullQuarantine, fullQuarantine
	byRequests.parts, refuseOnly.restrictParts, allSuspect.soundHistory = false, false, false
	loads := []struct {
		name string
		load workload
	}{
		{"4 entries, 9 engines, 10 a second", partLoad(4, 9, 100*time.Millisecond, "f")},
		{"2 entries, 9 engines, 100 a second", partLoad(2, 9, 10*time.Millisecond, "f")},
		{"4 entries, 18 engines, two parts", partLoad(4, 18, 150*time.Millisecond, "f", "g")},
	}
	t.Logf("%-40s | %-36s: crashes by each part, share of others served, others refused for their parts", "load", "way")
	for _, l := range loads {
		for _, way := range []struct {
			name     string
			strategy strategy
		}{{"by requests only", byRequests}, {"refused parts, no other restriction", refuseOnly}, {"all parts of crashed runs suspect", allSuspect}, {"kept", fullQuarantine}} {
			if !*compareParts && way.name != "kept" {
				continue
			}
			l.load.duration = 25 * time.Second
			s := simulate(way.strategy, l.load, 1)
			crashes := 0
			for _, part := range l.load.fatalParts {
				crashes += len(s.partCrashes[part])
			}
			t.Logf("%-40s | %-36s: %5.1f %5.2f %6d of %d", l.name, way.name, float64(crashes)/float64(len(l.load.fatalParts)), s.servedShareAfter("f"), s.partRefused, s.ordinarySent)
		}
	}
}
