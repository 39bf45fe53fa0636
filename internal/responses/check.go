package responses

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrBrokenHead is returned if the head of a response is none that a server may send.
var ErrBrokenHead = errors.New("the head of the response is broken")

// Check returns ErrBrokenHead if the head of a response is broken although net/http accepts it.
func Check(r *http.Response) error {
	// net/http takes any three characters that are a number of zero or more. Connections are never switched to another
	// protocol. Statuses above 599 are passed on: clients may take them for 5xx (RFC 9110, section 15).
	const maxShown = 3
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrBrokenHead, "status %q", r.Status[:min(len(r.Status), maxShown)])
	}
	return nil
}

// Checked returns a transport that fails if Check does.
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
		return nil, err
	}
	return resp, nil
}
