package responses

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrBrokenHead is returned if the head of a response is none that a server may send.
var ErrBrokenHead = errors.New("the head of the response is broken")

// maxShown is the number of bytes of a status or a name in an error.
const maxShown = 64

// Check returns ErrBrokenHead if the head of a response is broken although net/http accepts it.
func Check(r *http.Response) error {
	// net/http takes any three characters that are a number of zero or more. Connections are never switched to another
	// protocol. Statuses above 599 are passed on: clients may take them for 5xx (RFC 9110, section 15).
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrBrokenHead, "status %q", shortened(r.Status))
	}
	// net/http accepts blanks in names. The length or the coding of the body may be behind such a name.
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrBrokenHead, "field name %q", shortened(name))
		}
	}
	return nil
}

func shortened(text string) string { return text[:min(len(text), maxShown)] }

// Checked returns a transport that fails if Check does. Its connections are not used for further requests then.
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
		t.CloseIdleConnections() // a connection is idle already if its response has no body
		return nil, err
	}
	return resp, nil
}
