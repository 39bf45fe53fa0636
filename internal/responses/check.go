package responses

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead is returned for a response whose head a server must not send.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// maxShown is the number of bytes of a status or a name in an error.
const maxShown = 64

// Check returns ErrMalformedHead if the head of a response is malformed in a way that net/http accepts.
func Check(r *http.Response) error {
	// net/http accepts any three characters that are a number of zero or more. No request asks to switch protocols.
	// Statuses above 599 are valid here, since clients may treat them as 5xx (RFC 9110, section 15).
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformedHead, "status %q", shortened(r.Status))
	}
	// net/http accepts spaces in names, and then ignores a Content-Length or Transfer-Encoding.
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedHead, "field name %q", shortened(name))
		}
	}
	return nil
}

func shortened(text string) string { return text[:min(len(text), maxShown)] }

// Checked returns a transport that rejects the responses that Check does. It does not reuse their connections.
func Checked(t *http.Transport) http.RoundTripper { return &checkedTransport{t} }

type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections() // the connection of a response without a body is idle already
		return nil, err
	}
	return resp, nil
}
