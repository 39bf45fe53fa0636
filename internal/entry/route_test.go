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
		results := make(chan placed, 4)
		answers := make([]answer, 4)
		for i := range answers {
			answers[i].refusal = errkind.New(errkind.NoTarget, "")
		}
		go func() {
			time.Sleep(time.Millisecond)
			results <- placed{2, answer{matched: 5}}
			time.Sleep(time.Millisecond)
			results <- placed{0, answer{matched: 7}}
		}()
		start := time.Now()
		collect(context.Background(), answers, results)
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
		answers := []answer{{refusal: errkind.New(errkind.NoTarget, "")}}
		start := time.Now()
		collect(context.Background(), answers, make(chan placed))
		if took := time.Since(start); took != probeTimeout || !silent(answers) {
			t.Errorf("the round took %v", took)
		}
	})
}
