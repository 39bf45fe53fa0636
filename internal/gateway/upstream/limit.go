package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLong is returned if the body of a response exceeds its bound.
var ErrBodyTooLong = errors.New("body of the response is too long")

// LimitBodies returns a transport whose responses have bodies of at most limit bytes. Clients that discard
// the rest of a body would read one without end until their deadline.
func LimitBodies(next http.RoundTripper, limit int64) http.RoundTripper {
	return &limitedTransport{next: next, limit: limit}
}

type limitedTransport struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: t.limit}
	return resp, nil
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrBodyTooLong
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
