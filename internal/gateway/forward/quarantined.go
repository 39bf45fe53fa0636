package forward

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
)

const (
	// aloneWait is how long a request waits for its turn to run alone, or until it is settled
	// what ended its targets, and aloneShare the most of its time left: a run that ends its
	// engine takes a few hundred milliseconds, and a caller who is refused needs the rest to
	// come back.
	aloneWait  = time.Second
	aloneShare = 0.5
	// longestHold bounds the time to come back that callers of a refused request are told:
	// an operator may let it go before it would be forgotten.
	longestHold = time.Hour
)

// errApart is the cause of sends that were given up because another target has ended under
// the same request.
var errApart = errors.New("another target has ended under the same request")

// mayRun looks up what is held against the request, and refuses one that has ended enough
// targets. It is refused at once: it waits for no place, and takes nothing of the retry
// budget.
func (fl *flow) mayRun() *errkind.Error {
	fl.standing = fl.Quarantine.Status(fl.print, fl.Now())
	if fl.standing.Verdict != quarantine.Refused {
		return nil
	}
	hold := min(fl.standing.Until.Sub(fl.Now()), longestHold)
	return errkind.After(errkind.Quarantined, fl.comeBack(hold), "%d targets ended under request %s; it is held until %s", fl.standing.Crashes, fl.print, hold.Round(time.Second))
}

// apartKey ranks the targets for a request that is kept apart; zero for all others.
func (fl *flow) apartKey() uint64 {
	if fl.standing.Verdict == quarantine.Free {
		return 0
	}
	return uint64(fl.print)
}

// mustAvoid reports whether another suspect runs at a target to which this one may not go
// at the same time: if the target ended, neither could be told from the other.
func (fl *flow) mustAvoid(t *fleet.Target) bool {
	return fl.standing.Verdict == quarantine.Alone && fl.Quarantine.RunsOtherSuspect(t.ID, fl.print, fl.Now())
}

// chooseForStanding chooses a target by what is held against the request now, and begins
// the trial of one that may only run alone.
func (fl *flow) chooseForStanding(ctx context.Context) (*destination, *errkind.Error) {
	if refusal := fl.mayRun(); refusal != nil {
		return nil, refusal
	}
	if fl.standing.Verdict == quarantine.Held {
		return nil, errkind.After(errkind.NoTarget, fl.comeBack(retryPause), "%d targets ended under the request: it is held for a moment", fl.standing.Crashes)
	}
	to, refusal := fl.choose(ctx)
	if refusal != nil || fl.standing.Verdict != quarantine.Alone {
		return to, refusal
	}
	if !fl.Quarantine.StartProbationRun(fl.print, to.target.ID, fl.Now()) {
		return nil, errkind.After(errkind.NoTarget, fl.comeBack(retryPause), "%d targets ended under the request, and another try of it runs", fl.standing.Crashes)
	}
	to.trial = true
	return to, nil
}

// startRun notes the send, so that it can be given up when another target ends under the
// same request. One that runs at most once is kept: it may have begun.
func (fl *flow) startRun(to *destination, cancel context.CancelCauseFunc) *quarantine.Run {
	var giveUp func()
	if fl.route.Retryable() {
		giveUp = func() { cancel(errApart) }
	}
	return fl.Quarantine.StartRun(fl.print, to.target.ID, giveUp)
}

// endRun notes that the send has ended.
func (fl *flow) endRun(to *destination, run *quarantine.Run) {
	fl.Quarantine.EndRun(run)
	fl.endTrial(to)
}

func (fl *flow) endTrial(to *destination) {
	if to.trial {
		fl.Quarantine.EndProbationRun(fl.print, to.target.ID)
	}
}

// served notes that a target answered the request whole, and lives. It is counted for
// requests that may run anywhere, too: one that is asked for all the time would otherwise
// be refused after its third crash within the hour, whatever it was served between.
func (fl *flow) served() { fl.Quarantine.MarkServed(fl.print) }

// brokeOff reports whether an error is how the end of a target's process shows: its host
// closes or resets the connection. A host that is dark or cut off answers nothing at all.
func brokeOff(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// doubt is that the target has ended under the request now.
func (fl *flow) doubt(to *destination) quarantine.SuspectedCrash {
	return quarantine.SuspectedCrash{
		Fingerprint: fl.print, Caller: quarantine.Caller{Workspace: fl.workspaceName(), Route: fl.routeName()},
		Target: to.target, Unlisted: !quarantine.IsListed(fl.view, &to.target), Step: to.standing.Step, At: fl.Now(), Elapsed: time.Since(fl.sentAt), RequestID: fl.request.ID,
	}
}

// blame holds it against the request if its target has ended and did not only break the
// connection off. It is called before the next send is placed, which goes by it.
func (fl *flow) blame(ctx context.Context, to *destination, err error) {
	if ctx.Err() != nil || !brokeOff(err) {
		return
	}
	v, ok := fl.View()
	if !ok {
		return
	}
	d := fl.doubt(to)
	evidence := fl.CrashDetector.Detect(ctx, v, d)
	fl.Logger.Info("target_broke_off", "request_id", fl.request.ID, "print", fl.print, "target", to.target.Incarnation, "evidence", string(evidence),
		"list_age", fl.since(v.TargetsCurrentAt), "step", d.Step, "ran", tenth(time.Since(fl.sentAt)))
	if evidence != quarantine.NoEvidence {
		fl.Quarantine.AttributeCrash(d.Fingerprint, d.Caller, quarantine.Crash{Target: d.Target.ID, Step: d.Step, At: d.At, Elapsed: d.Elapsed})
	}
}

// Settle looks again at requests whose targets may have ended, by the newest view, and at
// those that are held.
func (f *Forwarder) RecheckCrashes() {
	defer func() { f.Quarantine.Reevaluate(f.Now()) }()
	v, ok := f.View()
	if !ok {
		return
	}
	doubts, evidence := f.CrashDetector.Resolve(v, f.Now())
	for i, d := range doubts {
		f.Logger.Info("target_had_ended", "request_id", d.RequestID, "print", d.Fingerprint, "target", d.Target.Incarnation, "evidence", string(evidence[i]), "after", f.Now().Sub(d.At).Round(time.Millisecond))
		f.Quarantine.AttributeCrash(d.Fingerprint, d.Caller, quarantine.Crash{Target: d.Target.ID, Step: d.Step, At: d.At, Elapsed: d.Elapsed})
	}
}
