package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/events"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
)

// maxBuffered is the largest response that is buffered until it is complete, memory permitting. If a
// buffered response is truncated, the request can still be retried or refused; larger responses are
// streamed.
const maxBuffered = 1 << 20

// relayWhole relays a response after it has been received completely.
func (fl *flow) relayWhole(ctx context.Context, dst *destination, resp *upstream.Response) sendResult {
	memory := fl.Buffers.NewShare()
	defer memory.Release()
	pieces, complete, err := readBuffered(resp, memory)
	if err != nil {
		return fl.handleBroken(ctx, dst, err)
	}
	if resp.Status < http.StatusInternalServerError {
		fl.recordOutcome(dst, health.Good)
		fl.recordServed(dst)
	}
	fl.timeToFirstByte = time.Since(fl.arrived)
	header := fl.w.Header()
	fl.Protocol.WriteReply(header, resp.Header)
	suppressDefaultHeaders(header)
	fl.setConnectionClose(header)
	if complete {
		header.Set("Content-Length", strconv.Itoa(totalLength(pieces)))
	}
	fl.responseStarted = true
	fl.w.WriteHeader(resp.Status)
	for _, piece := range pieces {
		if _, err := fl.w.Write(piece); err != nil {
			return sendResult{final: true, refusal: errkind.New(errkind.Cancelled, "%v", err)}
		}
	}
	if complete {
		return sendResult{final: true}
	}
	pieces = nil
	memory.Release()
	if _, err := io.Copy(callerWriter{fl}, resp); err != nil {
		if !fl.callerStalled() {
			fl.attributeCrash(ctx, dst, err)
		}
		return sendResult{final: true, refusal: errkind.New(errkind.StreamBroken, "%v", err)}
	}
	return sendResult{final: true}
}

