package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Two of four targets are dead and never answer a probe. An alert must not wait
// for them each time: the round ends shortly after the first answer.
func TestDeadTargetsDoNotHoldUpARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := make(chan indexedResult, 4)
		answers := make([]probeResult, 4)
		for i := range answers {
			answers[i].refusal = errkind.New(errkind.NoTarget, "")
		}
		go func() {
			time.Sleep(time.Millisecond)
			results <- indexedResult{2, probeResult{matched: 5}}
			time.Sleep(time.Millisecond)
			results <- indexedResult{0, probeResult{matched: 7}}
		}()
		start := time.Now()
		collectResults(context.Background(), answers, results)
		if took := time.Since(start); took != probeGrace+time.Millisecond {
			t.Errorf("the round took %v", took)
		}
		if answers[0].matched != 7 || answers[2].matched != 5 || answers[1].refusal == nil || answers[3].refusal == nil {
			t.Errorf("%+v", answers)
		}
	})
}

// No target answers: the round ends by its time, and the request goes on
// without any knowledge.
func TestSilentRoundEndsByItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := []probeResult{{refusal: errkind.New(errkind.NoTarget, "")}}
		start := time.Now()
		collectResults(context.Background(), answers, make(chan indexedResult))
		if took := time.Since(start); took != probeTimeout || !noneResponded(answers) {
			t.Errorf("the round took %v", took)
		}
	})
}
