package quarantine

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// way is what entries do about requests that end engines.
type way struct {
	name string
	// tell each other, keep suspects apart, run those with two ends alone, and give up
	// repeats that wait elsewhere. Judge turned off refuses nothing.
	judge, tell, apart, alone, giveUp bool
}

var (
	doNothing = way{name: "nothing"}
	everyOne  = way{name: "each entry for itself", judge: true}
	tellOnly  = way{name: "told", judge: true, tell: true}
	tellApart = way{name: "told, apart", judge: true, tell: true, apart: true}
	tellAlone = way{name: "told, apart, alone", judge: true, tell: true, apart: true, alone: true}
	allOfIt   = way{name: "told, apart, alone, given up", judge: true, tell: true, apart: true, alone: true, giveUp: true}
)

// load is what callers send, and how large the deployment is.
type load struct {
	entries, engines int
	// fatal is how many requests end the engines that run them, fatalEvery the time
	// between two tries of each, at entries drawn at random.
	fatal      int
	fatalEvery time.Duration
	// crashEvery ends an engine for another reason, so many at once; zero for never.
	crashEvery time.Duration
	crashes    int
	// perEngine is how many other requests a second there are for each engine.
	perEngine int
	// loss is the share of datagrams that are lost.
	loss float64
	// cutFor is how long half of the entries hear nothing of the other half, from the first
	// second on.
	cutFor time.Duration
	// harmless is the share of the engines that a fatal request does not end: they answer it.
	harmless float64
	for_     time.Duration
}

const (
	simReach   = 24 // receivers of a round, as in the mesh
	simRestart = 2500 * time.Millisecond
	simRunsFor = 80 * time.Millisecond // until an engine ends under a fatal request
	simHop     = 2 * time.Millisecond
	simGather  = 5 * time.Millisecond
	simPause   = 10 * time.Millisecond
	simWait    = time.Second // the longest wait for a turn to run alone
	// lateAfter is how long after the third end users do not count what is sent.
	lateAfter = 3 * time.Second
)

// sim plays a fleet with the real books on a virtual clock.
type sim struct {
	way
	load
	random *rand.Rand
	now    time.Duration
	events eventQueue
	nodes  []*simEntry
	engine []*simEngine
	births int
	// what came of it.
	endedBy          map[Fingerprint]int
	fatalSent        int
	sentLate         int
	innocents        int
	innocentRefused  int
	innocentFailed   int
	datagrams, bytes int
	knownAt          map[Fingerprint][]time.Duration
	firstAt          map[Fingerprint]time.Duration
	thirdAt          map[Fingerprint]time.Duration
}

type simEntry struct {
	*Registry
	id      int
	pending bool
}

type simEngine struct {
	hash    uint64
	life    fleet.ID
	upAt    time.Duration
	running map[*simTry]bool
}

