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
	"github.com/toucanwell/toucanwell/internal/responses"
)

const (
	// probationWait is how long a request waits for its probation run, or until it is known
	// whether a crash is attributed to it; probationWaitShare limits the wait to a share of
	// the remaining time, since a refused caller needs the rest to retry. A run that
	// crashes its engine takes a few hundred milliseconds.
	probationWait      = time.Second
	probationWaitShare = 0.5
	// maxHoldRetryAfter limits the retry delay for callers of a quarantined request, which
	// an operator may release earlier.
	maxHoldRetryAfter = time.Hour
)

// errCrashedElsewhere is the cause of sends that were cancelled because another target
// crashed while it ran the same request.
var errCrashedElsewhere = errors.New("another target crashed while it ran the same request")

// checkQuarantine updates the request's quarantine status, and refuses a request that, or a part
// of which, has crashed too many targets. The refusal neither waits for a target nor uses the
// retry budget.
func (fl *flow) checkQuarantine() *errkind.Error {
	fl.quarantineStatus, fl.suspect, fl.suspectPart = fl.Quarantine.Status(fl.fingerprint, fl.Now()), fl.fingerprint, quarantine.Part{}
	if s, part := fl.Quarantine.PartsStatus(fl.parts, fl.workspaceName(), fl.Now()); s.Verdict > fl.quarantineStatus.Verdict {
		fl.quarantineStatus, fl.suspect, fl.suspectPart = s, part.Fingerprint, part
	}
	if fl.quarantineStatus.Verdict != quarantine.Refused {
		return nil
	}
	hold := min(fl.quarantineStatus.Until.Sub(fl.Now()), maxHoldRetryAfter)
	if fl.suspectPart.ID != "" {
		return errkind.NewRetryAfter(errkind.PartQuarantined, fl.jitter(hold), "%d targets crashed while they ran prompts with the part %q (%s); it is quarantined for %s", fl.quarantineStatus.Crashes, bounded(fl.suspectPart.ID), fl.suspect, hold.Round(time.Second))
	}
	return errkind.NewRetryAfter(errkind.Quarantined, fl.jitter(hold), "%d targets crashed while they ran request %s; it is quarantined for %s", fl.quarantineStatus.Crashes, fl.fingerprint, hold.Round(time.Second))
}

// suspectKey returns the key that ranks the targets for a suspect, so that all its runs go
// to the same few targets; zero for other requests.
func (fl *flow) suspectKey() uint64 {
	if fl.quarantineStatus.Verdict == quarantine.Free {
		return 0
	}
	return uint64(fl.suspect)
}

// sharedPartIDs returns the IDs of the prompt's shared parts; none for requests without a prompt.
func (fl *flow) sharedPartIDs() []string {
	if !fl.route.HasPrompts {
		return nil
	}
	var ids []string
	for i := range max(len(fl.request.Parts)-1, 0) {
		ids = append(ids, fl.request.Parts[i].ID)
	}
	return ids
}

// mustAvoid reports whether a target is running another suspect. If it crashed, the crash
// could not be attributed to either of them.
func (fl *flow) mustAvoid(t *fleet.Target) bool {
	return fl.quarantineStatus.Verdict == quarantine.Alone && fl.Quarantine.RunsOtherSuspect(t.ID, fl.suspect, fl.Now())
}

// chooseForStatus chooses a target according to the request's quarantine status. It starts
// the probation run of a request that may run only one at a time.
func (fl *flow) chooseForStatus(ctx context.Context) (*destination, *errkind.Error) {
	if refusal := fl.checkExit(); refusal != nil {
		return nil, refusal
	}
	if refusal := fl.checkQuarantine(); refusal != nil {
		return nil, refusal
	}
	if refusal := fl.checkVersionServes(); refusal != nil {
		return nil, refusal
	}
	if fl.quarantineStatus.Verdict == quarantine.Held {
		return nil, errkind.NewRetryAfter(errkind.NoTarget, fl.jitter(busyRetryAfter), "%d targets crashed while they ran the request, and %d may have; it is on hold until the crashes are attributed", fl.quarantineStatus.Crashes, fl.quarantineStatus.Unconfirmed)
	}
	dst, refusal := fl.choose(ctx)
	if refusal != nil || fl.quarantineStatus.Verdict != quarantine.Alone {
		return dst, refusal
	}
	if !fl.Quarantine.StartProbationRun(fl.suspect, dst.target.ID, fl.Now()) {
		return nil, errkind.NewRetryAfter(errkind.NoTarget, fl.jitter(busyRetryAfter), "%d targets crashed while they ran the request, %d may have, and another run of it is in progress", fl.quarantineStatus.Crashes, fl.quarantineStatus.Unconfirmed)
	}
	dst.probation = fl.suspect
	return dst, nil
}

// startRun registers the send, so that it can be cancelled when another target crashes
// while it runs the same request. A request that may run only once is not cancelled, since
// it may have started.
func (fl *flow) startRun(dst *destination, cancel context.CancelCauseFunc) *quarantine.Run {
	var abandonSend func()
	if fl.route.Retryable() {
		abandonSend = func() { cancel(errCrashedElsewhere) }
	}
	step := dst.quarantineStatus.Step
	if fl.suspectPart.ID != "" {
		step = fl.Quarantine.Status(fl.fingerprint, fl.Now()).Step
	}
	dst.run = fl.Quarantine.StartRun(fl.fingerprint, dst.target.ID, step, abandonSend)
	fl.Quarantine.TrackParts(dst.run, fl.parts, fl.Now())
	dst.step = step
	return dst.run
}

