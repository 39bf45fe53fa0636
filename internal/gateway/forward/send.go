package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// destination is where one send goes, and with what.
type destination struct {
	target fleet.Target
	work   ledger.Work
	// The following are set for prompts.
	cacheScope     string
	weightsVersion int64
	fetchFrom      netip.AddrPort
	offloadTo      string
	partKeys       []parts.Key
	choice         placement.Choice
	// carry is how long the link of the source probably carries what is fetched.
	linkTime time.Duration
	// intake is how many tokens the engine's memory takes in.
	memoryTokens int
	// expected is the time to the first event at an engine of ordinary pace.
	expectedFirstEvent time.Duration
	// standing is what was held against the request when the target was chosen, and trial
	// is set when the send is the only one of it that may run.
	quarantineStatus quarantine.Standing
	probation        bool
	// probed is set when sidecars were asked, coming when an engine among theirs reads
	// what the prompt lacks.
	probed, inProgress bool
	// asked is how many sidecars were, word what the chosen engine's answered.
	probeCount  int
	probeAnswer probe.Answer
	// first is the family's first engine, whose sidecar knows where its parts are read;
	// firstNumber is the send's number there, zero when it was not told.
	familyFirst       netip.AddrPort
	familyFirstSendID uint32
	// slower is by how much the engine is slower than expected; at least 1.
	slowdown float64
	// number is the send's, among those that the engine's sidecar was told of.
	sendID uint32
	// patience is how long the first byte is awaited; zero until the deadline.
	maxWait time.Duration
}

// sendRecord is what the log tells of the last send.
type sendRecord struct {
	incarnation fleet.Life
	status      int
}

// verdict is what became of a send.
type sendResult struct {
	// end is set when no further send may follow.
	final bool
	// refusal is what the caller would be told; nil with end means that it has
	// the answer.
	refusal *errkind.Error
	// notRun is set when the target certainly did not run the request.
	notRun bool
}

// tellFrom is the reading from which other entries are told at once of a prompt.
// Engines read prompts one after the other: a small one that is sent behind a
// long one, of which its entry has not heard yet, waits for all of it.
const announcePrefill = 60 * time.Millisecond

// gaveUp reports whether the send was given up, and not the request.
func abandoned(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errMaxWait) || errors.Is(cause, errUnresponsive) || errors.Is(cause, errCrashedElsewhere)
}

// errImpatient is the cause of sends that were given up for another target.
var errMaxWait = errors.New("no answer in the time set for one target")

// send makes one send and passes on what comes.
func (fl *flow) send(ctx context.Context, dst *destination) sendResult {
	fl.sends++
	// The following are taken back when they turn out not to be so.
	fl.delivered++
	fl.runs++
	fl.lastSend = sendRecord{incarnation: dst.target.Life}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dst.quarantineStatus = fl.quarantineStatus
	run := fl.startRun(dst, cancel)
	defer fl.endRun(dst, run)
	var maxWaitTimer *time.Timer
	if dst.maxWait > 0 {
		maxWaitTimer = time.AfterFunc(dst.maxWait, func() { cancel(errMaxWait) })
		defer maxWaitTimer.Stop()
	}
	fl.turnover.Intake(dst.memoryTokens, fl.Now())
	item := fl.Ledger.Begin(dst.target.ID, dst.work, dst.choice.Wait+dst.choice.Fetch, fl.Now())
	defer item.End()
	fl.notifySent(dst)
	defer fl.notifyEnded(dst)
	link := fl.beginFetch(dst)
	defer link.End()
	if fl.recordParts(dst, false) || dst.choice.Read > announcePrefill {
		fl.AnnounceWork(dst.target.ID)
	}
	fl.sentAt = time.Now()
	fl.logSend(dst)
	fl.countSend(dst)
	watch := fl.watchEngine(ctx, dst, cancel)
	defer watch.stop()
	resp, err := fl.Pool.Send(ctx, dst.target.Address, fl.upstreamRequest(dst))
	fl.logFailedSend(dst, resp, err)
	if err != nil {
		return fl.handleFailedSend(ctx, dst, err)
	}
	defer resp.Close()
	if fl.service.Engine != nil {
		fl.Reach.Answered(fl.Now())
	}
	fl.lastSend.status = resp.Status
	reply := fl.Protocol.ReadReply(resp.Status, resp.Header)
	if reply.IdleTimeout > 0 {
		fl.Pool.LimitIdle(dst.target.Address, reply.IdleTimeout)
	}
	if reply.NotRun {
		return fl.handleNotRun(dst, resp, reply)
	}
	if result, ok := fl.checkResponse(ctx, dst, resp, reply); !ok {
		return result
	}
	if fl.route.Kind == estate.Stream && resp.Status < http.StatusMultipleChoices {
		return fl.relayStream(ctx, dst, resp, item, maxWaitTimer, watch, run)
	}
	return fl.relayWhole(ctx, dst, resp)
}