// simTry is one try of a caller.
type simTry struct {
	n      int
	entry  *simEntry
	print  Fingerprint
	family uint64
	fatal  bool
	again  bool // its caller comes once more
	left   int  // sends
	since  time.Duration
	step   int
	trial  bool
	sentAt time.Duration
	engine *simEngine
	run    *Run
	sends  int
}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) {
	s.births++
	heap.Push(&s.events, simEvent{s.now + d, s.births, do})
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

func play(w way, l load, seed uint64) *sim {
	s := &sim{
		way: w, load: l, random: rand.New(rand.NewPCG(seed, 7)), endedBy: map[Fingerprint]int{},
		knownAt: map[Fingerprint][]time.Duration{}, firstAt: map[Fingerprint]time.Duration{}, thirdAt: map[Fingerprint]time.Duration{},
	}
	limits := testLimits
	limits.MaxRecords = 2000
	if !w.judge {
		limits.MaxCrashes = 1 << 30
	}
	for i := range l.entries {
		limits.ProbationDelay = func(Fingerprint) time.Duration { return min(time.Duration(i)*200*time.Millisecond, 3*time.Second) }
		s.nodes = append(s.nodes, &simEntry{Registry: NewRegistry(limits, simWatch{s}), id: i})
	}
	for range l.engines {
		e := &simEngine{hash: s.random.Uint64()}
		s.engine = append(s.engine, e)
		s.bear(e)
	}
	for i := range l.fatal {
		s.after(time.Second, func() { s.fatalCaller(Fingerprint(1 + i)) })
	}
	s.after(0, s.innocentCaller)
	if l.crashEvery > 0 {
		s.after(l.crashEvery, s.crash)
	}
	if w.tell {
		for _, n := range s.nodes {
			s.after(time.Duration(s.random.Int64N(int64(s.period()))), func() { s.beat(n) })
		}
	}
	for len(s.events) > 0 && s.now < l.for_ {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// simWatch notes when each entry refuses a request.
type simWatch struct{ s *sim }

func (w simWatch) CrashAttributed(*Record, Crash, bool) {}
func (w simWatch) FindingChanged(r *Record, _, now Finding, _ bool) {
	if now == MustNotRun {
		w.s.knownAt[r.Fingerprint] = append(w.s.knownAt[r.Fingerprint], w.s.now)
	}
}
func (w simWatch) Cleared(*Record)          {}
func (w simWatch) Released(*Record, bool)   {}
func (w simWatch) Evicted(*Record)          {}
func (w simWatch) ProbationStarted(*Record) {}

func (s *sim) bear(e *simEngine) {
	s.births++
	e.life, e.upAt, e.running = fleet.ID(s.births), s.now, map[*simTry]bool{}
}

func (s *sim) fatalCaller(p Fingerprint) {
	s.place(&simTry{entry: s.nodes[s.random.IntN(len(s.nodes))], print: p, family: uint64(p) * 7919, fatal: true, left: 2, since: s.now})
	s.after(time.Duration(float64(s.fatalEvery)*(0.2+1.6*s.random.Float64())), func() { s.fatalCaller(p) })
}

func (s *sim) innocentCaller() {
	s.births++
	s.innocents++
	s.place(&simTry{entry: s.nodes[s.random.IntN(len(s.nodes))], print: Fingerprint(s.random.Uint64()), family: s.random.Uint64(), again: true, left: 2, since: s.now})
	mean := time.Second / time.Duration(s.perEngine*s.engines)
	s.after(time.Duration(float64(mean)*2*s.random.Float64()), s.innocentCaller)
}

// crash ends some engines that no request has ended.
func (s *sim) crash() {
	for range s.crashes {
		s.end(s.engine[s.random.IntN(len(s.engine))], nil)
	}
	s.after(s.crashEvery, s.crash)
}

// place sends a try to an engine, or waits for its turn, or refuses it.
func (s *sim) place(t *simTry) {
	if t.n == 0 {
		s.births++
		t.n = s.births
	}
	st := t.entry.Status(t.print, s.clock())
	if st.Verdict == Refused {
		if !t.fatal {
			s.innocentRefused++
		}
		return
	}
	key, alone := t.family, false
	if s.apart && st.Verdict != Free {
		key, alone = uint64(t.print), s.alone && st.Verdict == Alone
	}
	e := s.pick(t, key, alone)
	if st.Verdict == Held {
		e = nil
	}
	if e == nil || alone && !t.entry.StartProbationRun(t.print, e.life, s.clock()) {
		if s.now-t.since < simWait {
			s.after(simPause, func() { s.place(t) })
		} else {
			s.fail(t)
		}
		return
	}
	t.engine, t.step, t.trial, t.sentAt = e, st.Step, alone, s.now
	e.running[t] = true
	t.left--
	t.sends++
	if t.fatal {
		s.fatalSent++
		if third, ok := s.thirdAt[t.print]; ok && s.now > third+lateAfter {
			s.sentLate++
		}
	}
	var giveUp func()
	if s.giveUp {
		sends := t.sends
		giveUp = func() { s.after(0, func() { s.givenUp(t, sends) }) }
	}
	t.run = t.entry.StartRun(t.print, e.life, giveUp)
	sends := t.sends
	queue := time.Duration(20+s.random.IntN(280)) * time.Millisecond
	s.after(queue, func() { s.begin(t, e, sends) })
}

// pick returns the living engine that ranks first for a key.
func (s *sim) pick(t *simTry, key uint64, alone bool) *simEngine {
	var best *simEngine
	for _, e := range s.engine {
		if s.now < e.upAt || alone && t.entry.RunsOtherSuspect(e.life, t.print, s.clock()) {
			continue
		}
		if best == nil || placement.Rank(key, e.hash) < placement.Rank(key, best.hash) {
			best = e
		}
	}
	return best
}

// begin is when an engine begins to run a try that is still there.
func (s *sim) begin(t *simTry, e *simEngine, sends int) {
	if t.engine != e || t.sends != sends || !e.running[t] {
		return
	}
	if t.fatal && placement.Rank(1, e.hash) >= s.harmless {
		life := e.life
		s.after(simRunsFor, func() {
			if e.life == life && s.now >= e.upAt {
				s.end(e, t)
			}
		})
		return
	}
	s.after(150*time.Millisecond, func() {
		if t.sends == sends && e.running[t] {
			delete(e.running, t)
			s.stop(t)
			t.entry.MarkServed(t.print)
			s.news(t.entry)
		}
	})
}

func (s *sim) stop(t *simTry) {
	t.entry.EndRun(t.run)
	if t.trial {
		t.entry.EndProbationRun(t.print, t.engine.life)
		t.trial = false
	}
}

func (s *sim) givenUp(t *simTry, sends int) {
	if t.sends != sends || t.engine == nil || !t.engine.running[t] {
		return
	}
	delete(t.engine.running, t)
	s.stop(t)
	s.next(t)
}

// end ends an engine; by is the try that did.
func (s *sim) end(e *simEngine, by *simTry) {
	if s.now < e.upAt {
		return
	}
	if by != nil {
		s.endedBy[by.print]++
		switch s.endedBy[by.print] {
		case 1:
			s.firstAt[by.print] = s.now
		case 3:
			s.thirdAt[by.print] = s.now
		}
	}
	life, broken := e.life, e.running
	s.bear(e)
	e.upAt = s.now + simRestart
	tries := make([]*simTry, 0, len(broken))
	for t := range broken {
		tries = append(tries, t)
	}
	slices.SortFunc(tries, func(a, b *simTry) int { return cmp.Compare(a.n, b.n) })
	for _, t := range tries {
		trial := t.trial
		t.trial = false
		t.entry.EndRun(t.run)
		t.engine = nil
		s.after(simHop, func() {
			t.entry.AttributeCrash(t.print, Caller{}, Crash{Target: life, Step: t.step, At: s.clock(), Elapsed: s.now - t.sentAt})
			if trial {
				t.entry.EndProbationRun(t.print, life)
			}
			s.news(t.entry)
			s.next(t)
		})
	}
}

// next sends a try that broke off once more, while it may.
func (s *sim) next(t *simTry) {
	if t.left > 0 {
		t.since = s.now
		s.place(t)
		return
	}
	s.fail(t)
}

// fail ends a try; its caller may come again at another entry.
func (s *sim) fail(t *simTry) {
	if t.fatal {
		return
	}
	if !t.again {
		s.innocentFailed++
		return
	}
	s.after(100*time.Millisecond, func() {
		s.place(&simTry{entry: s.nodes[s.random.IntN(len(s.nodes))], print: t.print, family: t.family, left: 2, since: s.now})
	})
}

func (s *sim) period() time.Duration {
	if len(s.nodes) > simReach {
		return 400 * time.Millisecond
	}
	return 100 * time.Millisecond
}

func (s *sim) beat(n *simEntry) {
	s.send(n, n.NextToAnnounce(8, s.clock()))
	s.after(s.period(), func() { s.beat(n) })
}

// news tells what is new soon.
func (s *sim) news(n *simEntry) {
	if !s.tell || n.pending {
		return
	}
	n.pending = true
	s.after(simGather, func() {
		n.pending = false
		s.send(n, n.TakeUpdates(1<<30))
	})
}

func (s *sim) send(from *simEntry, records []Record) {
	const perDatagram = 1100
	for len(records) > 0 {
		size, n := 0, 0
		for n < len(records) && size < perDatagram {
			size += proto.Size(ToMessage(&records[n], s.clock()))
			n++
		}
		s.sendOne(from, records[:n], size)
		records = records[n:]
	}
}

func (s *sim) sendOne(from *simEntry, records []Record, size int) {
	at := s.clock()
	reached := 0
	for _, i := range s.random.Perm(len(s.nodes)) {
		to := s.nodes[i]
		if to == from {
			continue
		}
		if reached++; reached > simReach {
			return
		}
		s.datagrams++
		s.bytes += size
		if s.random.Float64() < s.loss || s.isCut(from, to) {
			continue
		}
		s.after(simHop, func() {
			for i := range records {
				to.Merge(FromMessage(ToMessage(&records[i], at), s.clock()), len(s.nodes) > simReach, s.clock())
			}
			to.Reevaluate(s.clock())
			s.news(to)
		})
	}
}

// isCut reports whether a link is down now.
func (s *sim) isCut(from, to *simEntry) bool {
	return s.now < time.Second+s.cutFor && (from.id < len(s.nodes)/2) != (to.id < len(s.nodes)/2)
}
