package pauser

import (
	"context"
	"time"
)

// Pause returns after the duration, or returns the error of the context as soon as that ends.
func Pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
