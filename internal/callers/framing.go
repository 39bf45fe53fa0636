package callers

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
)

const (
	// maxRecordedHead bounds the bytes of a head that are kept. A longer one counts as not recorded.
	maxRecordedHead = 64 << 10
	// freeHead is the part of a head that the memory of its connection includes.
	freeHead = 4 << 10
	// headCopies is how often the rest of a head is held: as recorded, with room to grow, and as parsed.
	headCopies = 4
)

// requestHead keeps what a connection delivers until the request that it begins is served. net/http drops
// the Content-Length of a request that also has a Transfer-Encoding, and serves it by the latter: a caller
// behind a proxy that goes by the former could hide a request in the body of another one. It is safe for
// concurrent use.
type requestHead struct {
	mu sync.Mutex
	// paused is set while a body is read.
	paused bool
	// bytes is nil if the head is too long.
	bytes []byte
	// size is the length of what was delivered.
	size int
}

// record keeps what a connection has delivered, and returns how many more bytes than freeHead it has
// become.
func (h *requestHead) record(p []byte) (more int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused {
		return 0
	}
	before := h.surplus()
	if h.size += len(p); h.size > maxRecordedHead {
		h.bytes = nil
	} else {
		h.bytes = append(h.bytes, p...)
	}
	return h.surplus() - before
}

// surplus is by how much the head is longer than freeHead.
func (h *requestHead) surplus() int { return max(h.size-freeHead, 0) }

// take returns the head of the request that begins to be served; nil if it was not recorded from its start.
// less is by how much what is kept is no longer longer than freeHead.
func (h *requestHead) take(r *http.Request) (head []byte, less int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, recorded := h.surplus(), h.bytes
	end := headEnd(recorded)
	h.paused = r.ContentLength != 0
	if h.bytes, h.size = nil, 0; !h.paused {
		h.bytes = bytes.Clone(recorded[end:])
		h.size = len(h.bytes)
	}
	less = before - h.surplus()
	if !bytes.HasPrefix(recorded, []byte(r.Method+" "+r.RequestURI+" ")) {
		return nil, less
	}
	return recorded[:end], less
}

// stop ends the recording for good. less is as of take.
func (h *requestHead) stop() (less int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	less = h.surplus()
	h.paused, h.bytes, h.size = true, nil, 0
	return less
}

// resume begins to record the next head, after the body of a request has been read.
func (h *requestHead) resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused, h.bytes, h.size = false, nil, 0
}

// headEnd returns the length of the head that b begins with, its empty line included; zero if it does
// not end in b.
func headEnd(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		line := b[at : at+i]
		at += i + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return at
		}
	}
}

// hasHeader reports whether a head has a header of that name.
func hasHeader(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if field, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}

// framing is what a request says about the length of its body.
type framing uint8

const (
	// clearFraming requests state it in one way.
	clearFraming framing = iota
	// ambiguousFraming requests state it in two ways.
	ambiguousFraming
	// unknownFraming requests have a transfer coding, and their heads were not recorded.
	unknownFraming
)

// framingOf returns the framing of a request with a recorded head; nil if there is none.
func framingOf(r *http.Request, head []byte) framing {
	mayBeAmbiguous := len(r.TransferEncoding) > 0 || r.ContentLength != 0 && !r.ProtoAtLeast(1, 1)
	switch {
	case !mayBeAmbiguous:
		return clearFraming
	case head == nil:
		return unknownFraming
	case hasHeader(head, "Content-Length") && hasHeader(head, "Transfer-Encoding"):
		return ambiguousFraming
	default:
		return clearFraming
	}
}

// checkFraming refuses a request that states the length of its body in two ways. It returns the request to
// be served, and whether it may be. The connection of one that may do so is closed after the response, so that
// what follows is not served as a request. Requests of HTTP/2 have one length, which its frames state.
func (c *Conn) checkFraming(w http.ResponseWriter, r *http.Request) (*http.Request, bool) {
	if r.ProtoMajor > 1 {
		if c.head != nil {
			c.discharge(headCopies * c.head.stop())
		}
		return r, true
	}
	var recorded []byte
	if c.head != nil {
		var less int
		recorded, less = c.head.take(r)
		c.discharge(headCopies * less)
	}
	switch framingOf(r, recorded) {
	case ambiguousFraming:
		w.Header().Set("Connection", "close")
		http.Error(w, "the request has a Content-Length and a Transfer-Encoding", http.StatusBadRequest)
		return nil, false
	case unknownFraming:
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 || c.head == nil {
		return r, true
	}
	// The server looks at the body of its own request to tell whether the connection can be used again.
	checked := r.WithContext(r.Context())
	checked.Body = &body{r.Body, c.head}
	return checked, true
}

// body is the body of a request on a connection whose heads are recorded.
type body struct {
	io.ReadCloser
	head *requestHead
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.head.resume()
	}
	return n, err
}
