package queue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
)

// The model: entries in front of engines whose memory holds a bounded number of tokens. Entries place by
// package placement and know the work of others as of the last announcement. Engines preempt what does
// not fit any more and prefill it again. Times are in ticks, so that runs are equal.
const (
	tick           = 5 * time.Millisecond
	entryCount     = 12
	engineCount    = 16
	engineMemory   = 40_000
	engineSlots    = 48
	prefillPerSec  = 15_000
	tokenTime      = 25 * time.Millisecond
	outputLimit    = 400 // outputs are evenly distributed up to it
	usualRate      = 50  // requests a second, some 0.77 of what engines serve within the bound on their memory
	prefillPerTick = prefillPerSec * float64(tick) / float64(time.Second)
	announceTicks  = 10 // 50 ms
	runTicks       = 60 * 200
	spells         = 10 * 200 // the overload begins
)

// rule is how entries treat requests that find no engine.
type rule struct {
	name         string
	queue, bound bool
	// fixed replaces the Retry-After of the queue by 300 ms.
	fixed bool
	// central lets one entry serve all callers: the most that turns from a coordinator could bring.
	central bool
}

// spell is an overload.
type spell struct {
	name     string
	duration int // ticks
	// load is the arrival rate relative to the usual one, by the time since the spell began.
	load func(share float64) float64
	gone int // engines that take no requests
	// greedy is the share of the arrivals that one of five workspaces sends.
	greedy float64
}

type call struct {
	id                      uint64
	workspace               string
	urgency, prompt, output int
	objective               time.Duration
	arrived, deadline       time.Time
	attempts, again         int
	attemptAt               time.Time
	sentAt, firstAt, doneAt time.Time
	priority                int
	prefillLeft, made       float64
	entry                   *entryModel
}

func (c *call) tokens() float64 { return float64(c.prompt) + c.made }

type engineModel struct {
	running, waiting []*call
	gone             bool
}

type entryModel struct {
	w     *world
	queue *queue.Queue
	calls map[uint64]*call
	work  [engineCount]ledger.Work
}

type world struct {
	rule   rule
	now    time.Time
	random *rand.Rand
	// arrivals is separate, so that callers send the same whatever the rule.
	arrivals *rand.Rand
	entries  []*entryModel
	engines  [engineCount]engineModel
	events   map[int64][]func()
	calls    []*call
	// preempted counts the requests that engines preempted.
	preempted int
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(max(d, tick)+tick-1).UnixNano() / int64(tick) // what is due in this tick has been done
	w.events[at] = append(w.events[at], f)
}

func (w *world) arrive(greedy float64) {
	c := &call{id: uint64(len(w.calls) + 1), workspace: "w0", urgency: 1, prompt: 200 + int(w.arrivals.ExpFloat64()*1300), output: 1 + w.arrivals.IntN(outputLimit), objective: 1500 * time.Millisecond, arrived: w.now, deadline: w.now.Add(15 * time.Second)}
	c.prompt = min(c.prompt, 8000)
	if w.arrivals.Float64() >= greedy {
		c.workspace = fmt.Sprint("w", 1+w.arrivals.IntN(4))
	}
	if w.arrivals.IntN(5) == 0 {
		c.urgency, c.prompt, c.output, c.deadline = 0, 300, 1+c.output/4, w.now.Add(6*time.Second)
	}
	w.calls = append(w.calls, c)
	w.attempt(c)
}

// attempt is one request of a caller, to any entry.
func (w *world) attempt(c *call) {
	c.attempts++
	c.attemptAt, c.entry = w.now, w.entries[w.random.IntN(len(w.entries))]
	e := c.entry
	if !w.rule.queue {
		e.poll(c, w.now)
		return
	}
	e.calls[c.id] = c
	run := time.Duration(c.prompt)*time.Second/prefillPerSec + outputLimit/2*tokenTime
	if c.urgency == 0 {
		run /= 4
	}
	e.decide(c, e.queue.Add(queue.Item{
		ID: c.id, Key: c.id, Service: "s", Workspace: c.workspace, Urgency: c.urgency, Cost: float64(c.prompt), Bytes: 4 * c.prompt, Arrived: w.now, FirstArrival: c.arrived,
		Objective: w.now.Add(c.objective), Deadline: c.deadline, FirstEvent: time.Duration(c.prompt) * time.Second / prefillPerSec, ExpectedRun: run, Returned: c.attempts > 1,
	}, w.now))
}

