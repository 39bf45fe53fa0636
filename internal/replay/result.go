package replay

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

// maxMicros is the highest recorded time to first token, in microseconds.
const maxMicros = int64(30 * time.Minute / time.Microsecond)

// Result holds the measurements of a replay.
type Result struct {
	Policy string
	// TTFT holds the times to first token in microseconds, by class.
	TTFT [config.NumClasses]*hdrhistogram.Histogram
	// Requests counts the requests after the warm-up, Answered those that received a first
	// token, and InTime those that received it before their deadline.
	Requests, Answered, InTime int
	Refusals                   map[errkind.Kind]int
	// PromptTokens counts prompt tokens. CachedTokens of them were cached at the engine;
	// RecomputedTokens were computed although some engine had computed them before.
	PromptTokens, CachedTokens, RecomputedTokens int64
	// Served and Requested count the tokens served to and requested by each workspace.
	Served, Requested map[string]float64
	// Utilization is the mean fraction of time that engines spent on prefill.
	Utilization float64
	// BatchUtilization is the mean fraction of batch slots in use.
	BatchUtilization float64
	// Seconds holds the measurements by second of arrival.
	Seconds []Second

	weights     map[string]float64
	warmup      time.Duration
	lastArrival time.Duration
	probes      int
	retries     int
}

// Second holds the measurements of the requests that arrived in one second.
type Second struct {
	Prompt, Cached int64
	Answered       int
	// TTFT is the sum of the times to first token.
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

// isMeasured reports whether a request arrived after the warm-up.
func (res *Result) isMeasured(j *job) bool { return j.arrived >= res.warmup }

func (res *Result) recordArrival(_ *Replay, j *job) {
	res.lastArrival = j.arrived
	if res.isMeasured(j) {
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

func (res *Result) recordFirstToken(r *Replay, j *job, cached int) {
	recomputed := r.countRecomputed(j, cached)
	ttft := r.now - j.arrived
	s := res.second(j.arrived)
	s.Prompt += int64(j.record.InputLength)
	s.Cached += int64(cached)
	s.Answered++
	s.TTFT += ttft
	if !res.isMeasured(j) {
		return
	}
	res.PromptTokens += int64(j.record.InputLength)
	res.CachedTokens += int64(cached)
	res.RecomputedTokens += int64(recomputed)
	if j.gotFirstToken {
		// A retry after an engine crash; the caller already has the first token.
		return
	}
	j.gotFirstToken = true
	_ = res.TTFT[j.class].RecordValue(min(ttft.Microseconds(), maxMicros))
	res.Answered++
	if ttft <= time.Duration(j.record.DeadlineMs)*time.Millisecond {
		res.InTime++
	}
	res.Served[j.record.Workspace] += float64(j.record.InputLength + j.record.OutputLength)
}

// countRecomputed returns the number of tokens in a prefill that some engine has computed
// before, and records the others as computed.
func (r *Replay) countRecomputed(j *job, cached int) int {
	n := 0
	for _, b := range j.record.HashIDs[cached/j.record.BlockTokens:] {
		if _, ok := r.computedBlocks[b]; ok {
			n += j.record.BlockTokens
			continue
		}
		r.computedBlocks[b] = struct{}{}
	}
	return n
}

func (res *Result) recordRefusal(_ *Replay, j *job, kind errkind.Kind) {
	if res.isMeasured(j) {
		res.Refusals[kind]++
	}
}

func (res *Result) computeUtilization(r *Replay) {
	var prefillBusy, batchBusy time.Duration
	for _, e := range r.engines {
		prefillBusy += e.prefillBusy
		batchBusy += e.batchBusy
	}
	engineSeconds := res.lastArrival.Seconds() * float64(len(r.engines))
	if engineSeconds == 0 {
		return
	}
	res.Utilization = prefillBusy.Seconds() / engineSeconds
	res.BatchUtilization = batchBusy.Seconds() / engineSeconds / float64(r.setup.Costs.MaxBatch)
}

// HitRate returns the fraction of prompt tokens that were cached.
func (res *Result) HitRate() float64 { return ratio(res.CachedTokens, res.PromptTokens) }

// Waste returns the fraction of prompt tokens that were recomputed.
func (res *Result) Waste() float64 { return ratio(res.RecomputedTokens, res.PromptTokens) }

// Goodput returns the fraction of requests with a first token before their deadline.
func (res *Result) Goodput() float64 { return ratio(int64(res.InTime), int64(res.Requests)) }

// Refused returns the number of refused requests.
func (res *Result) Refused() int {
	n := 0
	for _, k := range res.Refusals {
		n += k
	}
	return n
}

// ProbesPerRequest returns the mean number of probes per request.
func (res *Result) ProbesPerRequest() float64 { return ratio(int64(res.probes), int64(res.Requests)) }

// RetryShare returns the number of retries per request.
func (res *Result) RetryShare() float64 { return ratio(int64(res.retries), int64(res.Requests)) }

// Quantile returns a quantile of a class's time to first token.
func (res *Result) Quantile(class config.Class, q float64) time.Duration {
	return time.Duration(res.TTFT[class].ValueAtQuantile(q*100)) * time.Microsecond
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// sortJobs orders jobs by arrival, so that map iteration order doesn't affect the result.
func sortJobs(jobs []*job) {
	sort.Slice(jobs, func(i, j int) bool {
		if jobs[i].arrived != jobs[j].arrived {
			return jobs[i].arrived < jobs[j].arrived
		}
		return jobs[i].record.HashIDs[len(jobs[i].record.HashIDs)-1] < jobs[j].record.HashIDs[len(jobs[j].record.HashIDs)-1]
	})
}

// ShareError returns the largest relative deviation of a workspace's served tokens from its
// fair share. Fair shares divide all served tokens by weight, capped by each workspace's demand.
func (res *Result) ShareError() float64 {
	fair := res.fairShares()
	worst := 0.0
	for name, want := range fair {
		worst = max(worst, math.Abs(res.Served[name]-want)/want)
	}
	return worst
}

// fairShares computes the workspaces' weighted max-min fair shares of the served tokens.
func (res *Result) fairShares() map[string]float64 {
	remaining := 0.0
	for _, s := range res.Served {
		remaining += s
	}
	fair := make(map[string]float64, len(res.Requested))
	unsatisfied := make(map[string]bool, len(res.Requested))
	for name := range res.Requested {
		unsatisfied[name] = true
	}
	for len(unsatisfied) > 0 {
		weights := 0.0
		for name := range unsatisfied {
			weights += res.weights[name]
		}
		unit := remaining / weights
		satisfied := false
		for name := range unsatisfied {
			if res.Requested[name] <= unit*res.weights[name] {
				fair[name] = res.Requested[name]
				remaining -= fair[name]
				delete(unsatisfied, name)
				satisfied = true
				break
			}
		}
		if satisfied {
			continue
		}
		for name := range unsatisfied {
			fair[name] = unit * res.weights[name]
			delete(unsatisfied, name)
		}
	}
	return fair
}

const (
	// recoveryWindow is the number of seconds over which a recovery is averaged.
	recoveryWindow = 3
	// recoveryBand is the relative deviation from the steady state that counts as recovered.
	recoveryBand = 0.1
)

// Recovery returns the number of seconds from a fault until the hit rate and the mean TTFT are
// back within recoveryBand of their values before it, or -1 if they don't recover.
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
