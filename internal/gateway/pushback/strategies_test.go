package pushback

import (
	"flag"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// This file compares ways to keep one target's limit over all entries on a virtual clock.

const (
	simWindow = 4 * time.Second
	// simDetection is how long a change of membership takes to be known.
	simDetection = 2500 * time.Millisecond
	// simStart is when the entries learn the limit, simEnd when the simulation ends.
	simStart, simEnd = time.Second, 31 * time.Second
	// simDemand is the demand in multiples of the limit.
	simDemand = 3
)

// world is a fleet of entries with requests for one target.
type world struct {
	random *rand.Rand
	limit  float64
	n      int
	// weights are the shares of the demand, by entry.
	weights []float64
	// side is each entry's side of a partition between cutFrom and cutTo.
	side           []int
	sideSize       [2]int
	cutFrom, cutTo time.Duration
	// restartAt is when the entry that restarted begins anew; zero for none.
	restarted int
	restartAt time.Duration
}

func newWorld(n int, limit float64, skewed bool) *world {
	w := &world{random: rand.New(rand.NewPCG(1, uint64(n))), limit: limit, n: n, weights: make([]float64, n), side: make([]int, n), restarted: -1}
	for i := range n {
		w.weights[i] = 1
		if skewed {
			w.weights[i] = 1 / math.Pow(float64(i+1), 1.2)
		}
		w.side[i] = i % 2
		w.sideSize[w.side[i]]++
	}
	return w
}

// reaches reports whether messages pass between two entries.
func (w *world) reaches(a, b int, now time.Duration) bool {
	return a == b || now < w.cutFrom || now >= w.cutTo || w.side[a] == w.side[b]
}

// sees reports whether an entry considers another one live.
func (w *world) sees(a, b int, now time.Duration) bool {
	return w.reaches(a, b, max(now-simDetection, 0))
}

// live returns the number of entries that an entry considers live.
func (w *world) live(a int, now time.Duration) int {
	if known := now - simDetection; known < w.cutFrom || known >= w.cutTo {
		return w.n
	}
	return w.sideSize[w.side[a]]
}

// strategy decides which requests of an entry go to the target.
type strategy interface {
	admit(entry int, now time.Duration) bool
	// messages returns the number of datagrams sent so far.
	messages() int
}

// result is what came of a run.
type result struct {
	// used is the share of the limit that was used, most the largest number of requests in a
	// window relative to what is allowed.
	used, most float64
	messages   float64
}

func (w *world) run(s strategy) result {
	var admitted []time.Duration
	demand := simDemand * w.limit
	cumulative := make([]float64, w.n)
	sum := 0.0
	for i, weight := range w.weights {
		sum += weight
		cumulative[i] = sum
	}
	now := simStart
	for {
		now += time.Duration(w.random.ExpFloat64() / demand * float64(time.Second))
		if now > simEnd {
			break
		}
		entry, _ := slices.BinarySearch(cumulative, w.random.Float64()*sum)
		if s.admit(entry, now) {
			admitted = append(admitted, now)
		}
	}
	most := 0
	first := 0
	for i, at := range admitted {
		for admitted[first] <= at-simWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	seconds := (simEnd - simStart).Seconds()
	return result{
		used: float64(len(admitted)) / (w.limit * seconds), most: float64(most) / (1.5*w.limit*simWindow.Seconds() + 5),
		messages: float64(s.messages()) / seconds,
	}
}

// tokenBucket is a plain token bucket.
type tokenBucket struct {
	level float64
	at    time.Duration
}

func (b *tokenBucket) take(perSecond, burst float64, now time.Duration) bool {
	b.level = math.Min(b.level+perSecond*(now-b.at).Seconds(), burst)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// alone keeps the whole limit at each entry.
type alone struct {
	w       *world
	buckets []tokenBucket
}

func (s *alone) admit(e int, now time.Duration) bool {
	return s.buckets[e].take(s.w.limit, 1+s.w.limit, now)
}
func (s *alone) messages() int { return 0 }

// shares divides the limit by the number of live entries. Buckets begin at a random level, so that
// entries with a small share do not all begin or all wait at the same time.
type shares struct {
	w       *world
	buckets []tokenBucket
	begun   []bool
}

func (s *shares) admit(e int, now time.Duration) bool {
	if !s.begun[e] {
		s.begun[e], s.buckets[e] = true, tokenBucket{level: s.w.random.Float64(), at: now}
	}
	share := s.w.limit / float64(s.w.live(e, now))
	return s.buckets[e].take(share, 1+share, now)
}
func (s *shares) messages() int { return 0 }

// owners lets the entries with the highest ranks send, as many as their traffic takes.
type owners struct {
	w       *world
	buckets []tokenBucket
	// perOwner is the rate that an owner can use.
	perOwner float64
}

func (s *owners) admit(e int, now time.Duration) bool {
	count := min(max(int(math.Ceil(s.w.limit/s.perOwner)), 1), s.w.n)
	rank := 0
	for other := range e {
		if s.w.sees(e, other, now) {
			rank++
		}
	}
	if rank >= count {
		return false
	}
	share := s.w.limit / float64(count)
	return s.buckets[e].take(share, 1+share, now)
}
func (s *owners) messages() int { return 0 }

// proportional divides the limit by demand, which each entry announces to all others.
type proportional struct {
	w       *world
	buckets []tokenBucket
	// demand is each entry's average, announced what it last announced to the others.
	demand, announced []float64
	demandAt          []time.Duration
	announcedAt       []time.Duration
	sent              int
}

const proportionalPeriod = 400 * time.Millisecond

func (s *proportional) admit(e int, now time.Duration) bool {
	s.demand[e] = s.demand[e]*math.Exp(-(now-s.demandAt[e]).Seconds()) + 1
	s.demandAt[e] = now
	if now-s.announcedAt[e] > proportionalPeriod {
		s.announced[e], s.announcedAt[e] = s.demand[e], now
		s.sent += s.w.n - 1
	}
	total := s.demand[e]
	for other := range s.w.n {
		if other != e && s.w.sees(e, other, now) {
			total += s.announced[other] * math.Exp(-(now - s.announcedAt[other]).Seconds())
		}
	}
	share := s.w.limit * s.demand[e] / total
	return s.buckets[e].take(share, 1+share, now)
}
func (s *proportional) messages() int { return s.sent }

// leases asks the entry with the highest rank for each request.
type leases struct {
	w            *world
	coordinators []*ratelimit.Coordinator
	since        []time.Duration
	restarted    bool
	sent         int
	lastID       uint32
}

func (s *leases) admit(e int, now time.Duration) bool {
	if r := s.w.restarted; r >= 0 && now >= s.w.restartAt && !s.restarted {
		s.restarted, s.coordinators[r], s.since[r] = true, ratelimit.NewCoordinator(time.Minute), now
	}
	coordinator := 0
	for !s.w.sees(e, coordinator, now) {
		coordinator++
	}
	if coordinator != e {
		s.sent += 2
	}
	if !s.w.reaches(e, coordinator, now) {
		return false
	}
	if cut := s.w.cutFrom + simDetection; coordinator > 0 && s.since[coordinator] < cut {
		s.since[coordinator] = cut
	}
	share := float64(s.w.live(coordinator, now)) / float64(s.w.n)
	limit := ratelimit.TargetLimit(s.w.limit).Scaled(share)
	s.lastID++
	start := time.Unix(0, 0)
	from := ratelimit.Holder{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(e >> 8), byte(e)}), 1)}
	return s.coordinators[coordinator].Handle("t", from, ratelimit.LeaseRequest{ID: s.lastID, RequestCost: 1}, limit, start.Add(s.since[coordinator]), start.Add(now)).Admitted
}
func (s *leases) messages() int { return s.sent }

