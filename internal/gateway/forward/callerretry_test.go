package forward

import (
	"testing"
	"time"
)

// Callers of a route wait for 15 s and are refused. They come back with what is left of
// it, into the same overload, and go before those who have not waited yet.
func TestWhoComesBackGoesFirst(t *testing.T) {
	var u timeoutTracker
	if u.isRetry("review", 15*time.Second) {
		t.Error("the first caller of all counts as one that came back")
	}
	if u.isRetry("review", 14_900*time.Millisecond) {
		t.Error("a caller that was a tenth of a second on its way counts as one that came back")
	}
	if !u.isRetry("review", 12*time.Second) {
		t.Error("a caller that has waited for three seconds counts as a new one")
	}
	if u.isRetry("check", 3*time.Second) {
		t.Error("a route with a shorter time is taken for another one's callers that come back")
	}
	if u.isRetry("review", 0) {
		t.Error("a caller that states no time counts as one that came back")
	}
}
