package replay

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

const maxMicros = int64(30 * time.Minute / time.Microsecond)

// Result holds the figures of one replay.
type Result struct {
	Policy string
	// TTFT in microseconds, by class.
	TTFT [config.NumClasses]*hdrhistogram.Histogram
	// Requests counted after the warm-up, those that got a first token, and
	// those of them in time.
	Requests, Answered, InTime int
	Refusals                   map[errkind.Kind]int
	// PromptTokens of answered requests; CachedTokens of them were cached;
	// RecomputedTokens had been computed by some engine before.
	PromptTokens, CachedTokens, RecomputedTokens int64
	// Served and Wanted are the tokens served to and asked by each workspace.
	Served, Requested map[string]float64
	// Utilization is the mean share of time that engines prefilled.
	Utilization float64
	// BatchUse is the mean share of batch places that were taken.
	BatchUtilization float64
	// Seconds holds the figures of each second, for recoveries.
	Seconds []Second

	weights     map[string]float64
	warmup      time.Duration
	lastArrival time.Duration
	probes      int
	retries     int
}

// Second holds the figures of one second of the trace.
type Second struct {
	Prompt, Cached int64
	Answered       int
	// TTFT is the sum over the answered requests.
	TTFT time.Duration
}

func newResult(s Setup) *Result {
	const digits = 3
	res := &Result{Policy: s.Policy.Name(), Refusals: map[errkind.Kind]int{}, Served: map[string]float64{}, Requested: map[string]float64{}, warmup: s.Warmup, weights: s.Weights}
	for i := range res.TTFT {
		res.TTFT[i] = hdrhistogram.New(1, maxMicros, digits)
	}
	return res
}

func (res *Result) counts(j *job) bool { return j.arrived >= res.warmup }

func (res *Result) arrived(_ *Replay, j *job) {
	res.lastArrival = j.arrived
	if res.counts(j) {
		res.Requests++
		res.Requested[j.record.Workspace] += float64(j.record.InputLength + j.record.OutputLength)
	}
}

func (res *Result) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(res.Seconds) <= i {
		res.Seconds = append(res.Seconds, Second{})
	}
	return &res.Seconds[i]
}

func (res *Result) firstToken(r *Replay, j *job, cached int) {
	recomputed := r.recomputed(j, cached)
	ttft := r.now - j.arrived
	s := res.second(j.arrived)
	s.Prompt += int64(j.record.InputLength)
	s.Cached += int64(cached)
	s.Answered++
	s.TTFT += ttft
	if !res.counts(j) {
		return
	}
	res.PromptTokens += int64(j.record.InputLength)
	res.CachedTokens += int64(cached)
	res.RecomputedTokens += int64(recomputed)
	if j.answered {
		// The engine crashed and the rest runs elsewhere: the caller has had
		// the first token.
		return
	}
	j.answered = true
	_ = res.TTFT[j.class].RecordValue(min(ttft.Microseconds(), maxMicros))
	res.Answered++
	if ttft <= time.Duration(j.record.DeadlineMs)*time.Millisecond {
		res.InTime++
	}
	res.Served[j.record.Workspace] += float64(j.record.InputLength + j.record.OutputLength)
}

// recomputed counts the tokens that a prefill computes although some engine
// has computed them before.
func (r *Replay) recomputed(j *job, cached int) int {
	n := 0
	for _, b := range j.record.HashIDs[cached/j.record.BlockTokens:] {
		if _, ok := r.seen[b]; ok {
			n += j.record.BlockTokens
			continue
		}
		r.seen[b] = struct{}{}
	}
	return n
}

func (res *Result) refused(_ *Replay, j *job, kind errkind.Kind) {
	if res.counts(j) {
		res.Refusals[kind]++
	}
}

func (res *Result) finish(r *Replay) {
	var busy, held time.Duration
	for _, e := range r.engines {
		busy += e.busy
		held += e.held
	}
	whole := res.lastArrival.Seconds() * float64(len(r.engines))
	if whole == 0 {
		return
	}
	res.Utilization = busy.Seconds() / whole
	res.BatchUtilization = held.Seconds() / whole / float64(r.setup.Costs.MaxBatch)
}

// HitRate is the share of prompt tokens that were cached.
func (res *Result) HitRate() float64 { return ratio(res.CachedTokens, res.PromptTokens) }

