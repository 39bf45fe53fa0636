// Package sleep waits in a way that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether it did so in full; false means that the
// context ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
