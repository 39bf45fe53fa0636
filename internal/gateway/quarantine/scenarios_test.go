package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// A request that crashes every engine and is retried at all entries must crash only the engines
// that it takes to refuse it, at any size of the deployment. No other request is refused.
func TestFatalRequestCrashesFewEngines(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{3, 9}, {30, 60}, {103, 180}} {
		for seed := range uint64(3) {
			s := simulate(fullQuarantine, workload{entries: size.entries, engines: size.engines, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 5, loss: 0.01, duration: 30 * time.Second}, seed)
			// inFlight is the number of attempts sent while the first one is queued and runs.
			const inFlight = 2
			if n := s.crashesBy[1]; n < 3 || n > 3+inFlight {
				t.Errorf("%d entries, seed %d: %d engines crashed", size.entries, seed, n)
			}
			if s.ordinaryRefused > 0 {
				t.Errorf("%d entries, seed %d: %d of %d other requests were refused", size.entries, seed, s.ordinaryRefused, s.ordinarySent)
			}
		}
	}
}

// Simultaneous unrelated crashes of half or all of the engines must not get a request refused.
func TestUnrelatedCrashesQuarantineNoRequest(t *testing.T) {
	for _, load := range []workload{
		{entries: 4, engines: 9, crashEvery: 3 * time.Second, crashes: 9, requestsPerEngine: 8, duration: 60 * time.Second},
		{entries: 30, engines: 60, crashEvery: 3 * time.Second, crashes: 30, requestsPerEngine: 8, duration: 30 * time.Second},
	} {
		requireNoRefusals(t, load)
	}
}

// Unrelated crashes that hit a third of all runs must not get a request refused.
func TestFrequentUnrelatedCrashesRefuseNoRequest(t *testing.T) {
	requireNoRefusals(t, workload{entries: 4, engines: 9, crashEvery: 300 * time.Millisecond, crashes: 1, requestsPerEngine: 8, duration: 60 * time.Second})
}

func requireNoRefusals(t *testing.T, load workload) {
	t.Helper()
	for seed := range uint64(3) {
		if s := simulate(fullQuarantine, load, seed); s.ordinaryRefused > 0 {
			t.Errorf("%+v, seed %d: %d of %d requests were refused", load, seed, s.ordinaryRefused, s.ordinarySent)
		}
	}
}

// Several fatal requests must each crash few engines, and no other request is refused.
func TestSeveralFatalRequestsAtOnce(t *testing.T) {
	for seed := range uint64(3) {
		s := simulate(fullQuarantine, workload{entries: 4, engines: 18, fatal: 4, fatalEvery: 300 * time.Millisecond, requestsPerEngine: 5, duration: 30 * time.Second}, seed)
		for fp, n := range s.crashesBy {
			// Two fatal requests on the same engine need one more crash each to be told apart.
			if n > 7 {
				t.Errorf("seed %d: request %d crashed %d engines", seed, fp, n)
			}
		}
		if s.ordinaryRefused > 0 {
			t.Errorf("seed %d: %d of %d other requests were refused", seed, s.ordinaryRefused, s.ordinarySent)
		}
	}
}

// A network partition between entries must not let a fatal request crash more engines than each
// half needs to refuse it. Afterwards all entries know it, and only its probation run crashes
// another.
func TestPartitionedEntries(t *testing.T) {
	for seed := range uint64(3) {
		load := workload{entries: 30, engines: 60, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 5, loss: 0.01, partitionFor: 10 * time.Second, duration: 11 * time.Second}
		duringPartition := simulate(fullQuarantine, load, seed)
		const inFlight = 2
		if n := duringPartition.crashesBy[1]; n > 2*(3+inFlight) {
			t.Errorf("seed %d: %d engines crashed during the partition", seed, n)
		}
		load.duration = 30 * time.Second
		afterPartition := simulate(fullQuarantine, load, seed)
		const probationRuns = 1
		if afterPartition.crashesBy[1] > duringPartition.crashesBy[1]+probationRuns {
			t.Errorf("seed %d: %d engines crashed during the partition, %d in total", seed, duringPartition.crashesBy[1], afterPartition.crashesBy[1])
		}
		for _, n := range afterPartition.nodes {
			if n.Status(1, afterPartition.clock()).Verdict != Refused {
				t.Errorf("seed %d: entry %d does not refuse the fatal request", seed, n.id)
			}
		}
		if afterPartition.ordinaryRefused > 0 {
			t.Errorf("seed %d: %d other requests were refused", seed, afterPartition.ordinaryRefused)
		}
	}
}

