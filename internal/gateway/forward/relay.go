package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/events"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
)

// maxHeld is the largest answer that is held until it is whole. A cut one can
// then be asked for elsewhere, or refused; a larger one is passed on as it
// comes.
const maxHeld = 1 << 20

// relayWhole passes an answer on once it is there to its end.
func (fl *flow) relayWhole(ctx context.Context, to *destination, resp *upstream.Response) verdict {
	body, err := io.ReadAll(io.LimitReader(resp, maxHeld+1))
	if err != nil {
		return fl.cut(ctx, to, err)
	}
	if resp.Status < http.StatusInternalServerError {
		fl.judge(to, health.Good)
		fl.served()
	}
	fl.firstAt = time.Since(fl.arrived)
	header := fl.w.Header()
	fl.Protocol.WriteReply(header, resp.Header)
	noDefaults(header)
	fl.sendElsewhere(header)
	if len(body) <= maxHeld {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	fl.begun = true
	fl.w.WriteHeader(resp.Status)
	if _, err := fl.w.Write(body); err != nil {
		return verdict{end: true, refusal: errkind.New(errkind.Cancelled, "%v", err)}
	}
	if len(body) <= maxHeld {
		return verdict{end: true}
	}
	if _, err := io.Copy(fl.w, resp); err != nil {
		fl.blame(ctx, to, err)
		return verdict{end: true, refusal: errkind.New(errkind.StreamBroken, "%v", err)}
	}
	return verdict{end: true}
}

// noDefaults keeps the server from adding headers that the target did not send.
func noDefaults(header http.Header) {
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// cut judges an answer that broke off.
func (fl *flow) cut(ctx context.Context, to *destination, err error) verdict {
	if ctx.Err() != nil && !gaveUp(ctx) {
		return verdict{end: true, refusal: fl.ended(ctx)}
	}
	fl.excluded[to.target.Incarnation] = true
	fl.judgeBroken(ctx, to, err)
	kind := errkind.TargetFailed
	if fl.begun {
		kind = errkind.StreamBroken
	}
	return verdict{refusal: errkind.New(kind, "the answer broke off: %v", err)}
}

// relayStream passes a stream on event by event. The head is held until the
// first event, so that a target that fails before it costs the caller nothing.
func (fl *flow) relayStream(ctx context.Context, to *destination, resp *upstream.Response, item *ledger.Request, patience *time.Timer, watch *darkWatch, run *quarantine.Run) verdict {
	reader := events.NewReader(resp)
	flusher := http.NewResponseController(fl.w)
	first := true
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return fl.streamEnded(to)
		}
		if err != nil {
			return fl.cut(ctx, to, err)
		}
		if first {
			first = false
			fl.Quarantine.MarkResponding(run)
			item.PrefillDone()
			fl.tellRead(to)
			if fl.noteParts(to, true) {
				fl.AnnounceWork(to.target.ID)
			}
			if patience != nil {
				patience.Stop()
			}
			fl.firstEvent(to, resp)
		}
		if event.HasID {
			fl.lastEvent = strconv.FormatInt(event.ID, 10)
		}
		fl.noteEvent()
		watch.heard()
		if err := fl.pass(flusher, event.Raw); err != nil {
			return verdict{end: true, refusal: errkind.New(errkind.Cancelled, "%v", err)}
		}
	}
}

// noteEvent keeps the longest pause between two events.
func (fl *flow) noteEvent() {
	now := time.Now()
	if fl.events > 0 {
		fl.longestGap = max(fl.longestGap, now.Sub(fl.lastAt))
	}
	fl.events++
	fl.lastAt = now
}

func (fl *flow) pass(flusher *http.ResponseController, raw []byte) error {
	if _, err := fl.w.Write(raw); err != nil {
		return err
	}
	return flusher.Flush()
}

// firstEvent writes the head of the answer, unless an earlier target's stands.
func (fl *flow) firstEvent(to *destination, resp *upstream.Response) {
	if fl.begun {
		fl.Metrics.Resume()
		return
	}
	fl.begun = true
	fl.firstAt = time.Since(fl.arrived)
	fl.learnReadTime(to)
	header := fl.w.Header()
	fl.Protocol.WriteReply(header, resp.Header)
	noDefaults(header)
	fl.sendElsewhere(header)
	fl.w.WriteHeader(resp.Status)
}

// unhindered is the expected wait up to which a prompt counts as having met no
// others at its engine.
const unhindered = 3 * time.Millisecond

// learnReadTime takes in how long an engine took to read a prompt.
func (fl *flow) learnReadTime(to *destination) {
	if to.choice.PrefillTokens > 0 {
		fl.paces.Record(to.target.Incarnation, time.Since(fl.sentAt), to.expected, fl.Now())
	}
	if to.choice.Wait > unhindered || to.choice.PrefillTokens == 0 {
		return
	}
	fl.readTime.Record(to.choice.PrefillTokens, time.Since(fl.sentAt)-to.choice.Fetch)
}

// streamEnded judges a stream that came to its end.
func (fl *flow) streamEnded(to *destination) verdict {
	if !fl.begun {
		fl.excluded[to.target.Incarnation] = true
		return verdict{refusal: errkind.New(errkind.TargetFailed, "the stream ended without an event")}
	}
	fl.judge(to, health.Good)
	fl.served()
	return verdict{end: true}
}
