package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// One request comes five times a second at any entry, among others at nine to 600 engines,
// for 30 s; a hundredth of the datagrams is lost. It ends three engines, and what was under
// way when the first one ended. No other request is refused.
func TestOneRequestEndsFewEnginesAtAnySize(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{3, 9}, {30, 60}, {103, 180}} {
		for seed := range uint64(3) {
			s := play(allOfIt, load{entries: size.entries, engines: size.engines, fatal: 1, fatalEvery: 200 * time.Millisecond, perEngine: 5, loss: 0.01, for_: 30 * time.Second}, seed)
			// underWay is how many are sent in the time in which the first one waits and runs.
			const underWay = 2
			if n := s.endedBy[1]; n < 3 || n > 3+underWay {
				t.Errorf("%d entries, seed %d: %d engines ended", size.entries, seed, n)
			}
			if s.innocentRefused > 0 {
				t.Errorf("%d entries, seed %d: %d of %d other requests were refused", size.entries, seed, s.innocentRefused, s.innocents)
			}
		}
	}
}

// Half or all of the engines end at once every three seconds, by some fault of their own,
// with no request to blame. None is refused.
func TestCrashesWithoutACulpritBlameNobody(t *testing.T) {
	for _, l := range []load{
		{entries: 4, engines: 9, crashEvery: 3 * time.Second, crashes: 9, perEngine: 8, for_: 60 * time.Second},
		{entries: 30, engines: 60, crashEvery: 3 * time.Second, crashes: 30, perEngine: 8, for_: 30 * time.Second},
	} {
		blamesNobody(t, l)
	}
}

// Every engine is ended again and again, one every 0.3 s, so that a third of all runs ends
// with its engine. No request is to blame, and none is refused.
func TestCrashOfEveryThirdRunBlamesNobody(t *testing.T) {
	blamesNobody(t, load{entries: 4, engines: 9, crashEvery: 300 * time.Millisecond, crashes: 1, perEngine: 8, for_: 60 * time.Second})
}

func blamesNobody(t *testing.T, l load) {
	t.Helper()
	for seed := range uint64(3) {
		if s := play(allOfIt, l, seed); s.innocentRefused > 0 {
			t.Errorf("%+v, seed %d: %d of %d requests were refused", l, seed, s.innocentRefused, s.innocents)
		}
	}
}

// Several requests end engines at the same time. Each ends few, and no other is refused.
func TestSeveralFatalRequestsAtOnce(t *testing.T) {
	for seed := range uint64(3) {
		s := play(allOfIt, load{entries: 4, engines: 18, fatal: 4, fatalEvery: 300 * time.Millisecond, perEngine: 5, for_: 30 * time.Second}, seed)
		for p, n := range s.endedBy {
			// Two that meet at one engine are told apart by one end more each.
			if n > 7 {
				t.Errorf("seed %d: request %d ended %d engines", seed, p, n)
			}
		}
		if s.innocentRefused > 0 {
			t.Errorf("seed %d: %d of %d other requests were refused", seed, s.innocentRefused, s.innocents)
		}
	}
}

// Half of the entries hear nothing of the others for ten seconds, and the request comes at
// both halves. Each half finds out for itself. Once the link is back all know, and the
// request ends no engine more but by its one run on probation.
func TestEntriesThatAreCutOffFromEachOther(t *testing.T) {
	for seed := range uint64(3) {
		l := load{entries: 30, engines: 60, fatal: 1, fatalEvery: 200 * time.Millisecond, perEngine: 5, loss: 0.01, cutFor: 10 * time.Second, for_: 11 * time.Second}
		cut := play(allOfIt, l, seed)
		const underWay = 2
		if n := cut.endedBy[1]; n > 2*(3+underWay) {
			t.Errorf("seed %d: %d engines ended while the halves were cut off", seed, n)
		}
		l.for_ = 30 * time.Second
		healed := play(allOfIt, l, seed)
		const onProbation = 1
		if healed.endedBy[1] > cut.endedBy[1]+onProbation {
			t.Errorf("seed %d: %d engines ended until the link was back, %d in all", seed, cut.endedBy[1], healed.endedBy[1])
		}
		for _, n := range healed.nodes {
			if n.Status(1, healed.clock()).Verdict != Refused {
				t.Errorf("seed %d: entry %d does not know of it", seed, n.id)
			}
		}
		if healed.innocentRefused > 0 {
			t.Errorf("seed %d: %d other requests were refused", seed, healed.innocentRefused)
		}
	}
}

