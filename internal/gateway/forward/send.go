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
	scope     string
	weights   int64
	fetchFrom netip.AddrPort
	saveTo    string
	keys      []parts.Key
	choice    placement.Choice
	// carry is how long the link of the source probably carries what is fetched.
	carry time.Duration
	// intake is how many tokens the engine's memory takes in.
	intake int
	// expected is the time to the first event at an engine of ordinary pace.
	expected time.Duration
	// standing is what was held against the request when the target was chosen, and trial
	// is set when the send is the only one of it that may run.
	standing quarantine.Status
	trial    bool
	// probed is set when sidecars were asked, coming when an engine among theirs reads
	// what the prompt lacks.
	probed, coming bool
	// asked is how many sidecars were, word what the chosen engine's answered.
	asked int
	word  probe.Response
	// first is the family's first engine, whose sidecar knows where its parts are read;
	// firstNumber is the send's number there, zero when it was not told.
	first       netip.AddrPort
	firstNumber uint32
	// slower is by how much the engine is slower than expected; at least 1.
	slower float64
	// number is the send's, among those that the engine's sidecar was told of.
	number uint32
	// patience is how long the first byte is awaited; zero until the deadline.
	patience time.Duration
}

// sendRecord is what the log tells of the last send.
type sendRecord struct {
	life   fleet.Incarnation
	status int
}

// verdict is what became of a send.
type verdict struct {
	// end is set when no further send may follow.
	end bool
	// refusal is what the caller would be told; nil with end means that it has
	// the answer.
	refusal *errkind.Error
	// notRun is set when the target certainly did not run the request.
	notRun bool
}

// tellFrom is the reading from which other entries are told at once of a prompt.
// Engines read prompts one after the other: a small one that is sent behind a
// long one, of which its entry has not heard yet, waits for all of it.
const tellFrom = 60 * time.Millisecond

// gaveUp reports whether the send was given up, and not the request.
func gaveUp(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errImpatient) || errors.Is(cause, errDark) || errors.Is(cause, errApart)
}

// errImpatient is the cause of sends that were given up for another target.
var errImpatient = errors.New("no answer in the time set for one target")

// send makes one send and passes on what comes.
func (fl *flow) send(ctx context.Context, to *destination) verdict {
	fl.sends++
	// The following are taken back when they turn out not to be so.
	fl.arrivals++
	fl.runs++
	fl.last = sendRecord{life: to.target.Incarnation}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	to.standing = fl.standing
	run := fl.startRun(to, cancel)
	defer fl.endRun(to, run)
	var patience *time.Timer
	if to.patience > 0 {
		patience = time.AfterFunc(to.patience, func() { cancel(errImpatient) })
		defer patience.Stop()
	}
	fl.turnover.AddTokens(to.intake, fl.Now())
	item := fl.Ledger.Begin(to.target.ID, to.work, to.choice.Wait+to.choice.Fetch, fl.Now())
	defer item.End()
	fl.tellSent(to)
	defer fl.tellEnded(to)
	link := fl.beginFetch(to)
	defer link.End()
	if fl.noteParts(to, false) || to.choice.Prefill > tellFrom {
		fl.AnnounceWork(to.target.ID)
	}
	fl.sentAt = time.Now()
	fl.logSend(to)
	fl.count(to)
	watch := fl.watchDark(ctx, to, cancel)
	defer watch.stop()
	resp, err := fl.Pool.Send(ctx, to.target.Address, fl.upstreamRequest(to))
	fl.logAnswer(to, resp, err)
	if err != nil {
		return fl.failedSend(ctx, to, err)
	}
	defer resp.Close()
	if fl.service.Engine != nil {
		fl.Reach.EngineResponded(fl.Now())
	}
	fl.last.status = resp.Status
	reply := fl.Protocol.ReadReply(resp.Status, resp.Header)
	if reply.IdleTimeout > 0 {
		fl.Pool.SetIdleLimit(to.target.Address, reply.IdleTimeout)
	}
	if reply.NotRun {
		return fl.notRunBy(to, resp, reply)
	}
	if v, ok := fl.unusable(ctx, to, resp, reply); !ok {
		return v
	}
	if fl.route.Kind == estate.Stream && resp.Status < http.StatusMultipleChoices {
		return fl.relayStream(ctx, to, resp, item, patience, watch, run)
	}
	return fl.relayWhole(ctx, to, resp)
}

// beginFetch counts what the send fetches against its source's link, so that others do
// not all wait for the same one.
func (fl *flow) beginFetch(to *destination) *ledger.Request {
	return fl.Ledger.Begin(linkID(to.fetchFrom), ledger.Work{Prefill: ledger.AtPriority(0, to.carry)}, fl.linkQueue(to.fetchFrom), fl.Now())
}

// noteParts notes that the engine, and the store that it saves to, read the
// prompt's parts or have read them.
// It reports whether the other entries should hear of it.
func (fl *flow) noteParts(to *destination, done bool) bool {
	news := fl.Parts.Record(to.target.ID, to.keys, done, fl.Now())
	if to.saveTo != "" {
		news = fl.Parts.Record(storeID(to.saveTo), to.keys, done, fl.Now()) || news
	}
	return news
}