// endRun unregisters the send.
func (fl *flow) endRun(dst *destination, run *quarantine.Run) {
	fl.Quarantine.EndRun(run)
	fl.endProbation(dst)
}

func (fl *flow) endProbation(dst *destination) {
	if dst.probation != 0 {
		fl.Quarantine.EndProbationRun(dst.probation, dst.target.ID)
	}
}

// recordServed records that a target responded to the request completely and survived. It is
// recorded for all requests: one that is always running would otherwise be quarantined
// after its third unrelated crash within the hour.
func (fl *flow) recordServed(dst *destination) {
	fl.Quarantine.MarkServed(fl.fingerprint)
	fl.recordPartsSound(dst)
}

// partsSoundAfter is how long after the first event of its response the parts of a prompt count as
// sound: a part that crashes its target does so within a few hundred milliseconds.
const partsSoundAfter = 500 * time.Millisecond

// recordPartsSound records that the run has outlived the time in which its parts would have crashed
// the target.
func (fl *flow) recordPartsSound(dst *destination) {
	if len(fl.parts) > 0 && !dst.partsSound {
		dst.partsSound = true
		fl.Quarantine.MarkPartsSound(fl.parts, dst.sentAt, fl.Now())
	}
}

// mayHaveCrashed reports whether an error is a connection closed or reset by the target's
// host, as when the target's process ends, or a malformed response that the process may have
// sent before it ended. An unresponsive or unreachable host closes nothing.
func mayHaveCrashed(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, responses.ErrMalformedHead)
}

// suspectedCrash describes a possible crash of the target while it ran the request.
func (fl *flow) suspectedCrash(dst *destination) quarantine.SuspectedCrash {
	parts := quarantine.PartsRun{}
	if !dst.partsSound {
		parts = dst.run.PartsOfRun(fl.parts, fl.workspaceName())
	}
	return quarantine.SuspectedCrash{
		Parts:       parts,
		Fingerprint: fl.fingerprint, Caller: quarantine.Caller{Workspace: fl.workspaceName(), Route: fl.routeName()},
		Target: dst.target, Unlisted: !quarantine.IsListed(fl.view, &dst.target), Step: dst.step, At: fl.Now(), Elapsed: time.Since(fl.sentAt),
		ServiceTargets: len(fl.view.Targets[dst.target.Service]), RequestID: fl.request.ID,
	}
}

// attributeCrash attributes a broken connection to the request if the target has crashed
// and did not just close the connection. It must be called before the next send is placed,
// which depends on the request's status.
func (fl *flow) attributeCrash(ctx context.Context, dst *destination, err error) {
	if ctx.Err() != nil || !mayHaveCrashed(err) {
		return
	}
	v, ok := fl.View()
	if !ok {
		return
	}
	d := fl.suspectedCrash(dst)
	found := fl.CrashDetector.Detect(ctx, v, d)
	listener, probeError := "not probed", ""
	if found.Probed {
		listener = found.Listener.String()
	}
	if found.ProbeError != nil {
		probeError = found.ProbeError.Error()
	}
	fl.Logger.Info("target_broke_off", "request_id", fl.request.ID, "print", fl.fingerprint, "target", dst.target.Incarnation, "version", dst.target.SoftwareVersion, "workspace", fl.workspaceName(), "route", fl.routeName(), "parts", fl.sharedPartNames(), "evidence", string(found.Evidence),
		"listener", listener, "probe_error", probeError, "probe_took", roundForLog(found.ProbeTook), "list_age", fl.age(v.TargetsCurrentAt), "step", d.Step, "ran", roundForLog(time.Since(fl.sentAt)))
	if found.Suspected {
		fl.Quarantine.SuspectCrash(d.Fingerprint, d.Caller, d.Unconfirmed())
	}
	if found.Evidence != quarantine.NoEvidence {
		fl.attribute(&d)
	}
}

// attribute attributes a crash to the request that ran and to the parts of its prompt.
func (f *Forwarder) attribute(s *quarantine.SuspectedCrash) {
	f.Quarantine.AttributeCrash(s.Fingerprint, s.Caller, s.Crash())
	f.Quarantine.AttributePartsCrash(s.Parts, s.Caller.Route, s.Crash())
}

// watchAbandoned records that the request left its target while it ran, because the caller left,
// its time was up, or another target is tried: the target may crash only now.
func (fl *flow) watchAbandoned(ctx context.Context, dst *destination) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errCrashedElsewhere) {
		fl.CrashDetector.AddAbandoned(fl.suspectedCrash(dst))
	}
}

// RecheckCrashes checks suspected crashes against the current view and the results of repeated
// probes, and updates the requests that are on hold. Call it when the view has changed.
func (f *Forwarder) RecheckCrashes() {
	defer func() { f.Quarantine.Reevaluate(f.Now()) }()
	v, ok := f.View()
	if !ok {
		return
	}
	for _, d := range f.CrashDetector.TakeDismissed() {
		f.Quarantine.DismissCrash(d.Fingerprint, d.Target.ID, f.Now())
	}
	doubts, evidence := f.CrashDetector.Resolve(v, f.Now())
	for _, d := range f.CrashDetector.TakeExpired() {
		f.Logger.Info("target_end_unknown", "request_id", d.RequestID, "print", d.Fingerprint, "target", d.Target.Incarnation, "after", f.Now().Sub(d.At).Round(time.Millisecond))
	}
	for i, d := range doubts {
		f.Logger.Info("target_had_ended", "request_id", d.RequestID, "print", d.Fingerprint, "target", d.Target.Incarnation, "evidence", string(evidence[i]), "after", f.Now().Sub(d.At).Round(time.Millisecond))
		f.attribute(&doubts[i])
	}
}
