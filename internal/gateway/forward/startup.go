package forward

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// startupPhase is how long after its start an entry expects its first configuration at any
	// moment. Later it refuses requests at once, as it does not know when the store or a peer will
	// answer.
	startupPhase = 3 * time.Second
	// maxConfigurationWait is how long a request waits at most for the first configuration. The
	// store or a live peer answers within some ten milliseconds, and a refused caller comes back
	// after noEstateRetryAfter at the earliest.
	maxConfigurationWait = 250 * time.Millisecond
)

// configuredView returns a view with a configuration. While the entry starts, it waits for one: a
// refused caller would come back much later than the configuration arrives.
func (fl *flow) configuredView(ctx context.Context) (*view.View, *errkind.Error) {
	limit := maxConfigurationWait
	if fl.request.TimeLeft > 0 {
		limit = min(limit, time.Duration(placeWaitShare*float64(fl.request.TimeLeft)))
	}
	for {
		if v, ok := fl.View(); ok && v.Estate != nil {
			return v, nil
		}
		if refusal := fl.checkExit(); refusal != nil {
			return nil, refusal
		}
		if time.Since(fl.startedAt) > startupPhase || time.Since(fl.arrived) > limit {
			return nil, errkind.NewRetryAfter(errkind.ConfigurationMissing, noEstateRetryAfter, "")
		}
		if !sleep.For(ctx, placeInterval) {
			return nil, callerLeft()
		}
	}
}
