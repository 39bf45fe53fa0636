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
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// destination is the target of a send, and how to send the request there.
type destination struct {
	target fleet.Target
	work   ledger.Work
	// The following fields are set for prompts only.
	cacheScope     string
	weightsVersion int64
	fetchFrom      netip.AddrPort
	offloadTo      string
	partKeys       []parts.Key
	choice         placement.Choice
	// linkTime is how long the source's link is expected to take for the fetched parts.
	linkTime time.Duration
	// memoryTokens is the number of tokens that the request adds to the engine's memory.
	memoryTokens int
	// expectedFirstEvent is the time to the first event at an engine of usual speed.
	expectedFirstEvent time.Duration
	// quarantineStatus is the request's status when the target was chosen.
	quarantineStatus quarantine.Status
	// probation is what the send is a probation run of; zero if it is none.
	probation quarantine.Fingerprint
	// run is the send in the quarantine, step its [quarantine.Crash.Step].
	run  *quarantine.Run
	step int
	// sentAt is when the send was made, firstEventAt when its first event came. partsSound is set once
	// the parts of the prompt have turned out not to crash the target.
	sentAt, firstEventAt time.Time
	partsSound           bool
	// probed is set if the target was chosen by probes, inProgress if a probed engine is
	// computing parts that the chosen one lacks.
	probed, inProgress bool
	// probeCount is the number of engines probed, probeResponse the response of the chosen one.
	probeCount    int
	probeResponse probe.Response
	// familyFirst is the best ranked engine of the prompt's family, whose sidecar tracks
	// where the family's parts are computed. familyFirstSendID is the ID of the send at
	// that sidecar; zero if the send was not reported to it.
	familyFirst       netip.AddrPort
	familyFirstSendID uint32
	// slowdown is the factor by which the engine is slower than predicted; at least 1 unless the
	// speeds of the service's engines are uneven.
	slowdown float64
	// running is the number of requests that the engine runs with this one.
	running int
	// restTrial is set if the send is the first one after the target's rest.
	restTrial bool
	// admission is the decision of the target's rate limit, if it has one.
	admission ratelimit.Decision
	// sendID identifies the send at the engine's sidecar.
	sendID uint32
	// maxWait is how long to wait for the first byte; zero means until the deadline.
	maxWait time.Duration
}

// sendRecord is what is logged of the last send.
type sendRecord struct {
	incarnation fleet.Incarnation
	// sameAddress is the number of earlier sends of the request to the target's address.
	sameAddress int
	status      int
	// evidence is why the request counts as run or not run.
	evidence evidence
	// conn is the connection, skipped the number of responses on it that belong to other requests.
	conn    upstream.Trace
	skipped int
}

// sendResult is the result of a send.
type sendResult struct {
	// final is set if the request must not be sent again.
	final bool
	// refusal is the error for the caller if there is no further send. It is nil if final
	// is set and the response was relayed.
	refusal *errkind.Error
	// notRun is set if the target certainly did not run the request.
	notRun bool
}

// announcePrefill is the prefill time from which a prompt is announced to the other entries
// at once. An entry that doesn't know of a long prefill could queue a short prompt behind
// it.
const announcePrefill = 60 * time.Millisecond

// abandoned reports whether only the send was cancelled, not the whole request.
func abandoned(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errMaxWait) || errors.Is(cause, errUnresponsive) || errors.Is(cause, errCrashedElsewhere)
}

// errMaxWait is the cause of sends that were cancelled to try another target.
var errMaxWait = errors.New("no response within the maximum wait for one target")

