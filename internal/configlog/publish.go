package configlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// ErrConflict is returned if another publish was accepted first.
var ErrConflict = errors.New("another version was published first")

// ErrUndecided is returned if the start of the stream has expired and no record
// shows the version in force.
var ErrUndecided = errors.New("the log does not show which version is in force")

const (
	maxAppends       = 5
	appendRetryDelay = 200 * time.Millisecond
)

// ReadAll applies the whole stream to a new state machine.
func ReadAll(ctx context.Context, log external.Log) (*StateMachine, error) {
	m := NewStateMachine()
	return m, CatchUp(ctx, log, m)
}

// CatchUp applies the records up to the end of the stream.
func CatchUp(ctx context.Context, log external.Log, m *StateMachine) error {
	for {
		page, err := log.Read(ctx, Stream, m.NextOffset())
		if err != nil {
			return errors.Wrap(err, "read configuration stream")
		}
		m.Apply(page)
		if m.NextOffset() >= page.Next {
			return nil
		}
	}
}

// Publish appends a text that was edited from base and returns the verdict. If
// the response to an append is lost, Publish looks for its nonce before it
// appends again, so that one call creates at most one version.
func Publish(ctx context.Context, log external.Log, nonce string, base uint64, text string) (Verdict, error) {
	if _, err := config.Parse("configuration", text); err != nil {
		return Verdict{}, err
	}
	data, err := Encode(Record{Type: TypePublish, Nonce: nonce, Base: base, Text: text})
	if err != nil {
		return Verdict{}, err
	}
	var lastErr error
	for attempt := 0; attempt < maxAppends; attempt++ {
		verdict, found, err := appendOnce(ctx, log, nonce, data)
		if found {
			return verdict, verdictError(verdict, base)
		}
		lastErr = err
		if errors.Is(err, ErrUndecided) {
			return Verdict{}, err
		}
		if !sleep.For(ctx, appendRetryDelay) {
			return Verdict{}, ctx.Err()
		}
	}
	return Verdict{}, errors.Wrap(lastErr, "publish: no response; the text may be in the log, check with 'toucanwell show'")
}

// appendOnce appends the record unless its nonce is in the stream, and returns
// the verdict.
func appendOnce(ctx context.Context, log external.Log, nonce string, data []byte) (Verdict, bool, error) {
	m, err := ReadAll(ctx, log)
	if err != nil {
		return Verdict{}, false, err
	}
	if m.Undecided() {
		return Verdict{}, false, ErrUndecided
	}
	if v, found := verdictFor(m.TakeVerdicts(), nonce); found {
		return v, true, nil
	}
	_, appendErr := log.Append(ctx, Stream, data)
	if err := CatchUp(ctx, log, m); err != nil {
		return Verdict{}, false, errors.CombineErrors(err, appendErr)
	}
	v, found := verdictFor(m.TakeVerdicts(), nonce)
	if !found && appendErr == nil {
		appendErr = errors.New("the record is not in the stream yet")
	}
	return v, found, appendErr
}

func verdictError(v Verdict, base uint64) error {
	if v.Accepted {
		return nil
	}
	if v.Err != nil {
		return v.Err
	}
	return errors.Wrapf(ErrConflict, "edited from version %d, but version %d is in force; fetch it with 'toucanwell show configuration', apply the change to it and publish with --base %d",
		base, v.InForce, v.InForce)
}

// Recover republishes a text as a new version. It is for the case that no process
// and no record has the version in force. The new version is higher than all
// earlier offsets.
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