// A fatal request that keeps being retried may crash engines on its limited probation runs only.
func TestFatalRequestOnProbation(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{4, 9}, {30, 60}} {
		for seed := range uint64(2) {
			s := simulate(fullQuarantine, workload{entries: size.entries, engines: size.engines, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 3, loss: 0.01, duration: 90 * time.Second}, seed)
			const inFlight = 2
			if n := s.crashesBy[1]; n > 3+inFlight+maxProbations {
				t.Errorf("%d entries, seed %d: %d engines crashed", size.entries, seed, n)
			}
			// Allow a few sends after lateMargin, including the probation runs.
			const allowedLate = 3
			if n := s.fatalSentLate; n > allowedLate {
				t.Errorf("%d entries, seed %d: sent %d times later than %s after the third crash", size.entries, seed, n, lateMargin)
			}
			if s.ordinaryRefused > 0 {
				t.Errorf("%d entries, seed %d: %d other requests were refused", size.entries, seed, s.ordinaryRefused)
			}
		}
	}
}

// A request that crashes only some engines and is served by the others must still be refused.
func TestRequestThatCrashesSomeEngines(t *testing.T) {
	for seed := range uint64(5) {
		s := simulate(fullQuarantine, workload{entries: 4, engines: 18, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 5, immuneShare: 0.66, duration: 60 * time.Second}, seed)
		const inFlight = 2
		if n := s.crashesBy[1]; n > 3+inFlight {
			t.Errorf("seed %d: %d engines crashed", seed, n)
		}
		if s.ordinaryRefused > 0 {
			t.Errorf("seed %d: %d other requests were refused", seed, s.ordinaryRefused)
		}
	}
}

// lateEvidenceLoad is a fatal request whose crashes often show only after its retry.
func lateEvidenceLoad(entries, engines int, hidden float64) workload {
	return workload{entries: entries, engines: engines, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 5, loss: 0.01, lateEvidence: 0.5, hiddenEvidence: hidden, duration: 9 * time.Second}
}

// A fatal request must not crash more engines because there is no evidence of a crash when its
// retry is placed, at the same entry or at another one.
func TestLateEvidenceCrashesFewEngines(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{2, 9}, {4, 18}, {30, 60}} {
		for seed := range uint64(10) {
			s := simulate(fullQuarantine, lateEvidenceLoad(size.entries, size.engines, 0.2), seed)
			const inFlight = 2
			if n := s.crashesBy[1]; n > 3+inFlight {
				t.Errorf("%d entries, seed %d: %d engines crashed", size.entries, seed, n)
			}
			if s.ordinaryRefused > 0 {
				t.Errorf("%d entries, seed %d: %d other requests were refused", size.entries, seed, s.ordinaryRefused)
			}
		}
	}
}