func (w *world) refuse(c *call, retryAfter time.Duration) {
	if c.attempts > 1 {
		c.again++
	}
	left := c.deadline.Sub(w.now)
	if wait := min(retryAfter, left/3); left-wait > 200*time.Millisecond {
		w.after(wait, func() { w.attempt(c) })
	}
}

func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + w.random.Float64()/2))
}

// place sends a call to an engine, or returns what was chosen instead.
func (e *entryModel) place(c *call) (placement.Choice, bool) {
	w := e.w
	in := &placement.Input{
		OwnTokens: c.prompt, MaxTokens: outputLimit, Priority: c.urgency, LatePriority: 5 + c.urgency, Objective: c.objective - w.now.Sub(c.attemptAt), MaxStaleness: time.Hour,
		PrefillTime: func(tokens int) time.Duration { return time.Duration(tokens) * time.Second / prefillPerSec },
	}
	if w.rule.bound && c.urgency > 0 {
		if in.MaxMemoryShare = placement.LowPriorityMemoryShare; c.attempts > 1 {
			in.MaxMemoryShare = placement.RetryMemoryShare
		}
	}
	var candidates [engineCount]placement.Candidate
	for i := range candidates {
		candidates[i] = placement.Candidate{Hash: uint64(i) * 7919, SameZone: true, Slots: engineSlots, Memory: engineMemory, Work: e.work[i], Excluded: w.engines[i].gone}
	}
	choice := placement.Pick(in, candidates[:])
	if choice.Index < 0 || choice.Estimate > c.deadline.Sub(w.now) {
		return choice, false
	}
	c.sentAt, c.priority, c.prefillLeft = w.now, choice.Priority, float64(c.prompt)
	w.engines[choice.Index].waiting = append(w.engines[choice.Index].waiting, c)
	add(&e.work[choice.Index], c)
	return choice, true
}

func add(work *ledger.Work, c *call) {
	work.Running++
	work.Prefill[c.priority] += time.Duration(c.prefillLeft * float64(time.Second) / prefillPerSec)
	work.Memory[c.priority] += c.prompt + outputLimit/2
}

// poll is the rule without a queue: attempts each 10 ms for at most 400 ms, then fixed retry delays.
func (e *entryModel) poll(c *call, since time.Time) {
	choice, sent := e.place(c)
	switch w := e.w; {
	case sent:
	case choice.Index >= 0:
		w.refuse(c, w.jitter(choice.Estimate-c.deadline.Sub(w.now)))
	case w.now.Sub(since) < min(400*time.Millisecond, c.deadline.Sub(since)/4):
		w.after(10*time.Millisecond, func() { e.poll(c, since) })
	case w.rule.bound:
		w.refuse(c, w.jitter(1500*time.Millisecond))
	default:
		w.refuse(c, w.jitter(300*time.Millisecond))
	}
}

func (e *entryModel) decide(c *call, d queue.Decision) {
	for _, r := range d.Evicted {
		e.refuse(r)
	}
	switch d.Action {
	case queue.Refuse:
		e.refuse(d.Refusal)
	case queue.Try:
		e.turns([]uint64{c.id})
	}
}

func (e *entryModel) refuse(r queue.Refusal) {
	if e.w.rule.fixed {
		r.RetryAfter = e.w.jitter(300 * time.Millisecond)
	}
	e.w.refuse(e.calls[r.Item.ID], r.RetryAfter)
	delete(e.calls, r.Item.ID)
}

func (e *entryModel) turns(ids []uint64) {
	for len(ids) > 0 {
		c := e.calls[ids[0]]
		choice, sent := e.place(c)
		switch now := e.w.now; {
		case sent:
			delete(e.calls, c.id)
			_, ids = e.queue.Placed(c.id, now)
		case choice.Index >= 0:
			delete(e.calls, c.id)
			_, _, ids = e.queue.Leave(c.id, now)
			e.w.refuse(c, e.w.jitter(choice.Estimate-c.deadline.Sub(now)))
		default:
			var d queue.Decision
			d, ids = e.queue.Failed(c.id, now)
			e.decide(c, d)
		}
	}
}