// beginFetch counts what the send fetches against its source's link, so that others do
// not all wait for the same one.
func (fl *flow) beginFetch(dst *destination) *ledger.Item {
	return fl.Ledger.Begin(linkID(dst.fetchFrom), ledger.Work{Reading: ledger.Lane(0, dst.linkTime)}, fl.linkQueue(dst.fetchFrom), fl.Now())
}

// noteParts notes that the engine, and the store that it saves to, read the
// prompt's parts or have read them.
// It reports whether the other entries should hear of it.
func (fl *flow) recordParts(dst *destination, done bool) bool {
	updated := fl.Parts.Note(dst.target.ID, dst.partKeys, done, fl.Now())
	if dst.offloadTo != "" {
		updated = fl.Parts.Note(storeID(dst.offloadTo), dst.partKeys, done, fl.Now()) || updated
	}
	return updated
}

func (fl *flow) upstreamRequest(dst *destination) *upstream.Request {
	send := wire.Send{
		TimeLeft: fl.timeLeft(), Instance: dst.target.Instance, Urgency: -1,
		CacheScope: dst.cacheScope, Weights: dst.weightsVersion, SaveTo: dst.offloadTo,
	}
	if fl.route.Resumable {
		send.LastEvent = fl.lastEvent
	}
	if fl.workspace != nil {
		send.Workspace = fl.workspace.Name
	}
	if dst.fetchFrom.IsValid() {
		send.FetchFrom = dst.fetchFrom.String()
	}
	if fl.service.Engine != nil {
		send.Urgency = dst.choice.Urgency
	}
	return &upstream.Request{
		Method: fl.r.Method, Target: fl.r.RequestURI, Host: fl.r.Host,
		Header: fl.Protocol.WriteSend(fl.r.Header, send), Body: fl.body, Fresh: !fl.route.Repeatable(),
		Mine: func(status int, h http.Header) bool {
			id := fl.Protocol.ReadReply(status, h).ID
			return id == fl.request.ID || id == "" && status >= http.StatusMultipleChoices
		},
	}
}

const (
	// ranks is how many ranks requests that can be in time have; as many follow for
	// those that cannot.
	onTimePriorities = ledger.Urgencies / 2
	// routeStep is by how much a workspace's priority outweighs a route's.
	workspaceStep = 2
)

// urgency ranks the request at an engine: those that can be in time come first, among
// them the workspace's priority decides, and within one workspace the route's.
//
// The load pattern that it answers: more prompts come than the engines can read, short
// ones of an urgent route and long ones of another. Ranked alike, or last once they are
// late, the short ones wait for all long ones until their callers leave.
func (fl *flow) priority(late bool) int {
	rank := max(fl.route.Priority, 0)
	if fl.workspace != nil && fl.workspace.HasPriority {
		rank = workspaceStep*max(fl.workspace.Priority, 0) + min(rank, workspaceStep-1)
	}
	rank = min(rank, onTimePriorities-1)
	if late {
		return onTimePriorities + rank
	}
	return rank
}