// send makes one send and relays the response.
func (fl *flow) send(ctx context.Context, dst *destination) sendResult {
	fl.sends++
	// delivered and runs are corrected if the request did not reach the target or was not run.
	fl.delivered++
	fl.runs++
	fl.lastSend = sendRecord{incarnation: dst.target.Incarnation}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dst.quarantineStatus, dst.sentAt = fl.quarantineStatus, fl.Now()
	run := fl.startRun(dst, cancel)
	defer fl.endRun(dst, run)
	defer fl.endRestTrial(dst)
	var maxWaitTimer *time.Timer
	if dst.maxWait > 0 {
		maxWaitTimer = time.AfterFunc(dst.maxWait, func() { cancel(errMaxWait) })
		defer maxWaitTimer.Stop()
	}
	defer fl.waitingRoom.wake(fl.service.Name)
	fl.turnover.AddTokens(dst.memoryTokens, fl.Now())
	item := fl.Ledger.Begin(dst.target.ID, dst.work, dst.choice.Wait+dst.choice.Fetch, fl.Now())
	defer item.End()
	fl.recordPlaced()
	fl.notifySent(dst)
	defer fl.notifyEnded(dst)
	link := fl.beginFetch(dst)
	defer link.End()
	if fl.recordParts(dst, false) || dst.choice.Prefill > announcePrefill {
		fl.AnnounceWork(dst.target.ID)
	}
	sentAt := fl.Now()
	fl.sentAt = time.Now()
	fl.lastSend.sameAddress = fl.sentTo[dst.target.Address]
	fl.sentTo[dst.target.Address]++
	fl.logSend(dst)
	fl.countSend(dst)
	watch := fl.watchEngine(ctx, dst, cancel)
	defer watch.stop()
	resp, err := fl.Pool.Send(ctx, dst.target.Address, fl.upstreamRequest(dst))
	if err != nil {
		fl.lastSend.evidence = evidenceOfError(err)
		fl.logFailedSend(dst, 0, 0, err)
		return fl.handleFailedSend(ctx, dst, err)
	}
	defer resp.Close()
	reply := fl.Protocol.ReadReply(resp.Status, resp.Header)
	defer fl.logAbandoned(ctx, dst, resp)
	fl.lastSend.evidence = evidenceOfReply(dst, resp.Status, &reply)
	fl.logFailedSend(dst, resp.Status, reply.Pushback.RetryAfter, nil)
	if fl.service.Engine != nil {
		fl.Reach.EngineResponded(fl.Now())
	}
	fl.lastSend.status = resp.Status
	fl.recordPushback(dst, &reply, sentAt)
	if reply.IdleTimeout > 0 {
		fl.Pool.SetIdleLimit(dst.target.Address, reply.IdleTimeout)
	}
	if fl.lastSend.evidence.notRun() {
		return fl.handleNotRun(dst, resp, reply)
	}
	if result, ok := fl.checkResponse(ctx, dst, resp, reply); !ok {
		return result
	}
	fl.dropBody(resp)
	if fl.route.Kind == estate.Stream && resp.Status < http.StatusMultipleChoices {
		return fl.relayStream(ctx, dst, resp, item, maxWaitTimer, watch, run)
	}
	return fl.relayWhole(ctx, dst, resp)
}

// beginFetch adds the fetch to the work of the source's link, so that other prompts take
// its queue into account.
func (fl *flow) beginFetch(dst *destination) *ledger.Request {
	return fl.Ledger.Begin(linkID(dst.fetchFrom), ledger.Work{Prefill: ledger.AtPriority(0, dst.linkTime)}, fl.linkQueue(dst.fetchFrom), fl.Now())
}

// recordParts records that the engine, and the store that it offloads to, has the prompt's
// parts or is computing them. It reports whether to announce this to the other entries.
func (fl *flow) recordParts(dst *destination, done bool) bool {
	updated := fl.Parts.Record(dst.target.ID, dst.partKeys, done, fl.Now())
	if dst.offloadTo != "" {
		updated = fl.Parts.Record(storeID(dst.offloadTo), dst.partKeys, done, fl.Now()) || updated
	}
	return updated
}

func (fl *flow) upstreamRequest(dst *destination) *upstream.Request {
	send := wire.Attempt{
		TimeLeft: fl.timeLeft(), Instance: dst.target.Instance, Priority: -1,
		CacheScope: dst.cacheScope, Weights: dst.weightsVersion, OffloadTo: dst.offloadTo,
	}
	if fl.route.Resumable {
		send.LastEventID = fl.lastEvent
	}
	if fl.workspace != nil {
		send.Workspace = fl.workspace.Name
	}
	if dst.fetchFrom.IsValid() {
		send.FetchFrom = dst.fetchFrom.String()
	}
	if fl.service.Engine != nil {
		send.Priority = dst.choice.Priority
	}
	return &upstream.Request{
		Method: fl.r.Method, RequestURI: fl.r.RequestURI, Host: fl.r.Host,
		Header: fl.Protocol.WriteAttempt(fl.r.Header, send), Body: fl.body, Attempt: fl.request.ID, FreshConn: !fl.route.Retryable(),
		Matches: func(status int, h http.Header) bool { return fl.isOwnResponse(dst, status, h) },
		Trace:   &fl.lastSend.conn,
	}
}

// isOwnResponse reports whether a response belongs to the request. Targets repeat the ID of the request
// that they answer. One without an ID belongs to no request, whatever it states: targets may send further
// bytes after a complete response, which arrive where the next one is expected. Only a request that has
// no ID itself takes it, on a connection that has carried no other. They may also send a response twice: the
// connection has therefore carried no earlier send of the same ID.
func (fl *flow) isOwnResponse(dst *destination, status int, h http.Header) bool {
	reply := fl.Protocol.ReadReply(status, h)
	if reply.ID != fl.request.ID {
		fl.recordSkipped(dst, status, &reply)
		return false
	}
	return true
}

const (
	// onTimePriorities is the number of priorities for requests that can be served in
	// time; as many follow for late ones.
	onTimePriorities = ledger.Priorities / 2
	// workspaceStep is the weight of a workspace's priority relative to a route's.
	workspaceStep = 2
)

