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
	// waitTime is how long a question waits at the cache for changes. The platform
	// takes nothing for one that may wait 200 ms or longer.
	waitTime = 600 * time.Millisecond
	// callTimeout bounds a question with its wait; a connection that has gone silent
	// holds up the news for that long.
	callTimeout = 1500 * time.Millisecond
	// GatherTime is the least time between two questions where all entries are told of
	// what changes: what does meanwhile is told together. A cache under load changes some
	// 150 times a second, mostly the same few parts.
	BroadcastPollInterval = 40 * time.Millisecond
	// GatherTimeAsked is the same where only the sidecar itself needs to know, which has
	// heard of each send before the cache can: it halves what following costs.
	LocalPollInterval = 120 * time.Millisecond
	// failurePause is the wait after a question that failed. A cache answers so many
	// at once, and refuses others.
	failurePause = 500 * time.Millisecond
	// listPause is the least time between two lists of one cache: each holds up an
	// engine's work, and words are lost one in a hundred. The first is made at once where
	// it is needed: caches keep half a minute of changes, and who has just begun to follow
	// lacks the parts that are used most.
	listPause = 10 * time.Second
)

// Follower keeps a Cache true to its feed until it is stopped.
type Follower struct {
	// Name of the cache, for the log.
	Name     string
	Contents *Contents
	feed     Feed
	loop     *control.Loop
	logger   logr.Logger
	// changed is called on the control thread after changes were taken in.
	changed func()
	cancel  context.CancelFunc
	failing bool
	// gather returns the least time between two questions.
	gather func() time.Duration
	// doubtful is set when what is known of the cache is to be replaced by a list.
	doubtful atomic.Bool
}

// Follow begins to follow a feed. gather returns the least time between two questions;
// changed is called on the control thread.
func Follow(name string, loop *control.Loop, feed Feed, cache *Contents, gather func() time.Duration, changed func(), logger logr.Logger) *Follower {
	f := &Follower{Name: name, Contents: cache, feed: feed, loop: loop, logger: logger, changed: changed, gather: gather}
	loop.Go(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		loop.Post(func() { f.cancel = cancel })
		f.run(ctx)
	})
	return f
}

// Stop ends following. It runs on the control thread.
func (f *Follower) Stop() {
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *Follower) run(ctx context.Context) {
	next, epoch := uint64(0), ""
	var listedAt time.Time
	for ctx.Err() == nil {
		list := f.doubtful.Load() && time.Since(listedAt) > listPause
		page, err := f.ask(ctx, next, list)
		pause := f.gather()
		switch {
		case err != nil:
			pause = failurePause
		case !list && epoch != "" && page.Epoch != epoch:
			next, epoch = 0, page.Epoch // the new life counts its changes anew
		default:
			next, epoch = page.Next, page.Epoch
		}
		if list {
			listedAt = time.Now()
		}
		f.loop.Post(func() { f.take(page, list, err) })
		sleep.For(ctx, pause)
	}
}

func (f *Follower) ask(ctx context.Context, next uint64, list bool) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if list {
		return f.feed.List(ctx)
	}
	return f.feed.Changes(ctx, next, waitTime)
}

// take runs on the control thread.
func (f *Follower) take(page Page, list bool, err error) {
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
		f.doubtful.Store(false)
		f.logger.Info("cache_listed", "cache", f.Name, "held", f.Contents.Len(), "before", before, "next", page.Next)
	} else {
		f.apply(page)
	}
	f.changed()
}

func (f *Follower) apply(page Page) {
	anew := f.Contents.Apply(page)
	if anew || page.Gap {
		f.logger.Info("cache_feed_broken", "cache", f.Name, "epoch", page.Epoch, "anew", anew, "gap", page.Gap, "next", page.Next, "held", f.Contents.Len())
	}
	if page.Gap && !anew || f.Contents.OverCapacity() {
		f.doubtful.Store(true)
	}
}