// readBuffered reads a response in pieces until it is complete, or up to maxBuffered or what the memory
// allows.
func readBuffered(resp io.Reader, memory *buffers.Share) (pieces [][]byte, complete bool, err error) {
	for size := 0; size < maxBuffered && memory.Grow(size+buffers.Step); {
		piece, err := readPiece(resp)
		pieces = append(pieces, piece)
		size += len(piece)
		if err == io.EOF {
			return pieces, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return pieces, false, nil
}

// minPiece is the size of the buffer for a small response.
const minPiece = 1 << 10

// readPiece reads buffers.Step bytes, or up to an error. It takes no more memory than that: bytes.Buffer would take
// up to twice as much.
func readPiece(in io.Reader) ([]byte, error) {
	piece := make([]byte, 0, minPiece)
	for len(piece) < buffers.Step {
		if len(piece) == cap(piece) {
			piece = append(make([]byte, 0, min(2*cap(piece), buffers.Step)), piece...)
		}
		n, err := in.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

func totalLength(pieces [][]byte) int {
	n := 0
	for _, piece := range pieces {
		n += len(piece)
	}
	return n
}

// suppressDefaultHeaders keeps net/http from adding headers that the target did not send.
func suppressDefaultHeaders(header http.Header) {
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// handleBroken handles a response that was truncated.
func (fl *flow) handleBroken(ctx context.Context, dst *destination, err error) sendResult {
	fl.watchAbandoned(ctx, dst)
	if ctx.Err() != nil && !abandoned(ctx) {
		return sendResult{final: true, refusal: fl.contextRefusal(ctx)}
	}
	fl.excluded[dst.target.Incarnation] = true
	fl.recordBroken(ctx, dst, err)
	kind := errkind.TargetFailed
	if fl.responseStarted {
		kind = errkind.StreamBroken
	}
	return sendResult{refusal: errkind.New(kind, "the response was truncated: %v", err)}
}

// relayStream relays a stream event by event. The response head is delayed until the first
// event, so that the request can be retried if the target fails before it.
func (fl *flow) relayStream(ctx context.Context, dst *destination, resp *upstream.Response, item *ledger.Request, maxWaitTimer *time.Timer, watch *engineWatch, run *quarantine.Run) sendResult {
	memory := fl.Buffers.NewShare()
	defer memory.Release()
	reader := events.NewReader(resp, memory)
	flusher := http.NewResponseController(fl.w)
	first := true
	for {
		event, err := reader.Next()
		if err == io.EOF {
			return fl.finishStream(dst)
		}
		if err != nil {
			return fl.handleBroken(ctx, dst, err)
		}
		if first {
			first = false
			dst.firstEventAt = time.Now()
			fl.Quarantine.MarkResponding(run)
			item.PrefillDone()
			fl.waitingRoom.wake(fl.service.Name)
			fl.notifyPrefilled(dst)
			if fl.recordParts(dst, true) {
				fl.AnnounceWork(dst.target.ID)
			}
			if maxWaitTimer != nil {
				maxWaitTimer.Stop()
			}
			fl.recordOrigin(dst)
			fl.writeHead(dst, resp)
		}
		if event.HasID {
			fl.lastEvent = strconv.FormatInt(event.ID, 10)
		}
		fl.recordEvent()
		if len(fl.parts) > 0 && !dst.partsSound && fl.lastEventAt.Sub(dst.firstEventAt) > partsSoundAfter {
			fl.recordPartsSound(dst)
		}
		watch.received()
		if err := fl.writeEvent(flusher, event.Raw); err != nil {
			return sendResult{final: true, refusal: errkind.New(errkind.Cancelled, "%v", err)}
		}
	}
}

// recordEvent counts an event and updates the longest gap between events.
func (fl *flow) recordEvent() {
	now := time.Now()
	if fl.eventCount > 0 {
		fl.longestGap = max(fl.longestGap, now.Sub(fl.lastEventAt))
	}
	fl.eventCount++
	fl.lastEventAt = now
}

func (fl *flow) writeEvent(flusher *http.ResponseController, raw []byte) error {
	caller := callerWriter{fl}
	if _, err := caller.Write(raw); err != nil {
		return err
	}
	return caller.flush(flusher)
}

// writeHead writes the response head, unless the stream is being resumed.
func (fl *flow) writeHead(dst *destination, resp *upstream.Response) {
	if fl.responseStarted {
		fl.Metrics.Resume()
		return
	}
	fl.responseStarted = true
	fl.timeToFirstByte = time.Since(fl.arrived)
	fl.learnPrefillTime(dst)
	header := fl.w.Header()
	fl.Protocol.WriteReply(header, resp.Header)
	suppressDefaultHeaders(header)
	fl.setConnectionClose(header)
	fl.w.WriteHeader(resp.Status)
}

// maxUnqueuedWait is the longest expected wait with which a prompt counts as not queued
// behind others.
const maxUnqueuedWait = 3 * time.Millisecond

// learnPrefillTime updates the pace of the engine and, if the prompt was not queued, the
// model of prefill times.
func (fl *flow) learnPrefillTime(dst *destination) {
	if dst.choice.PrefillTokens > 0 {
		fl.paces.Record(dst.target.Incarnation, time.Since(fl.sentAt), dst.expectedFirstEvent, fl.Now())
		fl.recordSpeed(dst)
	}
	if dst.choice.Wait > maxUnqueuedWait || dst.choice.PrefillTokens == 0 {
		return
	}
	fl.prefillTime.Record(dst.choice.PrefillTokens, time.Since(fl.sentAt)-dst.choice.Fetch)
}

// finishStream handles the regular end of a stream.
func (fl *flow) finishStream(dst *destination) sendResult {
	if !fl.responseStarted {
		fl.excluded[dst.target.Incarnation] = true
		return sendResult{refusal: errkind.New(errkind.TargetFailed, "the stream ended without an event")}
	}
	fl.recordOutcome(dst, health.Good)
	fl.recordServed(dst)
	fl.learnStepTime(dst)
	return sendResult{final: true}
}
