package pushback

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Guards against a departure that a later response of the same incarnation takes back, and against
// a log line for each response that states it.
func TestLeavingIsFinal(t *testing.T) {
	r := newResponses()
	for ms := 100; ms < 200; ms += 10 {
		r.at(ms, ms-5, wire.Pushback{Leaving: true, OmitsRateLimit: true})
	}
	r.at(300, 250, wire.Pushback{OmitsRateLimit: true})
	if now := start.Add(300 * time.Millisecond); !r.Leaving(now)[1] {
		t.Error("the target no longer leaves")
	}
	if got, want := fmt.Sprint(r.events), "[t leaves by 100]"; got != want {
		t.Errorf("reported %s, want %s", got, want)
	}
	if now := start.Add(2 * leavingTTL); r.Leaving(now) != nil {
		t.Error("the departure is remembered for ever")
	}
}
