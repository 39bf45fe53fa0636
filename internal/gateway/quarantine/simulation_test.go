package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// strategy selects the measures that entries take against fatal requests.
type strategy struct {
	name string
	// announce shares records between entries, apart pins suspects to a target, alone runs
	// suspects with two crashes one at a time, and cancelQueued cancels their queued runs
	// elsewhere. Without evaluate no request is refused.
	evaluate, announce, apart, alone, cancelQueued bool
	// floods passes records of others on at once, to as many entries as own ones.
	floods bool
	// recheck probes engines again that crashed without evidence, awaitEvidence retries only
	// after the first recheck, countUnconfirmed restricts requests by their unconfirmed crashes,
	// and announceUnconfirmed shares these between entries.
	recheck, awaitEvidence, countUnconfirmed, announceUnconfirmed bool
	// cancelledProbes are the times after a run was cancelled at which its engine is probed.
	cancelledProbes []time.Duration
	// parts counts crashes by parts of prompts. Without restrictParts a part is only refused, without
	// soundHistory all parts of a crashed run are suspects.
	parts, restrictParts, soundHistory bool
}

// repeatedProbes are the times of probes at the recheck interval until a crash no longer counts as
// unconfirmed.
func repeatedProbes() (times []time.Duration) {
	for at := firstRecheck; at <= unconfirmedTimeout; at += recheckInterval {
		times = append(times, at)
	}
	return times
}

var (
	noQuarantine   = strategy{name: "no quarantine"}
	localOnly      = strategy{name: "no announcements", evaluate: true}
	announceOnly   = strategy{name: "announce", evaluate: true, announce: true}
	withApart      = strategy{name: "announce, apart", evaluate: true, announce: true, apart: true}
	withAlone      = strategy{name: "announce, apart, alone", evaluate: true, announce: true, apart: true, alone: true}
	fullQuarantine = strategy{name: "announce, apart, alone, cancel", evaluate: true, announce: true, apart: true, alone: true, cancelQueued: true, recheck: true, countUnconfirmed: true, announceUnconfirmed: true, cancelledProbes: repeatedProbes(), parts: true, restrictParts: true, soundHistory: true}
)

// workload is the size of the deployment, the requests and the faults.
type workload struct {
	entries, engines int
	// fatal is the number of requests that crash the engines they run on, fatalEvery the mean
	// time between two attempts of each, at random entries.
	fatal      int
	fatalEvery time.Duration
	// crashEvery is the time between unrelated crashes, crashes the number of engines that crash
	// at once; zero for none.
	crashEvery time.Duration
	crashes    int
	// requestsPerEngine is the rate of other requests per second and engine.
	requestsPerEngine int
	// popular is the number of requests that are always in flight, each once.
	popular int
	// servedShare is the fraction of a fatal request's runs that succeed.
	servedShare float64
	// restartTime is how long a crashed engine is down; zero means simRestartTime.
	restartTime time.Duration
	// crashDelay is the time from the start of a fatal run to the crash; zero means simCrashDelay.
	crashDelay time.Duration
	// idle engines start each run at once; others have a queue.
	idle bool
	// loss is the fraction of lost datagrams.
	loss float64
	// partitionFor is how long the two halves of the entries can't reach each other, from the
	// first second on.
	partitionFor time.Duration
	// immuneShare is the fraction of engines that serve fatal requests without crashing.
	immuneShare float64
	// lateEvidence is the fraction of crashes without evidence at first, hiddenEvidence that of
	// those which rechecks don't find either.
	lateEvidence, hiddenEvidence float64
	// prompts have an outermost part that all share and one of sharedParts inner ones. fatalParts crash
	// engines from fatalFrom on, under requests that all differ, partEvery apart on average for each
	// part. If isOuter is set, they are outermost, beside the inner ones.
	sharedParts int
	fatalParts  []string
	partEvery   time.Duration
	fatalFrom   time.Duration
	isOuter     bool
	duration    time.Duration
}

const (
	simFanOut        = 24 // receivers of a broadcast, as in the mesh
	simRestartTime   = 2500 * time.Millisecond
	simCrashDelay    = 80 * time.Millisecond // from the start of a fatal request to the crash
	simLatency       = 2 * time.Millisecond
	simAnnounceDelay = 5 * time.Millisecond
	// Records of others are passed on to fewer, some at a time, and announcements are apart, in fleets in which that is
	// done.
	simForwardFanOut = 4
	simForwards      = 40
	simAnnouncePause = 50 * time.Millisecond
	simRetryPause    = 10 * time.Millisecond
	simMaxWait       = time.Second // for a probation run
	// The target list shows a crash between simListDelay and twice as late.
	simListDelay = 700 * time.Millisecond
	// lateMargin is how long after its third crash sends of a fatal request count as late.
	lateMargin = 3 * time.Second
)

