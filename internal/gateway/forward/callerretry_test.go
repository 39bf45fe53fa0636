package forward

import (
	"testing"
	"time"
)

// Requests with less than their route's usual timeout must count as retries, and others
// must not.
func TestRetriesAreDetected(t *testing.T) {
	var u timeoutTracker
	if u.isRetry("review", 15*time.Second) {
		t.Error("the first request counts as a retry")
	}
	if u.isRetry("review", 14_900*time.Millisecond) {
		t.Error("a request delayed by 100 ms counts as a retry")
	}
	if !u.isRetry("review", 12*time.Second) {
		t.Error("a request with 3 s less than usual does not count as a retry")
	}
	if u.isRetry("check", 3*time.Second) {
		t.Error("timeouts of different routes are compared")
	}
	if u.isRetry("review", 0) {
		t.Error("a request without a timeout counts as a retry")
	}
}
