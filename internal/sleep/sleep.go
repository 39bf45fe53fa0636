// Package sleep provides a sleep that ends early when a context is done.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if the context ended first.
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
