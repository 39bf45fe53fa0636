package feed

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// ErrTrimmed says that records from the asked offset on were deleted: only a
// snapshot brings the copy up to date.
var ErrTrimmed = errors.New("records were deleted")

// Source is a topic at the platform's store.
type Source interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context) (Snapshot, error)
	// Read returns the records from an offset on and the topic's end. It waits
	// up to wait for one to come. ErrTrimmed means that some are gone.
	Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error)
}

// Options are a follower's name and pace.
type Options struct {
	// Name of the topic, for logs and metrics.
	Name string
	// Wait is how long one read waits at the store for a record; zero reads
	// what is there.
	Wait time.Duration
	// Pause between two reads.
	Pause time.Duration
	// Reads reports whether this process reads the store now. Others hear from
	// those that do. It is asked on the control thread.
	ShouldRead func(currentAt time.Time) bool
	// Changed is told, on the control thread, of keys that have new records.
	OnChange func(keys []string)
	// Called is told of each call of the store, its duration and its error.
	OnCall func(topic string, took time.Duration, err error)
	// Regained is told, on the control thread, when the store answers again.
	OnRecovered func()
	Logger      logr.Logger
	Now         func() time.Time
}

const (
	// callTimeout is added to a read's wait: a store that is slow answers
	// within it, one that is silent or cut off does not.
	callTimeout = 1500 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed call. It doubles
	// from the first to the last: a store that is back is used at once, one that
	// is down is not pressed by every process.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// idlePause is how soon a process that does not read asks again whether it
	// should.
	idlePause = 100 * time.Millisecond
)

// Follower fills a copy from the store. It is a controller: its copy is
// changed on the control thread alone.
type Follower struct {
	loop    *control.Loop
	source  Source
	copy    *Replica
	options Options
	// snapshot is set when the next call must be for a snapshot.
	snapshot bool
	lost     bool
	// cancel ends the call that is under way.
	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

// NewFollower returns a follower that has not started.
func NewFollower(loop *control.Loop, source Source, c *Replica, options Options) *Follower {
	return &Follower{loop: loop, source: source, copy: c, options: options, snapshot: true}
}

// Copy returns the copy, for use on the control thread.
func (f *Follower) Replica() *Replica { return f.copy }

// Start begins to follow.
func (f *Follower) Start() { f.loop.Go(f.run) }

// request is what the next call asks for.
type request struct {
	reads    bool
	snapshot bool
	from     uint64
}

// run makes one call after another off the control thread, and hands each
// result to it.
func (f *Follower) run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		next, ok := control.Ask(ctx, f.loop, f.next)
		if !ok {
			return
		}
		if !next.reads {
			sleep.For(ctx, idlePause)
			continue
		}
		err := f.call(ctx, next)
		if err == nil || errors.Is(err, ErrTrimmed) {
			retry = firstRetry
			sleep.For(ctx, f.options.Pause)
			continue
		}
		sleep.For(ctx, f.loop.Spread(retry))
		retry = min(2*retry, maxRetry)
	}
}

func (f *Follower) next() request {
	return request{
		reads:    f.options.ShouldRead == nil || f.options.ShouldRead(f.copy.CurrentAt()),
		snapshot: f.snapshot,
		from:     f.copy.End(),
	}
}

// call makes one call of the store and merges what it brings.
func (f *Follower) call(ctx context.Context, r request) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+callTimeout)
	defer cancel()
	f.setCancel(cancel)
	asked := f.options.Now()
	var s Snapshot
	var err error
	if r.snapshot {
		s, err = f.source.Newest(ctx)
	} else {
		s, err = f.source.Read(ctx, r.from, f.options.Wait)
	}
	f.options.OnCall(f.options.Name, f.options.Now().Sub(asked), err)
	merged := make(chan struct{})
	f.loop.Post(func() {
		defer close(merged)
		f.merge(r, s, asked, err)
	})
	select {
	case <-merged:
	case <-ctx.Done():
	}
	return err
}

func (f *Follower) setCancel(cancel context.CancelFunc) {
	f.cancelMu.Lock()
	defer f.cancelMu.Unlock()
	f.cancel = cancel
}

// Again ends the call that is under way, so that a new one begins. The failure
// guarded against is a read that waits on a connection which went silent with
// the store: it would wait on after the store is back.
func (f *Follower) RestartCall() {
	f.cancelMu.Lock()
	defer f.cancelMu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// merge takes in a call's result. What a read that waited brings was complete
// when it was answered; a snapshot may have taken several calls, and is only
// known to be complete as of the first.
func (f *Follower) merge(r request, s Snapshot, asked time.Time, err error) {
	if errors.Is(err, ErrTrimmed) {
		f.options.Logger.Info("feed_trimmed", "topic", f.options.Name, "from", r.from)
		f.snapshot = true
		return
	}
	if err != nil {
		if !f.lost {
			f.lost = true
			f.options.Logger.Info("store_lost", "topic", f.options.Name, "end", f.copy.End(), "error", err.Error())
		}
		return
	}
	if f.lost {
		f.lost = false
		f.options.Logger.Info("store_regained", "topic", f.options.Name, "silent_for", asked.Sub(f.copy.CurrentAt()))
		f.options.OnRecovered()
	}
	var changed []string
	if r.snapshot {
		f.snapshot = false
		changed = f.copy.Replace(s, asked)
	} else {
		changed = f.copy.Merge(s.Records, s.End, f.options.Now())
	}
	if len(changed) > 0 {
		f.options.OnChange(changed)
	}
}

// Adopt takes in a page that a peer sent for the records from an offset on.
// current is when the peer's copy was current. It runs on the control thread and
// reports whether the page was taken.
func (f *Follower) ApplyPage(p Page, from uint64, current time.Time) bool {
	if !p.Full && !f.copy.Contiguous(from) {
		return false
	}
	if f.snapshot && p.End > 0 {
		f.snapshot = false
	}
	if changed := f.copy.Apply(p, current); len(changed) > 0 {
		f.options.OnChange(changed)
	}
	return true
}