// priority returns the request's rank at an engine, 0 first. Requests that can be in time
// precede late ones; within both, the workspace's priority decides before the route's.
//
// When prompts exceed the engines' prefill capacity, this keeps short prompts of a high-priority
// route from queuing behind long prompts of another one.
//
// A stream that goes on is first: its caller has paid for its first part, and few targets may have
// the version that began it.
func (fl *flow) priority(late bool) int {
	if fl.origin.bound {
		return 0
	}
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

// handleFailedSend handles a send that got no response.
func (fl *flow) handleFailedSend(ctx context.Context, dst *destination, err error) sendResult {
	if !errors.Is(err, upstream.ErrNotSent) {
		fl.watchAbandoned(ctx, dst)
	}
	if ctx.Err() != nil && !abandoned(ctx) {
		return sendResult{final: true, refusal: fl.contextRefusal(ctx)}
	}
	fl.excluded[dst.target.Incarnation] = true
	if errors.Is(err, upstream.ErrNotSent) {
		fl.runs--
		fl.delivered--
		fl.refundAdmission(dst)
		if fl.service.Engine != nil {
			fl.Reach.ConnectFailed(fl.Now())
		}
		fl.recordOutcome(dst, health.Unreachable)
		return sendResult{notRun: true, refusal: errkind.NewRetryAfter(errkind.NoTarget, fl.jitter(busyRetryAfter), "%v", err)}
	}
	fl.recordBroken(ctx, dst, err)
	return sendResult{refusal: errkind.New(errkind.TargetFailed, "%v", err)}
}

// recordBroken records the outcome of a send with no response or a truncated one. A send
// that was cancelled because of another target's crash says nothing about its target, and
// neither does a response that the target broke off because the caller did not read it.
func (fl *flow) recordBroken(ctx context.Context, dst *destination, err error) {
	if fl.callerStalled() {
		fl.auditOr(fl.Logger).Info("caller_stalled", "request_id", fl.request.ID, "target", dst.target.Incarnation, "error", err.Error())
		return
	}
	if errors.Is(context.Cause(ctx), errCrashedElsewhere) {
		s := fl.suspectedCrash(dst)
		fl.CrashDetector.AddCancelled(s)
		fl.Quarantine.SuspectCrash(s.Fingerprint, s.Caller, s.Unconfirmed())
		return
	}
	fl.recordOutcome(dst, health.Broken)
	fl.attributeCrash(ctx, dst, err)
}

// handleNotRun handles a target's statement that it did not run the request.
func (fl *flow) handleNotRun(dst *destination, resp *upstream.Response, reply wire.Reply) sendResult {
	fl.runs--
	fl.excluded[dst.target.Incarnation] = true
	drain(resp)
	refusal := errkind.NewRetryAfter(errkind.Overloaded, fl.jitter(busyRetryAfter), "the target refused with status %d", resp.Status)
	if resp.Status == http.StatusMisdirectedRequest {
		refusal = errkind.NewRetryAfter(errkind.NoTarget, fl.jitter(busyRetryAfter), "the target at this address is now %q or has other weights", reply.Instance)
	}
	if resp.Status == http.StatusBadRequest {
		return sendResult{final: true, refusal: errkind.New(errkind.BadRequest, "the target refused the request as malformed")}
	}
	return sendResult{notRun: true, refusal: refusal}
}

// maxDrain limits how much of a discarded response is read to keep its connection.
const maxDrain = 16 << 10

func drain(resp *upstream.Response) { _, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrain)) }

// checkResponse reports whether a response may be relayed to the caller, and returns the
// result of the send if not.
func (fl *flow) checkResponse(ctx context.Context, dst *destination, resp *upstream.Response, reply wire.Reply) (sendResult, bool) {
	success := resp.Status < http.StatusMultipleChoices
	if reply.Encoded || success && (!reply.Sealed || reply.ID != fl.request.ID) {
		fl.recordOutcome(dst, health.Broken)
		fl.excluded[dst.target.Incarnation] = true
		return sendResult{refusal: errkind.New(errkind.TargetFailed, "the target's response is not sealed or is encoded")}, false
	}
	if impliesNotRun(resp.Status) {
		fl.recordOutcome(dst, health.Failed)
		fl.excluded[dst.target.Incarnation] = true
		drain(resp)
		return sendResult{refusal: errkind.New(errkind.TargetFailed, "the target answered with status %d and does not state that it did not run the request", resp.Status)}, false
	}
	if resp.Status >= http.StatusInternalServerError {
		fl.recordOutcome(dst, health.Failed)
		if fl.route.Retryable() && fl.runs < fl.route.MaxAttempts && !fl.responseStarted && ctx.Err() == nil {
			fl.excluded[dst.target.Incarnation] = true
			drain(resp)
			return sendResult{refusal: errkind.New(errkind.TargetFailed, "the target answered with status %d", resp.Status)}, false
		}
	}
	if fl.responseStarted && !success {
		fl.excluded[dst.target.Incarnation] = true
		return sendResult{refusal: errkind.New(errkind.StreamBroken, "resuming the stream failed with status %d", resp.Status)}, false
	}
	return sendResult{}, true
}
