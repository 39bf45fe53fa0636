package configlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// ErrConflict says that another publish came first.
var ErrConflict = errors.New("another version was published first")

// ErrUndecided says that the log's start is cut and no carry tells what was in
// force.
var ErrUndecided = errors.New("the log does not tell which version is in force")

const (
	appendTries = 5
	tryPause    = 200 * time.Millisecond
)

// ReadAll folds the stream from its start to its end.
func ReadAll(ctx context.Context, log external.Log) (*StateMachine, error) {
	f := NewStateMachine()
	return f, CatchUp(ctx, log, f)
}

// ReadOn folds what has come since, to the stream's end.
func CatchUp(ctx context.Context, log external.Log, f *StateMachine) error {
	for {
		page, err := log.Read(ctx, Stream, f.NextOffset())
		if err != nil {
			return errors.Wrap(err, "read configuration stream")
		}
		f.Apply(page)
		if f.NextOffset() >= page.Next {
			return nil
		}
	}
}

// Publish appends a text that was edited from base and reports what became of
// it. An append whose answer is lost is looked up by its nonce before it is
// repeated, so that one call makes one version at most.
func Publish(ctx context.Context, log external.Log, nonce string, base uint64, text string) (Verdict, error) {
	if _, err := config.Parse("configuration", text); err != nil {
		return Verdict{}, err
	}
	data, err := Encode(Record{Type: TypePublish, Nonce: nonce, Base: base, Text: text})
	if err != nil {
		return Verdict{}, err
	}
	var last error
	for try := 0; try < appendTries; try++ {
		verdict, found, err := appendAndLook(ctx, log, nonce, data)
		if found {
			return verdict, judge(verdict, base)
		}
		last = err
		if errors.Is(err, ErrUndecided) {
			return Verdict{}, err
		}
		if !sleep.For(ctx, tryPause) {
			return Verdict{}, ctx.Err()
		}
	}
	return Verdict{}, errors.Wrap(last, "publish: no answer; the text may be in the log, look with 'toucanwell show'")
}

// appendAndLook looks for the nonce, appends when it is not there, and looks
// again.
func appendAndLook(ctx context.Context, log external.Log, nonce string, data []byte) (Verdict, bool, error) {
	f, err := ReadAll(ctx, log)
	if err != nil {
		return Verdict{}, false, err
	}
	if f.Undecided() {
		return Verdict{}, false, ErrUndecided
	}
	if v, found := findNonce(f.TakeVerdicts(), nonce); found {
		return v, true, nil
	}
	_, appendErr := log.Append(ctx, Stream, data)
	if err := CatchUp(ctx, log, f); err != nil {
		return Verdict{}, false, errors.CombineErrors(err, appendErr)
	}
	v, found := findNonce(f.TakeVerdicts(), nonce)
	if !found && appendErr == nil {
		appendErr = errors.New("the append is not in the stream yet")
	}
	return v, found, appendErr
}

func judge(v Verdict, base uint64) error {
	if v.Accepted {
		return nil
	}
	if v.Err != nil {
		return v.Err
	}
	return errors.Wrapf(ErrConflict, "edited from version %d, but version %d is in force; fetch it with 'toucanwell show configuration', apply your change to it, publish with --base %d",
		base, v.InForce, v.InForce)
}

// Recover appends a carry of a text when no process and no record knows what
// was in force. The version is past every offset used so far.
func Recover(ctx context.Context, log external.Log, nonce, text string) (uint64, error) {
	if _, err := config.Parse("configuration", text); err != nil {
		return 0, err
	}
	page, err := log.Read(ctx, Stream, 1)
	if err != nil {
		return 0, errors.Wrap(err, "read configuration stream")
	}
	data, err := Encode(Record{Type: TypeRepublish, Nonce: nonce, Version: page.Next, AsOf: page.Next - 1, Text: text})
	if err != nil {
		return 0, err
	}
	_, err = log.Append(ctx, Stream, data)
	return page.Next, errors.Wrap(err, "append")
}