// A request ends every engine and comes five times a second for ninety seconds. It ends three,
// what was under way, and one more for each of its two runs on probation: after ten seconds
// in which nothing ended, and after a minute. No request beside it is refused.
func TestFatalRequestOnProbation(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{4, 9}, {30, 60}} {
		for seed := range uint64(2) {
			s := play(allOfIt, load{entries: size.entries, engines: size.engines, fatal: 1, fatalEvery: 200 * time.Millisecond, perEngine: 3, loss: 0.01, for_: 90 * time.Second}, seed)
			const underWay = 2
			if n := s.endedBy[1]; n > 3+underWay+mostProbations {
				t.Errorf("%d entries, seed %d: %d engines ended", size.entries, seed, n)
			}
			// Users count what reaches engines later than some seconds after the third end.
			const counted = 3
			if n := s.sentLate; n > counted {
				t.Errorf("%d entries, seed %d: sent %d times after it had ended three engines and %s more", size.entries, seed, n, lateAfter)
			}
			if s.innocentRefused > 0 {
				t.Errorf("%d entries, seed %d: %d other requests were refused", size.entries, seed, s.innocentRefused)
			}
		}
	}
}

// A request ends a third of the engines, those of one version, and is answered by the
// others. It ends three of them at most, and what was under way.
func TestRequestThatEndsSomeEngines(t *testing.T) {
	for seed := range uint64(5) {
		s := play(allOfIt, load{entries: 4, engines: 18, fatal: 1, fatalEvery: 200 * time.Millisecond, perEngine: 5, harmless: 0.66, for_: 60 * time.Second}, seed)
		const underWay = 2
		if n := s.endedBy[1]; n > 3+underWay {
			t.Errorf("seed %d: %d engines ended", seed, n)
		}
		if s.innocentRefused > 0 {
			t.Errorf("seed %d: %d other requests were refused", seed, s.innocentRefused)
		}
	}
}

// TestWays prints what each way is worth: engines ended by one request, others refused in
// error, and what telling costs.
//
//	go test -run TestWays -v ./internal/gateway/quarantine
func TestWays(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("a table for people: run with -v")
	}
	for _, l := range []load{
		{entries: 4, engines: 9, fatal: 1, fatalEvery: 200 * time.Millisecond, perEngine: 8, loss: 0.01, for_: 20 * time.Second},
		{entries: 4, engines: 9, fatal: 1, fatalEvery: 20 * time.Millisecond, perEngine: 8, loss: 0.01, for_: 20 * time.Second},
		{entries: 4, engines: 9, fatal: 4, fatalEvery: 100 * time.Millisecond, perEngine: 8, loss: 0.01, for_: 20 * time.Second},
		{entries: 30, engines: 60, fatal: 4, fatalEvery: 20 * time.Millisecond, perEngine: 8, loss: 0.01, for_: 10 * time.Second},
	} {
		t.Logf("%d entries, %d engines, %d requests that end engines, each every %v", l.entries, l.engines, l.fatal, l.fatalEvery)
		for _, w := range []way{doNothing, everyOne, tellOnly, tellApart, tellAlone, allOfIt} {
			ended, sent, refused, failed, innocents := 0, 0, 0, 0, 0
			const seeds = 5
			for seed := range uint64(seeds) {
				s := play(w, l, seed)
				for _, n := range s.endedBy {
					ended += n
				}
				sent += s.fatalSent
				refused, failed, innocents = refused+s.innocentRefused, failed+s.innocentFailed, innocents+s.innocents
			}
			t.Logf("%-30s each ended %5.1f engines, was sent %6.1f times; of %d others refused in error %5.1f, failed %6.1f", w.name,
				float64(ended)/seeds/float64(l.fatal), float64(sent)/seeds/float64(l.fatal), innocents/seeds, float64(refused)/seeds, float64(failed)/seeds)
		}
	}
	for _, size := range []struct{ entries, engines int }{{3, 9}, {30, 60}, {103, 180}, {420, 600}} {
		l := load{entries: size.entries, engines: size.engines, fatal: 1, fatalEvery: 200 * time.Millisecond, perEngine: 5, loss: 0.01, for_: 20 * time.Second}
		s := play(allOfIt, l, 1)
		known := s.knownAt[1]
		last := time.Duration(0)
		if len(known) > 0 {
			last = known[len(known)-1] - s.thirdAt[1]
		}
		per := float64(size.entries) * l.for_.Seconds()
		t.Logf("%3d entries: ended %d; %d of them know %v after the third; a second and entry %s", size.entries, s.endedBy[1], len(known), last, fmt.Sprintf("%.1f datagrams with suspects, %.0f bytes", float64(s.datagrams)/per, float64(s.bytes)/per))
	}
}