// sim simulates a deployment with real registries on a virtual clock.
type sim struct {
	strategy
	workload
	random     *rand.Rand
	now        time.Duration
	events     eventQueue
	nodes      []*simEntry
	simEngines []*simEngine
	sequence   int
	// Results.
	crashesBy        map[Fingerprint]int
	fatalSent        int
	fatalSentLate    int
	ordinarySent     int
	ordinaryRefused  int
	ordinaryFailed   int
	popularSent      int
	popularRefused   int
	datagrams, bytes int
	refusedAt        map[Fingerprint][]time.Duration
	firstCrashAt     map[Fingerprint]time.Duration
	thirdCrashAt     map[Fingerprint]time.Duration
	// partCrashes and partRuns are the times of crashes by fatal parts and of their sends.
	partCrashes, partRuns map[string][]time.Duration
	// ordinaryServed are the times at which other requests were served, partRefused is the number of
	// those that were refused for their parts.
	ordinaryServed []time.Duration
	partRefused    int
}

type simEntry struct {
	*Registry
	id              int
	announcePending bool
	announcedAt     time.Duration
}

type simEngine struct {
	hash        uint64
	incarnation fleet.ID
	upAt        time.Duration
	running     map[*simAttempt]bool
	// onListed are called when the target list shows the crash of the incarnation.
	onListed []func()
}

// simAttempt is one attempt of a caller.
type simAttempt struct {
	number        int
	entry         *simEntry
	fingerprint   Fingerprint
	family        uint64
	fatal         bool
	popular       bool
	callerRetries bool
	sendsLeft     int
	waitingSince  time.Duration
	step          int
	probationRun  bool
	sentAt        time.Duration
	engine        *simEngine
	run           *Run
	sends         int
	parts         []Part
	workspace     string
	// fatalPart is the part that crashes engines; empty for none.
	fatalPart string
	// probationOf is what the send is a probation run of.
	probationOf Fingerprint
}

type simEvent struct {
	dueAt time.Duration
	seq   int
	fn    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *sim) schedule(d time.Duration, fn func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, fn})
}

func (s *sim) clock() time.Time { return testStart.Add(s.now) }

func simulate(strat strategy, load workload, seed uint64) *sim {
	s := &sim{
		strategy: strat, workload: load, random: rand.New(rand.NewPCG(seed, 7)), crashesBy: map[Fingerprint]int{},
		refusedAt: map[Fingerprint][]time.Duration{}, firstCrashAt: map[Fingerprint]time.Duration{}, thirdCrashAt: map[Fingerprint]time.Duration{}, partCrashes: map[string][]time.Duration{}, partRuns: map[string][]time.Duration{},
	}
	limits := testLimits
	limits.MaxRecords = 2000
	if !strat.evaluate {
		limits.MaxCrashes = 1 << 30
	}
	for i := range load.entries {
		limits.ProbationDelay = func(Fingerprint) time.Duration { return min(time.Duration(i)*200*time.Millisecond, 3*time.Second) }
		s.nodes = append(s.nodes, &simEntry{Registry: NewRegistry(limits, simObserver{s}), id: i})
	}
	for range load.engines {
		e := &simEngine{hash: s.random.Uint64()}
		s.simEngines = append(s.simEngines, e)
		s.startEngine(e)
	}
	for i := range load.fatal {
		s.schedule(time.Second, func() { s.sendFatal(Fingerprint(1 + i)) })
	}
	s.schedule(0, s.sendOrdinary)
	for _, part := range load.fatalParts {
		s.schedule(time.Second, func() { s.sendFatalPart(part) })
	}
	for i := range load.popular {
		s.schedule(0, func() { s.sendPopular(Fingerprint(1000 + i)) })
	}
	if load.crashEvery > 0 {
		s.schedule(load.crashEvery, s.crashEngines)
	}
	if strat.announce {
		for _, n := range s.nodes {
			s.schedule(time.Duration(s.random.Int64N(int64(s.heartbeatPeriod()))), func() { s.heartbeat(n) })
		}
	}
	for len(s.events) > 0 && s.now < load.duration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.dueAt
		e.fn()
	}
	return s
}