// step advances an engine by a tick. It prefills one prompt at a time, and decodes all others in the
// rest of the time.
func (w *world) step(g *engineModel) {
	gone := func(c *call) bool { return !w.now.Before(c.deadline) }
	g.waiting, g.running = slices.DeleteFunc(g.waiting, gone), slices.DeleteFunc(g.running, gone)
	slices.SortStableFunc(g.waiting, func(a, b *call) int { return a.priority - b.priority })
	used := 0.0
	for _, c := range g.running {
		used += c.tokens()
	}
	for len(g.waiting) > 0 && len(g.running) < engineSlots {
		c := g.waiting[0]
		for used+c.tokens() > engineMemory && w.preempt(g, c.priority, &used) {
		}
		if used+c.tokens() > engineMemory {
			break
		}
		g.waiting, g.running = g.waiting[1:], append(g.running, c)
		used += c.tokens()
	}
	budget := 1.0
	for _, c := range g.running {
		if n := min(budget*prefillPerTick, c.prefillLeft); n > 0 {
			c.prefillLeft -= n
			budget -= n / prefillPerTick
			if c.prefillLeft <= 0 && c.firstAt.IsZero() {
				c.firstAt = w.now
				w.wake(c)
			}
		}
	}
	for _, c := range g.running {
		if c.prefillLeft <= 0 {
			c.made += budget * float64(tick) / float64(tokenTime)
			used += budget * float64(tick) / float64(tokenTime)
		}
	}
	g.running = slices.DeleteFunc(g.running, func(c *call) bool {
		if c.made < float64(c.output) {
			return false
		}
		c.doneAt = w.now
		w.wake(c)
		return true
	})
	for used > engineMemory && w.preempt(g, -1, &used) {
	}
}

// preempt returns the last request of a lower priority to the waiting ones.
func (w *world) preempt(g *engineModel, priority int, used *float64) bool {
	last := -1
	for i, c := range g.running {
		if c.priority > priority && (last < 0 || c.priority >= g.running[last].priority) {
			last = i
		}
	}
	if last < 0 {
		return false
	}
	c := g.running[last]
	*used -= c.tokens()
	c.prefillLeft = c.tokens()
	g.running, g.waiting = slices.Delete(g.running, last, last+1), append(g.waiting, c)
	w.preempted++
	return true
}

// wake lets the entry of a call know of its first event or its end.
func (w *world) wake(c *call) {
	e := c.entry
	w.after(0, func() {
		e.refresh()
		if e.queue != nil {
			e.turns(e.queue.Wake("s", w.now))
		}
	})
}

// refresh updates what an entry knows.
func (e *entryModel) refresh() {
	e.work = [engineCount]ledger.Work{}
	for i := range e.w.engines {
		for _, c := range e.w.engines[i].running {
			add(&e.work[i], c)
		}
		for _, c := range e.w.engines[i].waiting {
			add(&e.work[i], c)
		}
	}
}

func run(r rule, s spell) *world {
	w := &world{rule: r, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(7, 11)), arrivals: rand.New(rand.NewPCG(3, 5)), events: map[int64][]func(){}}
	entries := entryCount
	if r.central {
		entries = 1
	}
	for range entries {
		e := &entryModel{w: w, calls: map[uint64]*call{}}
		if r.queue {
			e.queue = queue.New(queue.Policy{})
		}
		w.entries = append(w.entries, e)
	}
	for t := range runTicks {
		w.now = w.now.Add(tick)
		load, greedy, overload := 1.0, 0.2, t >= spells && t < spells+s.duration
		if overload {
			load, greedy = s.load(float64(t-spells)/float64(s.duration)), s.greedy
		}
		for i := range w.engines {
			w.engines[i].gone = overload && i < s.gone
		}
		for p := load * usualRate * tick.Seconds(); p > 0 && t < runTicks-20*200; p-- {
			if w.arrivals.Float64() < p {
				w.arrive(greedy)
			}
		}
		at := w.now.UnixNano() / int64(tick)
		for _, f := range w.events[at] {
			f()
		}
		delete(w.events, at)
		for i := range w.engines {
			w.step(&w.engines[i])
		}
		for i, e := range w.entries {
			if (t+i)%announceTicks == 0 {
				e.refresh()
				if r.queue {
					e.queue.Notify(w.now)
				}
			}
			if r.queue && !e.queue.Next().IsZero() && !w.now.Before(e.queue.Next()) {
				ids, refused := e.queue.Tick(w.now)
				for _, f := range refused {
					e.refuse(f)
				}
				e.turns(ids)
			}
		}
	}
	return w
}

