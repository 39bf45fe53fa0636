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

// slowLog takes several polls' time for an append.
type slowLog struct{ *standin.Log }

func (l *slowLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	time.Sleep(4 * time.Second)
	return l.AppendRecord(stream, data), nil
}

func (l *slowLog) Read(_ context.Context, stream string, from uint64) (*external.Page, error) {
	return l.ReadPage(stream, from), nil
}

// The only copy of the configuration grows old while the log is slow. The
// process that carries it forward must not do so again at each poll meanwhile.
func TestSlowCarryIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{standin.NewLog()}
		appendRecord(t, log.Log, Record{Type: TypePublish, Nonce: "a", Text: textNumber(1)})
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
			t.Errorf("carried %d times", n)
		}
	})
}
