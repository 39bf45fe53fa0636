package holdings

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// longPollWait is how long a poll waits for changes. The platform charges nothing for
	// polls that may wait 200 ms or longer.
	longPollWait = 600 * time.Millisecond
	// callTimeout bounds a poll including its wait. A connection that has become unresponsive
	// delays changes by this time.
	callTimeout = 1500 * time.Millisecond
	// BroadcastPollInterval is the least time between polls when changes are broadcast to all
	// entries, so that several changes share a broadcast. A cache under load changes about
	// 150 times per second, mostly the same few parts.
	BroadcastPollInterval = 40 * time.Millisecond
	// LocalPollInterval is the least time between polls when only the sidecar itself uses the
	// changes. It learns of sends before the cache does, and can poll less often.
	LocalPollInterval = 120 * time.Millisecond
	// retryDelay is the delay after a failed poll. A cache limits the number of concurrent
	// polls and refuses others.
	retryDelay = 500 * time.Millisecond
	// minListInterval is the least time between lists of one cache, because listing interrupts
	// the engine. The first list is made at once: caches keep changes for half a minute, so a
	// new follower lacks the most used parts.
	minListInterval = 10 * time.Second
)

// Follower applies the changes of a feed to Contents until it is stopped.
type Follower struct {
	// Name identifies the cache in logs and broadcasts.
	Name     string
	Contents *Contents
	feed     Feed
	loop     *control.Loop
	logger   logr.Logger
	// onChange is called on the control thread after changes were applied.
	onChange func()
	cancel   context.CancelFunc
	failing  bool
	// pollInterval returns the least time between polls.
	pollInterval func() time.Duration
	// needsList is set if the contents must be replaced by a list.
	needsList atomic.Bool
}

// Follow starts to follow a feed. pollInterval returns the least time between polls; onChange
// is called on the control thread after changes were applied.
func Follow(name string, loop *control.Loop, feed Feed, contents *Contents, pollInterval func() time.Duration, onChange func(), logger logr.Logger) *Follower {
	f := &Follower{Name: name, Contents: contents, feed: feed, loop: loop, logger: logger, onChange: onChange, pollInterval: pollInterval}
	loop.Go(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		loop.Post(func() { f.cancel = cancel })
		f.run(ctx)
	})
	return f
}

// Stop stops the follower. It must be called on the control thread.
func (f *Follower) Stop() {
	if f.cancel != nil {
		f.cancel()
	}
}

// run polls the feed until the context ends.
func (f *Follower) run(ctx context.Context) {
	next, epoch := uint64(0), ""
	var listedAt time.Time
	for ctx.Err() == nil {
		list := f.needsList.Load() && time.Since(listedAt) > minListInterval
		page, err := f.poll(ctx, next, list)
		delay := f.pollInterval()
		switch {
		case err != nil:
			delay = retryDelay
		case !list && epoch != "" && page.Epoch != epoch:
			next, epoch = 0, page.Epoch // positions start again after a restart
		default:
			next, epoch = page.Next, page.Epoch
		}
		if list {
			listedAt = time.Now()
		}
		f.loop.Post(func() { f.apply(page, list, err) })
		sleep.For(ctx, delay)
	}
}

// poll fetches the changes since a position, or a list.
func (f *Follower) poll(ctx context.Context, next uint64, list bool) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if list {
		return f.feed.List(ctx)
	}
	return f.feed.Changes(ctx, next, longPollWait)
}

// apply applies the result of a poll. It runs on the control thread.
func (f *Follower) apply(page Page, list bool, err error) {
	if err != nil {
		if !f.failing {
			f.logger.Info("cache_feed_lost", "cache", f.Name, "list", list, "error", err.Error())
		}
		f.failing = true
		return
	}
	if f.failing {
		f.failing = false
		f.logger.Info("cache_feed_regained", "cache", f.Name, "held", f.Contents.Len())
	}
	if list {
		before := f.Contents.Len()
		f.Contents.Replace(page)
		f.needsList.Store(false)
		f.logger.Info("cache_listed", "cache", f.Name, "held", f.Contents.Len(), "before", before, "next", page.Next)
	} else {
		f.applyChanges(page)
	}
	f.onChange()
}

// applyChanges applies a page of changes, and requests a list if the contents may be wrong.
func (f *Follower) applyChanges(page Page) {
	restarted := f.Contents.Apply(page)
	if restarted || page.Gap {
		f.logger.Info("cache_feed_broken", "cache", f.Name, "epoch", page.Epoch, "anew", restarted, "gap", page.Gap, "next", page.Next, "held", f.Contents.Len())
	}
	if page.Gap && !restarted || f.Contents.OverCapacity() {
		f.needsList.Store(true)
	}
}