// simObserver records when each entry refuses a request.
type simObserver struct{ s *sim }

func (o simObserver) CrashAttributed(*Record, Crash, bool) {}
func (o simObserver) FindingChanged(r *Record, _, now Finding, _ Assessment, _ bool) {
	if now == MustNotRun {
		o.s.refusedAt[r.Fingerprint] = append(o.s.refusedAt[r.Fingerprint], o.s.now)
	}
}
func (o simObserver) CrashSuspected(*Record, UnconfirmedCrash) {}
func (o simObserver) CrashDismissed(*Record, UnconfirmedCrash) {}
func (o simObserver) Cleared(*Record)                          {}
func (o simObserver) Released(*Record, bool)                   {}
func (o simObserver) Evicted(*Record)                          {}
func (o simObserver) ProbationStarted(*Record)                 {}

func (s *sim) startEngine(e *simEngine) {
	s.sequence++
	e.incarnation, e.upAt, e.running, e.onListed = fleet.ID(s.sequence), s.now, map[*simAttempt]bool{}, nil
}

func (s *sim) sendFatal(fp Fingerprint) {
	s.dispatch(&simAttempt{entry: s.nodes[s.random.IntN(len(s.nodes))], fingerprint: fp, family: uint64(fp) * 7919, fatal: true, sendsLeft: 2, waitingSince: s.now})
	s.schedule(time.Duration(float64(s.fatalEvery)*(0.2+1.6*s.random.Float64())), func() { s.sendFatal(fp) })
}

// sendFatalPart sends a request with a fatal part that differs from all others.
func (s *sim) sendFatalPart(part string) {
	ids := []string{"common", part}
	if s.isOuter {
		ids = []string{part, s.innerPart()}
	}
	s.dispatch(&simAttempt{entry: s.nodes[s.random.IntN(len(s.nodes))], fingerprint: Fingerprint(s.random.Uint64()), family: uint64(PartFingerprintOf(part)), fatalPart: part, parts: PartsOf(ids), workspace: s.workspace(), sendsLeft: 2, waitingSince: s.now})
	s.schedule(time.Duration(float64(s.partEvery)*(0.2+1.6*s.random.Float64())), func() { s.sendFatalPart(part) })
}

func (s *sim) innerPart() string { return fmt.Sprint("inner-", s.random.IntN(max(s.sharedParts, 1))) }

func (s *sim) workspace() string { return fmt.Sprint("workspace-", s.random.IntN(4)) }

func (s *sim) sendOrdinary() {
	s.sequence++
	s.ordinarySent++
	a := &simAttempt{entry: s.nodes[s.random.IntN(len(s.nodes))], fingerprint: Fingerprint(s.random.Uint64()), family: s.random.Uint64(), callerRetries: true, sendsLeft: 2, waitingSince: s.now}
	if s.sharedParts > 0 {
		a.workspace = s.workspace()
		a.parts = PartsOf([]string{"common", s.innerPart()})
	}
	s.dispatch(a)
	mean := time.Second / time.Duration(s.requestsPerEngine*s.engines)
	s.schedule(time.Duration(float64(mean)*2*s.random.Float64()), s.sendOrdinary)
}

// sendPopular sends a request that is sent again as soon as it has ended.
func (s *sim) sendPopular(fp Fingerprint) {
	s.popularSent++
	s.dispatch(&simAttempt{entry: s.nodes[s.random.IntN(len(s.nodes))], fingerprint: fp, family: 7, popular: true, sendsLeft: 2, waitingSince: s.now})
}

// endAttempt sends a popular request again.
func (s *sim) endAttempt(a *simAttempt) {
	if a.popular {
		s.schedule(simRetryPause, func() { s.sendPopular(a.fingerprint) })
	}
}

// crashEngines crashes random engines for an unrelated reason.
func (s *sim) crashEngines() {
	for range s.crashes {
		s.crashEngine(s.simEngines[s.random.IntN(len(s.simEngines))], nil)
	}
	s.schedule(s.crashEvery, s.crashEngines)
}