func (fl *flow) upstreamRequest(to *destination) *upstream.Request {
	send := wire.Attempt{
		TimeLeft: fl.timeLeft(), Instance: to.target.Instance, Priority: -1,
		CacheScope: to.scope, Weights: to.weights, OffloadTo: to.saveTo,
	}
	if fl.route.Resumable {
		send.LastEventID = fl.lastEvent
	}
	if fl.workspace != nil {
		send.Workspace = fl.workspace.Name
	}
	if to.fetchFrom.IsValid() {
		send.FetchFrom = to.fetchFrom.String()
	}
	if fl.service.Engine != nil {
		send.Priority = to.choice.Priority
	}
	return &upstream.Request{
		Method: fl.r.Method, RequestURI: fl.r.RequestURI, Host: fl.r.Host,
		Header: fl.Protocol.WriteSend(fl.r.Header, send), Body: fl.body, FreshConn: !fl.route.Retryable(),
		Matches: func(status int, h http.Header) bool {
			id := fl.Protocol.ReadReply(status, h).ID
			return id == fl.request.ID || id == "" && status >= http.StatusMultipleChoices
		},
	}
}

const (
	// ranks is how many ranks requests that can be in time have; as many follow for
	// those that cannot.
	ranks = ledger.Priorities / 2
	// routeStep is by how much a workspace's priority outweighs a route's.
	routeStep = 2
)

// urgency ranks the request at an engine: those that can be in time come first, among
// them the workspace's priority decides, and within one workspace the route's.
//
// The load pattern that it answers: more prompts come than the engines can read, short
// ones of an urgent route and long ones of another. Ranked alike, or last once they are
// late, the short ones wait for all long ones until their callers leave.
func (fl *flow) urgency(late bool) int {
	rank := max(fl.route.Priority, 0)
	if fl.workspace != nil && fl.workspace.HasPriority {
		rank = routeStep*max(fl.workspace.Priority, 0) + min(rank, routeStep-1)
	}
	rank = min(rank, ranks-1)
	if late {
		return ranks + rank
	}
	return rank
}

// failedSend judges a send that brought no answer.
func (fl *flow) failedSend(ctx context.Context, to *destination, err error) verdict {
	if ctx.Err() != nil && !gaveUp(ctx) {
		return verdict{end: true, refusal: fl.ended(ctx)}
	}
	fl.excluded[to.target.Incarnation] = true
	if errors.Is(err, upstream.ErrNotSent) {
		fl.runs--
		fl.arrivals--
		if fl.service.Engine != nil {
			fl.Reach.ConnectFailed(fl.Now())
		}
		fl.judge(to, health.Unreachable)
		return verdict{notRun: true, refusal: errkind.After(errkind.NoTarget, fl.comeBack(retryPause), "%v", err)}
	}
	fl.judgeBroken(ctx, to, err)
	return verdict{refusal: errkind.New(errkind.TargetFailed, "%v", err)}
}

// judgeBroken takes in that a send brought no answer, or half of one. A send that was
// given up for the sake of another target says nothing of its own.
func (fl *flow) judgeBroken(ctx context.Context, to *destination, err error) {
	if errors.Is(context.Cause(ctx), errApart) {
		fl.CrashDetector.AddCancelled(fl.doubt(to))
		return
	}
	fl.judge(to, health.Broken)
	fl.blame(ctx, to, err)
}

// notRunBy judges a target's word that it did not run the request.
func (fl *flow) notRunBy(to *destination, resp *upstream.Response, reply wire.Reply) verdict {
	fl.runs--
	fl.excluded[to.target.Incarnation] = true
	drain(resp)
	refusal := errkind.After(errkind.Overloaded, fl.comeBack(retryPause), "the target refused with status %d", resp.Status)
	if resp.Status == http.StatusMisdirectedRequest {
		refusal = errkind.After(errkind.NoTarget, fl.comeBack(retryPause), "the target at this address is now %q or has other weights", reply.Instance)
	}
	if resp.Status == http.StatusBadRequest {
		return verdict{end: true, refusal: errkind.New(errkind.BadRequest, "the target refused the request as malformed")}
	}
	return verdict{notRun: true, refusal: refusal}
}

// maxDrain bounds what is read of an answer that nobody wants, to keep its
// connection.
const maxDrain = 16 << 10

func drain(resp *upstream.Response) { _, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrain)) }

// unusable sorts out answers that must not reach the caller as they are.
func (fl *flow) unusable(ctx context.Context, to *destination, resp *upstream.Response, reply wire.Reply) (verdict, bool) {
	success := resp.Status < http.StatusMultipleChoices
	if reply.Encoded || success && (!reply.Sealed || reply.ID != fl.request.ID) {
		fl.judge(to, health.Broken)
		fl.excluded[to.target.Incarnation] = true
		return verdict{refusal: errkind.New(errkind.TargetFailed, "the target's answer is not sealed or encoded")}, false
	}
	if resp.Status >= http.StatusInternalServerError {
		fl.judge(to, health.Failed)
		if fl.route.Retryable() && fl.runs < fl.route.MaxAttempts && !fl.begun && ctx.Err() == nil {
			fl.excluded[to.target.Incarnation] = true
			drain(resp)
			return verdict{refusal: errkind.New(errkind.TargetFailed, "the target answered with status %d", resp.Status)}, false
		}
	}
	if fl.begun && !success {
		fl.excluded[to.target.Incarnation] = true
		return verdict{refusal: errkind.New(errkind.StreamBroken, "continuing gave status %d", resp.Status)}, false
	}
	return verdict{}, true
}