// TestCompareLateEvidence prints the engines crashed by a request whose crashes often show only
// after its retry, for the ways to deal with it.
//
//	go test -run TestCompareLateEvidence -v ./internal/gateway/quarantine
func TestCompareLateEvidence(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a comparison table; run with -v")
	}
	ways := []struct {
		name string
		set  func(*strategy)
	}{
		{"the list alone, nothing counts until then", func(*strategy) {}},
		{"probe again", func(s *strategy) { s.recheck = true }},
		{"probe again, retry after the first recheck", func(s *strategy) { s.recheck, s.awaitEvidence = true, true }},
		{"unconfirmed crashes count, no probe again", func(s *strategy) { s.countUnconfirmed, s.announceUnconfirmed = true, true }},
		{"probe again, unconfirmed crashes count here", func(s *strategy) { s.recheck, s.countUnconfirmed = true, true }},
		{"probe again, unconfirmed crashes count everywhere", func(s *strategy) { s.recheck, s.countUnconfirmed, s.announceUnconfirmed = true, true, true }},
		{"the same, and retry after the first recheck", func(s *strategy) {
			s.recheck, s.countUnconfirmed, s.announceUnconfirmed, s.awaitEvidence = true, true, true, true
		}},
	}
	for _, load := range []workload{lateEvidenceLoad(2, 9, 0), lateEvidenceLoad(2, 9, 0.2), lateEvidenceLoad(4, 18, 0.2), lateEvidenceLoad(30, 60, 0.2)} {
		t.Logf("%d entries, %d engines, %.0f %% of crashes without evidence at first, %.0f %% of these not found by probes", load.entries, load.engines, 100*load.lateEvidence, 100*load.hiddenEvidence)
		for _, way := range ways {
			strat := fullQuarantine
			strat.recheck, strat.countUnconfirmed, strat.announceUnconfirmed = false, false, false
			way.set(&strat)
			const seeds = 40
			crashed, beyond, failed, ordinary := 0, 0, 0, 0
			for seed := range uint64(seeds) {
				s := simulate(strat, load, seed)
				crashed += s.crashesBy[1]
				if s.crashesBy[1] > 3 {
					beyond++
				}
				failed, ordinary = failed+s.ordinaryFailed, ordinary+s.ordinarySent
			}
			t.Logf("%-52s %4.2f engines crashed, over three in %2d of %d plays; %.1f of %d other requests failed", way.name, float64(crashed)/seeds, beyond, seeds, float64(failed)/seeds, ordinary/seeds)
		}
	}
}

// cancelledRunsLoad is a fatal request on idle engines, which start its retry before there is evidence
// of its first crash and the retry is cancelled.
func cancelledRunsLoad(entries, engines int, crashDelay, restartTime time.Duration) workload {
	return workload{entries: entries, engines: engines, fatal: 1, fatalEvery: 200 * time.Millisecond, idle: true, requestsPerEngine: 5, loss: 0.01, lateEvidence: 0.5, crashDelay: crashDelay, restartTime: restartTime, duration: 9 * time.Second}
}

// The crash of an engine on which a run was cancelled must count, so that a fatal request on idle
// engines crashes few of them.
func TestCancelledRunsCrashFewEngines(t *testing.T) {
	for _, crashDelay := range []time.Duration{simCrashDelay, 400 * time.Millisecond} {
		for seed := range uint64(10) {
			s := simulate(fullQuarantine, cancelledRunsLoad(4, 18, crashDelay, 300*time.Millisecond), seed)
			const inFlight = 2
			if n := s.crashesBy[1]; n > 3+inFlight {
				t.Errorf("crash after %s, seed %d: %d engines crashed", crashDelay, seed, n)
			}
			if s.ordinaryRefused > 0 {
				t.Errorf("crash after %s, seed %d: %d other requests were refused", crashDelay, seed, s.ordinaryRefused)
			}
		}
	}
}

// TestCompareCancelledRuns prints the engines crashed by such a request, for the ways to find the
// crash of an engine on which a run was cancelled.
//
//	go test -run TestCompareCancelledRuns -v ./internal/gateway/quarantine
func TestCompareCancelledRuns(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a comparison table; run with -v")
	}
	ways := []struct {
		name   string
		probes []time.Duration
	}{
		{"the list alone", nil},
		{"one probe after 500 ms", []time.Duration{abandonedProbeDelay}},
		{"two probes, as for broken runs", repeatedProbes()[:acceptsToDismiss]},
		{"probes until the crash no longer counts", repeatedProbes()},
	}
	for _, size := range []struct{ entries, engines int }{{4, 18}, {30, 60}} {
		for _, crashDelay := range []time.Duration{simCrashDelay, 400 * time.Millisecond} {
			for _, restartTime := range []time.Duration{300 * time.Millisecond, simRestartTime} {
				t.Logf("%d entries, %d engines that crash after %s and are down for %s", size.entries, size.engines, crashDelay, restartTime)
				for _, way := range ways {
					strat := fullQuarantine
					strat.cancelledProbes = way.probes
					const seeds = 40
					crashed, most := 0, 0
					for seed := range uint64(seeds) {
						s := simulate(strat, cancelledRunsLoad(size.entries, size.engines, crashDelay, restartTime), seed)
						crashed, most = crashed+s.crashesBy[1], max(most, s.crashesBy[1])
					}
					t.Logf("%-42s %4.2f engines crashed, %d at most", way.name, float64(crashed)/seeds, most)
				}
			}
		}
	}
}