// result is what callers that arrived during a spell or within 5 s after it got.
type result struct {
	calls, inTime, late, refused, again int
	attempts                            float64
	p50, p99                            time.Duration
	// least is the share in time of the workspace with the least, against that of all.
	least float64
	// greedy and others are the shares in time of the first workspace and of the others.
	greedy, others float64
}

func (w *world) result(s spell) result {
	var r result
	var waits []time.Duration
	arrived, inTime := map[string]int{}, map[string]int{}
	begin := time.Unix(1_000_000, 0).Add(spells * tick)
	for _, c := range w.calls {
		if c.arrived.Before(begin) || c.arrived.After(begin.Add(time.Duration(s.duration)*tick+5*time.Second)) {
			continue
		}
		r.calls++
		r.attempts += float64(c.attempts)
		r.again += c.again
		arrived[c.workspace]++
		switch {
		case c.doneAt.IsZero():
			r.refused++
			continue
		case c.firstAt.Sub(c.arrived) <= c.objective:
			r.inTime++
			inTime[c.workspace]++
		default:
			r.late++
		}
		waits = append(waits, c.sentAt.Sub(c.arrived))
	}
	r.attempts /= float64(r.calls)
	slices.Sort(waits)
	r.p50, r.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	r.least, r.greedy = 1, share(inTime["w0"], arrived["w0"])
	r.others = share(r.inTime-inTime["w0"], r.calls-arrived["w0"])
	for workspace, calls := range arrived {
		r.least = min(r.least, share(inTime[workspace], calls)/share(r.inTime, r.calls))
	}
	return r
}

// Guards against a queue that serves fewer requests in time than polling with the same bound, or in an
// overload than polling without one; against a workspace that displaces others; and against Retry-After
// that causes more attempts than a fixed delay.
func TestModelOfOverloads(t *testing.T) {
	constant := func(load float64) func(float64) float64 { return func(float64) float64 { return load } }
	burst := spell{"burst of 1.7 to 2.6 for 6 s", 6 * 200, func(share float64) float64 { return 1.7 + 0.9*share }, 0, 0.2}
	twice := spell{"twice the load for 20 s, 0.6 of it from one of five workspaces", 20 * 200, constant(2), 0, 0.6}
	gone := spell{"a quarter of the engines gone for 14 s", 14 * 200, constant(1), engineCount / 4, 0.2}
	polling, bound := rule{name: "polling"}, rule{name: "polling with the bound", bound: true}
	queued, fixed := rule{name: "queue", queue: true, bound: true}, rule{name: "queue with a fixed 300 ms", queue: true, bound: true, fixed: true}
	central := rule{name: "one queue for all", queue: true, bound: true, central: true}
	for _, s := range []spell{burst, twice, gone} {
		results := map[string]result{}
		for _, r := range []rule{polling, bound, queued, fixed, central} {
			w := run(r, s)
			got := w.result(s)
			results[r.name] = got
			t.Logf("%s; %s: %d requests, in time %.3f, late %.3f, not served %.3f, attempts %.2f, refused again %d, wait p50 %v p99 %v, least workspace %.2f, first workspace in time %.2f, others %.2f, preempted %d",
				s.name, r.name, got.calls, share(got.inTime, got.calls), share(got.late, got.calls), share(got.refused, got.calls), got.attempts, got.again, got.p50, got.p99, got.least, got.greedy, got.others, w.preempted)
		}
		now := results[queued.name]
		if now.inTime < results[bound.name].inTime {
			t.Errorf("%s: %d in time with the queue, %d with polling and the same bound", s.name, now.inTime, results[bound.name].inTime)
		}
		if old := results[polling.name]; s.gone == 0 && (now.inTime < old.inTime || now.refused > old.refused) {
			t.Errorf("%s: %+v with the queue, %+v with polling", s.name, now, old)
		}
		if s.name != twice.name {
			continue
		}
		if other := results[fixed.name]; now.attempts > other.attempts || now.again > other.again || now.inTime < other.inTime {
			t.Errorf("%s: %+v with forecasts as Retry-After, %+v with a fixed delay", s.name, now, other)
		}
		if now.others < now.greedy {
			t.Errorf("%s: the workspace that sends most has %.2f in time, others %.2f", s.name, now.greedy, now.others)
		}
	}
}

func share(n, of int) float64 { return float64(n) / float64(of) }