// Waste is the share of prompt tokens that were computed again.
func (res *Result) Waste() float64 { return ratio(res.RecomputedTokens, res.PromptTokens) }

// Goodput is the share of requests with a first token in time.
func (res *Result) Goodput() float64 { return ratio(int64(res.InTime), int64(res.Requests)) }

// Refused is the number of requests without an answer.
func (res *Result) Refused() int {
	n := 0
	for _, k := range res.Refusals {
		n += k
	}
	return n
}

// ProbesPerRequest is the number of probes a request took.
func (res *Result) ProbesPerRequest() float64 { return ratio(int64(res.probes), int64(res.Requests)) }

// RetryShare is the share of requests that were tried again.
func (res *Result) RetryShare() float64 { return ratio(int64(res.retries), int64(res.Requests)) }

// Quantile is the TTFT of a class at a quantile.
func (res *Result) Quantile(class config.Class, q float64) time.Duration {
	return time.Duration(res.TTFT[class].ValueAtQuantile(q*100)) * time.Microsecond
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func sortJobs(jobs []*job) {
	sort.Slice(jobs, func(i, j int) bool {
		if jobs[i].arrived != jobs[j].arrived {
			return jobs[i].arrived < jobs[j].arrived
		}
		return jobs[i].record.HashIDs[len(jobs[i].record.HashIDs)-1] < jobs[j].record.HashIDs[len(jobs[j].record.HashIDs)-1]
	})
}

// ShareError is the largest distance of what a workspace was served from its
// fair share, as a part of the latter. The fair shares are those by weight of
// all that was served, where nobody gets more than it asked for.
func (res *Result) ShareError() float64 {
	fair := res.fairShares()
	worst := 0.0
	for name, want := range fair {
		worst = max(worst, math.Abs(res.Served[name]-want)/want)
	}
	return worst
}

// fairShares fills the workspaces by weight until each is full or nothing is
// left.
func (res *Result) fairShares() map[string]float64 {
	left := 0.0
	for _, s := range res.Served {
		left += s
	}
	fair := make(map[string]float64, len(res.Requested))
	open := make(map[string]bool, len(res.Requested))
	for name := range res.Requested {
		open[name] = true
	}
	for len(open) > 0 {
		weights := 0.0
		for name := range open {
			weights += res.weights[name]
		}
		unit := left / weights
		full := false
		for name := range open {
			if res.Requested[name] <= unit*res.weights[name] {
				fair[name] = res.Requested[name]
				left -= fair[name]
				delete(open, name)
				full = true
				break
			}
		}
		if full {
			continue
		}
		for name := range open {
			fair[name] = unit * res.weights[name]
			delete(open, name)
		}
	}
	return fair
}

const (
	// recoveryWindow is the time over which a recovery must hold.
	recoveryWindow = 3
	// recoveryBand is how near to the steady figure counts as recovered.
	recoveryBand = 0.1
)

// Recovery is how many seconds after a time the hit rate and the mean TTFT are
// back within a tenth of what they were before it; -1 means not within the
// trace.
func (res *Result) Recovery(at time.Duration) (hit, ttft int) {
	fault := int(at / time.Second)
	steady := sumSeconds(res.Seconds[int(res.warmup/time.Second):fault])
	hit, ttft = -1, -1
	for s := fault; s+recoveryWindow <= len(res.Seconds); s++ {
		now := sumSeconds(res.Seconds[s : s+recoveryWindow])
		if hit < 0 && now.hitRate() >= steady.hitRate()*(1-recoveryBand) {
			hit = s - fault
		}
		if ttft < 0 && now.meanTTFT() <= time.Duration(float64(steady.meanTTFT())*(1+recoveryBand)) {
			ttft = s - fault
		}
	}
	return hit, ttft
}

func sumSeconds(seconds []Second) Second {
	var sum Second
	for _, s := range seconds {
		sum.Prompt += s.Prompt
		sum.Cached += s.Cached
		sum.Answered += s.Answered
		sum.TTFT += s.TTFT
	}
	return sum
}

func (s Second) hitRate() float64 { return ratio(s.Cached, s.Prompt) }

func (s Second) meanTTFT() time.Duration {
	return s.TTFT / time.Duration(max(s.Answered, 1))
}
