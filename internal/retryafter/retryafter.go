// Package retryafter decodes the Retry-After header of responses (RFC 9110, section 10.2.3).
package retryafter

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/decimal"
)

// Max bounds the time for which a target may ask for no requests. Only a request shows whether a target
// that has asked for days is still in need.
const Max = 10 * time.Minute

const header = "Retry-After"

// Decode returns the time for which a response asks its caller to wait, given as seconds or as a date;
// zero if it does not. With an error the value can't be used, or was bounded to Max.
func Decode(h http.Header) (time.Duration, error) {
	values := h[header]
	switch {
	case len(values) == 0:
		return 0, nil
	case len(values) > 1:
		return 0, errors.Newf("%s is present %d times", header, len(values))
	}
	n, err := decimal.Parse(values[0])
	if err != nil {
		return decodeDate(values[0], h.Get("Date"))
	}
	return bound(n)
}

// decodeDate returns the time until a date, by the clock that wrote the response's own date.
func decodeDate(value, responseDate string) (time.Duration, error) {
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, errors.Newf("%s is %.40q; want seconds or a date", header, value)
	}
	from, err := http.ParseTime(responseDate)
	if err != nil {
		from = time.Now()
	}
	if !until.After(from) {
		return 0, errors.Newf("%s is %.40q, which is past", header, value)
	}
	return bound(until.Sub(from).Seconds())
}

func bound(n float64) (time.Duration, error) {
	if n > Max.Seconds() {
		return Max, errors.Newf("%s is %.0f s; at most %v are observed", header, n, Max)
	}
	return time.Duration(n * float64(time.Second)), nil
}

// Applies reports whether a status means that the target has turned the request away, so that the
// header states for how long it wants no others.
func Applies(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