// failedSend judges a send that brought no answer.
func (fl *flow) handleFailedSend(ctx context.Context, dst *destination, err error) sendResult {
	if ctx.Err() != nil && !abandoned(ctx) {
		return sendResult{final: true, refusal: fl.contextRefusal(ctx)}
	}
	fl.excluded[dst.target.Life] = true
	if errors.Is(err, upstream.ErrNotSent) {
		fl.runs--
		fl.delivered--
		if fl.service.Engine != nil {
			fl.Reach.Failed(fl.Now())
		}
		fl.recordOutcome(dst, health.Unreachable)
		return sendResult{notRun: true, refusal: errkind.After(errkind.NoTarget, fl.jitter(busyRetryAfter), "%v", err)}
	}
	fl.recordBroken(ctx, dst, err)
	return sendResult{refusal: errkind.New(errkind.TargetFailed, "%v", err)}
}

// judgeBroken takes in that a send brought no answer, or half of one. A send that was
// given up for the sake of another target says nothing of its own.
func (fl *flow) recordBroken(ctx context.Context, dst *destination, err error) {
	if errors.Is(context.Cause(ctx), errCrashedElsewhere) {
		fl.CrashDetector.GivenUp(fl.suspectedCrash(dst))
		return
	}
	fl.recordOutcome(dst, health.Broken)
	fl.attributeCrash(ctx, dst, err)
}

// notRunBy judges a target's word that it did not run the request.
func (fl *flow) handleNotRun(dst *destination, resp *upstream.Response, reply wire.Reply) sendResult {
	fl.runs--
	fl.excluded[dst.target.Life] = true
	drain(resp)
	refusal := errkind.After(errkind.Overloaded, fl.jitter(busyRetryAfter), "the target refused with status %d", resp.Status)
	if resp.Status == http.StatusMisdirectedRequest {
		refusal = errkind.After(errkind.NoTarget, fl.jitter(busyRetryAfter), "the target at this address is now %q or has other weights", reply.Instance)
	}
	if resp.Status == http.StatusBadRequest {
		return sendResult{final: true, refusal: errkind.New(errkind.BadRequest, "the target refused the request as malformed")}
	}
	return sendResult{notRun: true, refusal: refusal}
}

// maxDrain bounds what is read of an answer that nobody wants, to keep its
// connection.
const maxDrain = 16 << 10

func drain(resp *upstream.Response) { _, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrain)) }

// unusable sorts out answers that must not reach the caller as they are.
func (fl *flow) checkResponse(ctx context.Context, dst *destination, resp *upstream.Response, reply wire.Reply) (sendResult, bool) {
	success := resp.Status < http.StatusMultipleChoices
	if reply.Encoded || success && (!reply.Sealed || reply.ID != fl.request.ID) {
		fl.recordOutcome(dst, health.Broken)
		fl.excluded[dst.target.Life] = true
		return sendResult{refusal: errkind.New(errkind.TargetFailed, "the target's answer is not sealed or encoded")}, false
	}
	if resp.Status >= http.StatusInternalServerError {
		fl.recordOutcome(dst, health.Failed)
		if fl.route.Repeatable() && fl.runs < fl.route.MaxAttempts && !fl.responseStarted && ctx.Err() == nil {
			fl.excluded[dst.target.Life] = true
			drain(resp)
			return sendResult{refusal: errkind.New(errkind.TargetFailed, "the target answered with status %d", resp.Status)}, false
		}
	}
	if fl.responseStarted && !success {
		fl.excluded[dst.target.Life] = true
		return sendResult{refusal: errkind.New(errkind.StreamBroken, "continuing gave status %d", resp.Status)}, false
	}
	return sendResult{}, true
}