// strategies returns the ways to compare. An entry sends 14 requests a second in all.
func strategies(w *world) map[string]strategy {
	buckets := func() []tokenBucket {
		b := make([]tokenBucket, w.n)
		for i := range b {
			b[i].at = simStart
		}
		return b
	}
	l := &leases{w: w, since: make([]time.Duration, w.n)}
	for range w.n {
		l.coordinators = append(l.coordinators, ratelimit.NewCoordinator(time.Minute))
	}
	for i := range l.since {
		l.since[i] = simStart
	}
	return map[string]strategy{
		"alone":        &alone{w, buckets()},
		"shares":       &shares{w, buckets(), make([]bool, w.n)},
		"owners":       &owners{w, buckets(), 14},
		"proportional": &proportional{w: w, buckets: buckets(), demand: make([]float64, w.n), announced: make([]float64, w.n), demandAt: make([]time.Duration, w.n), announcedAt: make([]time.Duration, w.n)},
		"leases":       l,
	}
}

var compareStrategies = flag.Bool("compare", false, "also measure the ways that are not in use")

// strategyNames returns the ways to measure.
func strategyNames() []string {
	if *compareStrategies {
		return []string{"alone", "shares", "owners", "proportional", "leases"}
	}
	return []string{"leases"}
}

// Guards against a change that makes leases exceed a target's limit or leave it unused where other
// ways would not.
func TestCompareLimitStrategies(t *testing.T) {
	scenarios := []struct {
		name  string
		apply func(*world)
	}{
		{"calm", func(*world) {}},
		{"half cut off", func(w *world) { w.cutFrom, w.cutTo = 10*time.Second, 25*time.Second }},
		{"coordinator restarts", func(w *world) { w.restarted, w.restartAt = 0, 15*time.Second }},
	}
	t.Logf("%-20s %7s %6s %6s | %-12s: share of the limit used, most in a window against what is allowed, datagrams a second", "scenario", "entries", "limit", "demand", "way")
	for _, scenario := range scenarios {
		for _, n := range []int{2, 48, 420} {
			for _, limit := range []float64{0.3, 3, 300} {
				if n*int(limit) > 100_000 && !*compareStrategies {
					continue // takes half of the time
				}
				for _, skewed := range []bool{false, true} {
					for _, name := range strategyNames() {
						w := newWorld(n, limit, skewed)
						scenario.apply(w)
						r := w.run(strategies(w)[name])
						shape := "even"
						if skewed {
							shape = "skewed"
						}
						t.Logf("%-20s %7d %6.1f %6s | %-12s: %5.2f %5.2f %8.0f", scenario.name, n, limit, shape, name, r.used, r.most, r.messages)
						if name != "leases" {
							continue
						}
						if r.most > 1 {
							t.Errorf("%s, %d entries, limit %.1f: leases use %.2f of what is allowed in a window", scenario.name, n, limit, r.most)
						}
						if scenario.name == "calm" && r.used < 0.75 {
							t.Errorf("%d entries, limit %.1f: leases use %.2f of the limit", n, limit, r.used)
						}
					}
				}
			}
		}
	}
}