// Requests that are always in flight meet several of a series of unrelated crashes, and must not be
// refused for it.
func TestAlwaysRunningRequestsAreNotRefused(t *testing.T) {
	for _, engines := range []int{3, 9, 18} {
		for seed := range uint64(20) {
			s := simulate(fullQuarantine, workload{entries: 2, engines: engines, popular: 8, crashEvery: 300 * time.Millisecond, crashes: 1, requestsPerEngine: 1, restartTime: time.Millisecond, duration: 10 * time.Second}, seed)
			if s.popularRefused > 0 {
				t.Errorf("%d engines, seed %d: %d of %d attempts were refused", engines, seed, s.popularRefused, s.popularSent)
			}
		}
	}
}

// A request that crashes its engine on every second run must be refused although other engines
// crash, too.
func TestSometimesFatalRequestAmongOtherCrashes(t *testing.T) {
	for seed := range uint64(10) {
		s := simulate(fullQuarantine, workload{entries: 4, engines: 18, fatal: 1, fatalEvery: 200 * time.Millisecond, servedShare: 0.5, crashEvery: 2 * time.Second, crashes: 1, requestsPerEngine: 5, duration: 30 * time.Second}, seed)
		const inFlight = 2
		if n := s.crashesBy[1]; n > 3+extraCrashes+inFlight {
			t.Errorf("seed %d: %d engines crashed", seed, n)
		}
	}
}

// TestCompareSeriesOfCrashes prints, for a series of unrelated crashes, in how many plays a request
// that is always in flight is refused, and how many engines a request crashes that does so on every
// second run.
//
//	go test -run TestCompareSeriesOfCrashes -v ./internal/gateway/quarantine
func TestCompareSeriesOfCrashes(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a comparison table; run with -v")
	}
	const seeds = 60
	for _, engines := range []int{3, 9, 18, 60} {
		refused, sent, plays := 0, 0, 0
		var crashed, most [2]int
		for seed := range uint64(seeds) {
			series := workload{entries: 2, engines: engines, crashEvery: 300 * time.Millisecond, crashes: 1, requestsPerEngine: 1, restartTime: time.Millisecond, duration: 10 * time.Second}
			series.popular = 8
			s := simulate(fullQuarantine, series, seed)
			refused, sent = refused+s.popularRefused, sent+s.popularSent
			if s.popularRefused > 0 {
				plays++
			}
			series.popular, series.fatal, series.fatalEvery, series.servedShare = 0, 1, 200*time.Millisecond, 0.5
			series.duration = 30 * time.Second
			for i, crashEvery := range []time.Duration{2 * time.Second, 300 * time.Millisecond} {
				series.crashEvery = crashEvery
				s = simulate(fullQuarantine, series, seed)
				crashed[i], most[i] = crashed[i]+s.crashesBy[1], max(most[i], s.crashesBy[1])
			}
		}
		t.Logf("%2d engines: refused in %2d of %d plays, %5.2f %% of attempts; crashed %5.2f engines, %d at most, among a crash in 2 s; %5.2f, %d at most, among one in 0.3 s",
			engines, plays, seeds, 100*float64(refused)/float64(sent), float64(crashed[0])/seeds, most[0], float64(crashed[1])/seeds, most[1])
	}
}

