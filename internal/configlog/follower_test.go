package configlog

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/blackboard"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/standin"
)

// slowAppendLog delays each append by several poll periods.
type slowAppendLog struct{ *standin.Log }

func (l *slowAppendLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(4 * time.Second)
	return l.AppendRecord(stream, data), nil
}

func (l *slowAppendLog) Read(_ context.Context, stream string, from uint64) (*external.Page, error) {
	return l.ReadPage(stream, from), nil
}

// Guards against a process that republishes again at each poll while the first
// append is slow.
func TestSlowRepublishIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowAppendLog{standin.NewLog()}
		appendRecord(t, log.Log, Record{Type: TypePublish, Nonce: "a", Text: configText(1)})
		loop := control.NewLoop(1, func(time.Duration) {})
		f := NewFollower(loop, log, &blackboard.Fact[Snapshot]{}, FollowerOptions{
			LogPolls: 20, SyncPeriod: time.Second, Retention: time.Minute, Client: &http.Client{}, Logger: logr.Discard(),
			LogError: func(string) {}, OnChange: func(Snapshot) {},
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			loop.Run()
		}()
		f.Start()
		time.Sleep(58 * time.Second)
		loop.Stop()
		<-done
		if n := len(log.ReadPage(Stream, 1).Records) - 1; n != 1 {
			t.Errorf("republished %d times, want 1", n)
		}
	})
}
