package pushback

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

var start = time.Unix(1000, 0)

// recorder lists what it is notified of.
type recorder struct{ events []string }

func (r *recorder) RateLimitChanged(c RateLimitChange) {
	r.events = append(r.events, fmt.Sprintf("%s %g to %g by %s", c.Incarnation, c.Before, c.Now, c.Origin.RequestID+c.Origin.Peer))
}

func (r *recorder) LeavingStated(_ fleet.ID, target fleet.Incarnation, origin Origin) {
	r.events = append(r.events, fmt.Sprintf("%s leaves by %s", target, origin.RequestID+origin.Peer))
}

func (r *recorder) RestStated(target fleet.Incarnation, rest time.Duration, requestID string) {
	r.events = append(r.events, fmt.Sprintf("%s rests for %v by %s", target, rest, requestID))
}

func (r *recorder) RestEnded(target fleet.Incarnation, requestID string) {
	r.events = append(r.events, fmt.Sprintf("%s rested by %s", target, requestID))
}

func (r *recorder) InvalidStatement(target fleet.Incarnation, requestID string, err error) {
	r.events = append(r.events, fmt.Sprintf("%s refused %s by %s", target, err, requestID))
}

// responses records responses of one target.
type responses struct {
	*Registry
	*recorder
}

func newResponses() *responses {
	rec := &recorder{}
	return &responses{NewRegistry(rec), rec}
}

// at records a response that arrives ms after the start, to a request sent at sentMs.
func (r *responses) at(ms, sentMs int, p wire.Pushback) {
	incarnation := fleet.Incarnation{Instance: "t"}
	r.Record(Response{Target: 1, Incarnation: incarnation, Pushback: p, RequestID: fmt.Sprint(ms), SentAt: start.Add(time.Duration(sentMs) * time.Millisecond)},
		start.Add(time.Duration(ms)*time.Millisecond))
}

func limited(r *responses, now time.Time) int { return len(r.RateLimits(now)) }

func limit(perSecond float64) wire.Pushback {
	return wire.Pushback{RateLimit: perSecond, HasRateLimit: true}
}

// Guards against a limit that ends with a response that is older than its statement, and against
// one that never ends.
func TestRateLimitEndsWithNewerResponse(t *testing.T) {
	r := newResponses()
	r.at(100, 50, wire.Pushback{OmitsRateLimit: true})
	r.at(200, 150, limit(2))
	r.at(300, 180, wire.Pushback{OmitsRateLimit: true}) // sent before the limit was known
	if n := limited(r, start.Add(300*time.Millisecond)); n != 1 {
		t.Errorf("%d targets limited after a late response", n)
	}
	r.at(400, 250, wire.Pushback{OmitsRateLimit: true})
	if n := limited(r, start.Add(400*time.Millisecond)); n != 0 {
		t.Errorf("%d targets limited after a response without a limit", n)
	}
	want := "[t -1 to 2 by 200 t 2 to -1 by 400]"
	if got := fmt.Sprint(r.events); got != want {
		t.Errorf("reported %s, want %s", got, want)
	}
}

// Guards against log lines for each response of a target whose limit changes all the time.
func TestChangesOfALimitAreReportedOnceASecond(t *testing.T) {
	r := newResponses()
	for ms := range 3000 {
		r.at(ms, ms, limit(float64(ms)))
	}
	if n := len(r.events); n > 4 {
		t.Errorf("%d changes reported within 3 s", n)
	}
	r = newResponses()
	for ms := range 3000 {
		r.at(ms, ms, wire.Pushback{Invalid: errors.New("x")})
	}
	if n := len(r.events); n > 4 {
		t.Errorf("%d invalid statements reported within 3 s", n)
	}
}

// Guards against an invalid value that ends or replaces a valid statement.
func TestInvalidStatementChangesNothing(t *testing.T) {
	r := newResponses()
	r.at(100, 50, limit(2))
	r.at(200, 150, wire.Pushback{Invalid: errors.New("x")})
	if n := limited(r, start.Add(200*time.Millisecond)); n != 1 {
		t.Errorf("%d targets limited", n)
	}
}

// Guards against memory that grows with the number of targets that ever stated something.
func TestRecordsOfStatementsAreBounded(t *testing.T) {
	r := newResponses()
	for i := range 3 * maxTargets {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Record(Response{Target: fleet.ID(i), Pushback: limit(2), SentAt: now}, now)
	}
	if n := len(r.targets); n > maxTargets {
		t.Errorf("%d records", n)
	}
	if n := limited(r, start.Add(3*maxTargets*100*time.Millisecond)); n == 0 {
		t.Error("the newest statements were dropped")
	}
}