// TestCompareStrategies prints the effect of each strategy: engines crashed per fatal request,
// other requests refused or failed, and announcement traffic.
//
//	go test -run TestCompareStrategies -v ./internal/gateway/quarantine
func TestCompareStrategies(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a comparison table; run with -v")
	}
	for _, load := range []workload{
		{entries: 4, engines: 9, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 8, loss: 0.01, duration: 20 * time.Second},
		{entries: 4, engines: 9, fatal: 1, fatalEvery: 20 * time.Millisecond, requestsPerEngine: 8, loss: 0.01, duration: 20 * time.Second},
		{entries: 4, engines: 9, fatal: 4, fatalEvery: 100 * time.Millisecond, requestsPerEngine: 8, loss: 0.01, duration: 20 * time.Second},
		{entries: 30, engines: 60, fatal: 4, fatalEvery: 20 * time.Millisecond, requestsPerEngine: 8, loss: 0.01, duration: 10 * time.Second},
	} {
		t.Logf("%d entries, %d engines, %d fatal requests, each every %v", load.entries, load.engines, load.fatal, load.fatalEvery)
		for _, strat := range []strategy{noQuarantine, localOnly, announceOnly, withApart, withAlone, fullQuarantine} {
			crashed, sent, refused, failed, ordinary := 0, 0, 0, 0, 0
			const seeds = 5
			for seed := range uint64(seeds) {
				s := simulate(strat, load, seed)
				for _, n := range s.crashesBy {
					crashed += n
				}
				sent += s.fatalSent
				refused, failed, ordinary = refused+s.ordinaryRefused, failed+s.ordinaryFailed, ordinary+s.ordinarySent
			}
			t.Logf("%-40s each crashed %5.1f engines, was sent %6.1f times; of %d other requests %5.1f were refused, %6.1f failed", strat.name,
				float64(crashed)/seeds/float64(load.fatal), float64(sent)/seeds/float64(load.fatal), ordinary/seeds, float64(refused)/seeds, float64(failed)/seeds)
		}
	}
	for _, size := range []struct{ entries, engines int }{{3, 9}, {30, 60}, {103, 180}, {420, 600}} {
		load := workload{entries: size.entries, engines: size.engines, fatal: 1, fatalEvery: 200 * time.Millisecond, requestsPerEngine: 5, loss: 0.01, duration: 20 * time.Second}
		s := simulate(fullQuarantine, load, 1)
		refusals := s.refusedAt[1]
		last := time.Duration(0)
		if len(refusals) > 0 {
			last = refusals[len(refusals)-1] - s.thirdCrashAt[1]
		}
		entrySeconds := float64(size.entries) * load.duration.Seconds()
		t.Logf("%3d entries: %d engines crashed; %d refusals, the last %v after the third crash; per second and entry %s", size.entries, s.crashesBy[1], len(refusals), last, fmt.Sprintf("%.1f datagrams, %.0f bytes", float64(s.datagrams)/entrySeconds, float64(s.bytes)/entrySeconds))
	}
}

// Guards against entries that get thousands of datagrams when many engines of a large fleet crash at once, as they
// did when each passed on all that it learned at once.
func TestCrashesOfManyEnginesDoNotFloodEntries(t *testing.T) {
	const (
		crashAt = 700 * time.Millisecond
		window  = 600 * time.Millisecond
		// maxDatagrams is the most that the crashes add to what an entry gets, a second: what it can merge beside its
		// requests with 0.144 of a core and 40 us for each.
		maxDatagrams = 1000
	)
	flooding := fullQuarantine
	flooding.floods = true
	for _, c := range []struct {
		way                       strategy
		entries, engines, crashes int
	}{{flooding, 103, 180, 54}, {fullQuarantine, 103, 180, 54}, {fullQuarantine, 420, 600, 180}} {
		load := workload{entries: c.entries, engines: c.engines, requestsPerEngine: 75, sharedParts: 800, loss: 0.01, duration: crashAt + window}
		calm := simulate(c.way, load, 1)
		load.crashEvery, load.crashes = crashAt, c.crashes
		s := simulate(c.way, load, 1)
		rate := float64(s.datagrams-calm.datagrams) / float64(c.entries) / window.Seconds()
		kilobytes := float64(s.bytes-calm.bytes) / float64(c.entries) / window.Seconds() / 1000
		t.Logf("%d entries, %d of %d engines crash, floods %v: %.0f datagrams and %.0f kB more a second and entry", c.entries, c.crashes, c.engines, c.way.floods, rate, kilobytes)
		if isFlood := rate > maxDatagrams; isFlood != c.way.floods {
			t.Errorf("floods %v: %.0f datagrams a second, at most %d are no flood", c.way.floods, rate, maxDatagrams)
		}
	}
}