// dispatch sends an attempt to an engine, defers it or refuses it.
func (s *sim) dispatch(a *simAttempt) {
	if a.number == 0 {
		s.sequence++
		a.number = s.sequence
	}
	st, suspect := a.entry.Status(a.fingerprint, s.clock()), a.fingerprint
	a.step = st.Step
	if ps, part := a.entry.PartsStatus(a.parts, a.workspace, s.clock()); s.parts && ps.Verdict > st.Verdict && (s.restrictParts || ps.Verdict == Refused) {
		st, suspect = ps, part.Fingerprint
	}
	if st.Verdict == Refused {
		switch {
		case a.popular:
			s.popularRefused++
		case a.fatalPart != "":
		case suspect != a.fingerprint:
			s.partRefused++
		case !a.fatal:
			s.ordinaryRefused++
		}
		s.endAttempt(a)
		return
	}
	key, alone := a.family, false
	if s.apart && st.Verdict != Free {
		key, alone = uint64(suspect), s.alone && st.Verdict == Alone
	}
	e := s.pickEngine(a, suspect, key, alone)
	if st.Verdict == Held {
		e = nil
	}
	if e == nil || alone && !a.entry.StartProbationRun(suspect, e.incarnation, s.clock()) {
		if s.now-a.waitingSince < simMaxWait {
			s.schedule(simRetryPause, func() { s.dispatch(a) })
		} else {
			s.failAttempt(a)
		}
		return
	}
	a.engine, a.probationRun, a.probationOf, a.sentAt = e, alone, suspect, s.now
	e.running[a] = true
	a.sendsLeft--
	a.sends++
	if a.fatal {
		s.fatalSent++
		if third, ok := s.thirdCrashAt[a.fingerprint]; ok && s.now > third+lateMargin {
			s.fatalSentLate++
		}
	}
	var cancel func()
	if s.cancelQueued {
		sends := a.sends
		cancel = func() { s.schedule(0, func() { s.cancelSend(a, sends) }) }
	}
	a.run = a.entry.StartRun(a.fingerprint, e.incarnation, a.step, cancel)
	if s.parts {
		a.entry.TrackParts(a.run, a.parts, s.clock())
	}
	if a.fatalPart != "" && s.now >= s.fatalFrom {
		s.partRuns[a.fatalPart] = append(s.partRuns[a.fatalPart], s.now)
	}
	sends := a.sends
	s.schedule(s.drawQueueTime(), func() { s.execute(a, e, sends) })
}

func (s *sim) drawQueueTime() time.Duration {
	if s.idle {
		return simLatency
	}
	return time.Duration(20+s.random.IntN(280)) * time.Millisecond
}

// pickEngine returns the running engine that ranks first for a key.
func (s *sim) pickEngine(a *simAttempt, suspect Fingerprint, key uint64, alone bool) *simEngine {
	var best *simEngine
	for _, e := range s.simEngines {
		if s.now < e.upAt || alone && a.entry.RunsOtherSuspect(e.incarnation, suspect, s.clock()) {
			continue
		}
		if best == nil || placement.Rank(key, e.hash) < placement.Rank(key, best.hash) {
			best = e
		}
	}
	return best
}

// execute runs an attempt on an engine, unless it was cancelled or the engine crashed.
func (s *sim) execute(a *simAttempt, e *simEngine, sends int) {
	if a.engine != e || a.sends != sends || !e.running[a] {
		return
	}
	if a.fatalPart != "" && s.now >= s.fatalFrom {
		incarnation := e.incarnation
		s.schedule(cmp.Or(s.crashDelay, simCrashDelay), func() {
			if e.incarnation == incarnation && s.now >= e.upAt {
				s.partCrashes[a.fatalPart] = append(s.partCrashes[a.fatalPart], s.now)
				s.crashEngine(e, nil)
			}
		})
		return
	}
	if a.fatal && placement.Rank(1, e.hash) >= s.immuneShare && (s.servedShare == 0 || s.random.Float64() >= s.servedShare) {
		incarnation := e.incarnation
		s.schedule(cmp.Or(s.crashDelay, simCrashDelay), func() {
			if e.incarnation == incarnation && s.now >= e.upAt {
				s.crashEngine(e, a)
			}
		})
		return
	}
	s.schedule(150*time.Millisecond, func() {
		if a.sends == sends && e.running[a] {
			delete(e.running, a)
			s.finishRun(a)
			a.entry.MarkServed(a.fingerprint)
			s.markPartsSound(a)
			s.announceSoon(a.entry)
			s.endAttempt(a)
		}
	})
}

