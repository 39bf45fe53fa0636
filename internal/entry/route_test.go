package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Targets that never respond to a probe must not delay every request: a round must end shortly
// after its first response.
func TestDeadTargetsDoNotDelayProbeRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := make(chan indexedResult, 4)
		results := make([]probeResult, 4)
		for i := range results {
			results[i].refusal = errkind.New(errkind.NoTarget, "")
		}
		go func() {
			time.Sleep(time.Millisecond)
			responses <- indexedResult{2, probeResult{matched: 5}}
			time.Sleep(time.Millisecond)
			responses <- indexedResult{0, probeResult{matched: 7}}
		}()
		start := time.Now()
		collectResults(context.Background(), results, responses)
		if took := time.Since(start); took != probeGrace+time.Millisecond {
			t.Errorf("the round took %v", took)
		}
		if results[0].matched != 7 || results[2].matched != 5 || results[1].refusal == nil || results[3].refusal == nil {
			t.Errorf("unexpected results: %+v", results)
		}
	})
}

// A round without any response must end at its timeout, and the request is then placed without
// probe results.
func TestUnansweredProbeRoundTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := []probeResult{{refusal: errkind.New(errkind.NoTarget, "")}}
		start := time.Now()
		collectResults(context.Background(), results, make(chan indexedResult))
		if took := time.Since(start); took != probeTimeout || !noneResponded(results) {
			t.Errorf("the round took %v", took)
		}
	})
}