func (s *sim) markPartsSound(a *simAttempt) {
	if !a.fatal && !a.popular && a.fatalPart == "" {
		s.ordinaryServed = append(s.ordinaryServed, s.now)
	}
	if !s.parts {
		return
	}
	a.entry.MarkPartsSound(a.parts, testStart.Add(a.sentAt), s.clock())
	if !s.soundHistory {
		a.entry.soundParts = newSoundParts()
	}
}

func (s *sim) finishRun(a *simAttempt) {
	a.entry.EndRun(a.run)
	if a.probationRun {
		a.entry.EndProbationRun(a.probationOf, a.engine.incarnation)
		a.probationRun = false
	}
}

func (s *sim) cancelSend(a *simAttempt, sends int) {
	if a.sends != sends || a.engine == nil || !a.engine.running[a] {
		return
	}
	delete(a.engine.running, a)
	s.finishRun(a)
	if s.countUnconfirmed {
		s.watchCancelled(a)
	}
	s.retryOrFail(a)
}

// watchCancelled keeps a suspected crash for a cancelled run, whose engine may have started it.
func (s *sim) watchCancelled(a *simAttempt) {
	e, entry, cancelledAt := a.engine, a.entry, s.now
	crash := Crash{Target: e.incarnation, Step: a.step, At: s.clock(), Elapsed: s.now - a.sentAt, Targets: len(s.simEngines)}
	attribute := func() {
		if s.now-cancelledAt <= cancelledTimeout {
			entry.AttributeCrash(a.fingerprint, Caller{}, crash)
			s.announceSoon(entry)
		}
	}
	entry.SuspectCrash(a.fingerprint, Caller{}, UnconfirmedCrash{Target: crash.Target, Step: crash.Step, At: crash.At})
	s.announceSoon(entry)
	e.onListed = append(e.onListed, attribute)
	for _, after := range s.cancelledProbes {
		s.schedule(after, func() {
			if e.incarnation != crash.Target && s.now < e.upAt {
				attribute()
			}
		})
	}
}

// crashEngine crashes an engine; by is the fatal attempt or nil.
func (s *sim) crashEngine(e *simEngine, by *simAttempt) {
	if s.now < e.upAt {
		return
	}
	if by != nil {
		s.crashesBy[by.fingerprint]++
		switch s.crashesBy[by.fingerprint] {
		case 1:
			s.firstCrashAt[by.fingerprint] = s.now
		case 3:
			s.thirdCrashAt[by.fingerprint] = s.now
		}
	}
	incarnation, running := e.incarnation, e.running
	for _, notify := range e.onListed {
		s.schedule(s.drawListDelay(), notify)
	}
	s.startEngine(e)
	e.upAt = s.now + cmp.Or(s.restartTime, simRestartTime)
	attempts := make([]*simAttempt, 0, len(running))
	for a := range running {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *simAttempt) int { return cmp.Compare(a.number, b.number) })
	evidenceDelay, targets := s.drawEvidenceDelay(), len(s.simEngines)
	for _, a := range attempts {
		probationRun := a.probationRun
		a.probationRun = false
		a.entry.EndRun(a.run)
		a.engine = nil
		s.schedule(simLatency, func() {
			s.recordCrash(a, Crash{Target: incarnation, Step: a.step, At: s.clock(), Elapsed: s.now - a.sentAt, Targets: targets}, evidenceDelay)
			if probationRun {
				a.entry.EndProbationRun(a.probationOf, incarnation)
			}
			s.announceSoon(a.entry)
			if evidenceDelay > 0 && s.awaitEvidence {
				s.schedule(firstRecheck, func() { s.retryOrFail(a) })
				return
			}
			s.retryOrFail(a)
		})
	}
}

// drawEvidenceDelay returns how long after a crash there is evidence of it.
func (s *sim) drawEvidenceDelay() time.Duration {
	switch {
	case s.lateEvidence == 0 || s.random.Float64() >= s.lateEvidence:
		return 0
	case s.recheck && s.random.Float64() >= s.hiddenEvidence:
		return firstRecheck
	default:
		return s.drawListDelay()
	}
}

// drawListDelay returns how long after a crash the target list shows it.
func (s *sim) drawListDelay() time.Duration {
	return simListDelay + time.Duration(s.random.Int64N(int64(simListDelay)))
}

// recordCrash attributes a crash to an attempt, once there is evidence.
func (s *sim) recordCrash(a *simAttempt, c Crash, evidenceDelay time.Duration) {
	if evidenceDelay == 0 {
		s.attribute(a, c)
		return
	}
	if s.countUnconfirmed {
		a.entry.SuspectCrash(a.fingerprint, Caller{}, UnconfirmedCrash{Target: c.Target, Step: c.Step, At: c.At})
	}
	s.schedule(evidenceDelay, func() {
		s.attribute(a, c)
		s.announceSoon(a.entry)
	})
}

func (s *sim) attribute(a *simAttempt, c Crash) {
	a.entry.AttributeCrash(a.fingerprint, Caller{}, c)
	if s.parts {
		a.entry.AttributePartsCrash(a.run.PartsOfRun(a.parts, a.workspace), "", c)
	}
}

// retryOrFail sends a broken attempt again if it has sends left.
func (s *sim) retryOrFail(a *simAttempt) {
	if a.sendsLeft > 0 {
		a.waitingSince = s.now
		s.dispatch(a)
		return
	}
	s.failAttempt(a)
}

// failAttempt fails an attempt. Its caller may retry at another entry.
func (s *sim) failAttempt(a *simAttempt) {
	s.endAttempt(a)
	if a.fatal || a.popular || a.fatalPart != "" {
		return
	}
	if !a.callerRetries {
		s.ordinaryFailed++
		return
	}
	s.schedule(100*time.Millisecond, func() {
		s.dispatch(&simAttempt{entry: s.nodes[s.random.IntN(len(s.nodes))], fingerprint: a.fingerprint, family: a.family, parts: a.parts, workspace: a.workspace, sendsLeft: 2, waitingSince: s.now})
	})
}

func (s *sim) heartbeatPeriod() time.Duration {
	if len(s.nodes) > simFanOut {
		return 400 * time.Millisecond
	}
	return 100 * time.Millisecond
}

func (s *sim) heartbeat(n *simEntry) {
	s.announceRecords(n, n.NextToAnnounce(8, s.clock()), simFanOut)
	s.schedule(s.heartbeatPeriod(), func() { s.heartbeat(n) })
}

// announceSoon announces pending updates after a short delay.
func (s *sim) announceSoon(n *simEntry) {
	if !s.announce || n.announcePending {
		return
	}
	n.announcePending = true
	delay := simAnnounceDelay
	if len(s.nodes) > simFanOut && !s.floods {
		delay = max(delay, simAnnouncePause-(s.now-n.announcedAt))
	}
	s.schedule(delay, func() {
		n.announcePending, n.announcedAt = false, s.now
		s.announceRecords(n, n.TakeUpdates(1<<30), simFanOut)
		forwards, receivers := simForwards, simForwardFanOut
		if s.floods {
			forwards, receivers = 1<<30, simFanOut
		}
		s.announceRecords(n, n.TakeForwards(forwards), receivers)
		if len(n.pendingForwards.order) > 0 {
			s.announceSoon(n)
		}
	})
}

func (s *sim) announceRecords(from *simEntry, records []Record, receivers int) {
	const perDatagram = 1100
	for len(records) > 0 {
		size, n := 0, 0
		for n < len(records) && size < perDatagram {
			size += proto.Size(ToMessage(&records[n], s.clock()))
			n++
		}
		s.broadcast(from, records[:n], size, receivers)
		records = records[n:]
	}
}

func (s *sim) broadcast(from *simEntry, records []Record, size, receivers int) {
	sentAt := s.clock()
	reached := 0
	for _, i := range s.random.Perm(len(s.nodes)) {
		to := s.nodes[i]
		if to == from {
			continue
		}
		if reached++; reached > receivers {
			return
		}
		s.datagrams++
		s.bytes += size
		if s.random.Float64() < s.loss || s.partitioned(from, to) {
			continue
		}
		s.schedule(simLatency, func() {
			for i := range records {
				if !s.announceUnconfirmed {
					records[i].Unconfirmed = nil
				}
				to.Merge(FromMessage(ToMessage(&records[i], sentAt), s.clock()), len(s.nodes) > simFanOut, s.clock())
			}
			to.Reevaluate(s.clock())
			s.announceSoon(to)
		})
	}
}

// partitioned reports whether two entries can't reach each other.
func (s *sim) partitioned(from, to *simEntry) bool {
	return s.now < time.Second+s.partitionFor && (from.id < len(s.nodes)/2) != (to.id < len(s.nodes)/2)
}
