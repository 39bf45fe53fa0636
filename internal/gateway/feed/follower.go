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

// ErrTrimmed is returned by Source.Read if some of the requested records were deleted. The
// replica then needs a snapshot.
var ErrTrimmed = errors.New("records were deleted")

// Source is a topic in the platform's store.
type Source interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context) (Snapshot, error)
	// Read returns the records from an offset on and the topic's end. Without new records it
	// waits up to wait for one. It returns ErrTrimmed if some of the records were deleted.
	Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error)
}

// Options configure a Follower.
type Options struct {
	// Name of the topic, for logs and metrics.
	Name string
	// Wait is how long a read waits at the store for a new record; zero returns at once.
	Wait time.Duration
	// Pause between two reads.
	Pause time.Duration
	// ShouldRead reports whether this process reads the store now; if not, it gets records
	// from peers. It is called on the control thread. Nil means always.
	ShouldRead func(currentAt time.Time) bool
	// IdlePeriod returns the interval at which a process that does not read checks ShouldRead. Nil
	// means defaultIdlePeriod.
	IdlePeriod func() time.Duration
	// OnChange is called on the control thread with the keys that have new records.
	OnChange func(keys []string)
	// OnCall is called after each call to the store.
	OnCall func(topic string, took time.Duration, err error)
	// OnRecovered is called on the control thread when a call succeeds after a failed one.
	OnRecovered func()
	Logger      logr.Logger
	Now         func() time.Time
}

const (
	// callTimeout is the timeout of a call, in addition to a read's wait. A slow store answers
	// within it; one that is silent or partitioned does not.
	callTimeout = 1500 * time.Millisecond
	// firstRetry and maxRetry bound the exponential backoff after failed calls: a store that is
	// back is used soon, and not all processes press one that is down.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// defaultIdlePeriod is the interval at which a process that does not read checks ShouldRead.
	defaultIdlePeriod = 100 * time.Millisecond
)

// Follower keeps a replica up to date from the store. The replica is used on the control
// thread only.
type Follower struct {
	loop    *control.Loop
	source  Source
	replica *Replica
	options Options
	// needSnapshot is set if the next call must read a snapshot.
	needSnapshot bool
	storeDown    bool
	// cancel cancels the current call.
	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

// NewFollower returns a follower that has not started.
func NewFollower(loop *control.Loop, source Source, replica *Replica, options Options) *Follower {
	return &Follower{loop: loop, source: source, replica: replica, options: options, needSnapshot: true}
}

// Replica returns the replica, for use on the control thread.
func (f *Follower) Replica() *Replica { return f.replica }

// Start starts reading the topic.
func (f *Follower) Start() { f.loop.Go(f.run) }

// request describes the next call to the store.
type request struct {
	shouldRead   bool
	wantSnapshot bool
	from         uint64
}

// run calls the store repeatedly. The calls run off the control thread, which applies their
// results.
func (f *Follower) run(ctx context.Context) {
	backoff := firstRetry
	for ctx.Err() == nil {
		next, ok := control.Call(ctx, f.loop, f.nextRequest)
		if !ok {
			return
		}
		if !next.shouldRead {
			sleep.For(ctx, f.idlePeriod())
			continue
		}
		err := f.call(ctx, next)
		if err == nil || errors.Is(err, ErrTrimmed) {
			backoff = firstRetry
			sleep.For(ctx, f.options.Pause)
			continue
		}
		sleep.For(ctx, f.loop.Jitter(backoff))
		backoff = min(2*backoff, maxRetry)
	}
}

func (f *Follower) idlePeriod() time.Duration {
	if f.options.IdlePeriod == nil {
		return defaultIdlePeriod
	}
	return f.options.IdlePeriod()
}

func (f *Follower) nextRequest() request {
	return request{
		shouldRead:   f.options.ShouldRead == nil || f.options.ShouldRead(f.replica.CurrentAt()),
		wantSnapshot: f.needSnapshot,
		from:         f.replica.End(),
	}
}

// call makes one call to the store and merges its result.
func (f *Follower) call(ctx context.Context, r request) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Wait+callTimeout)
	defer cancel()
	f.setCancel(cancel)
	startedAt := f.options.Now()
	var s Snapshot
	var err error
	if r.wantSnapshot {
		s, err = f.source.Newest(ctx)
	} else {
		s, err = f.source.Read(ctx, r.from, f.options.Wait)
	}
	f.options.OnCall(f.options.Name, f.options.Now().Sub(startedAt), err)
	merged := make(chan struct{})
	f.loop.Post(func() {
		defer close(merged)
		f.merge(r, s, startedAt, err)
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

// RestartCall cancels the current call so that a new one starts. A read whose connection stalled
// during a store outage would otherwise wait until its timeout.
func (f *Follower) RestartCall() {
	f.cancelMu.Lock()
	defer f.cancelMu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// merge applies the result of a call. A read is current as of its response. A snapshot may take
// several calls to the store, so it is current only as of its start.
func (f *Follower) merge(r request, s Snapshot, startedAt time.Time, err error) {
	if errors.Is(err, ErrTrimmed) {
		f.options.Logger.Info("feed_trimmed", "topic", f.options.Name, "from", r.from, "era", uint64(s.Era))
		f.needSnapshot = true
		return
	}
	if err != nil {
		if !f.storeDown {
			f.storeDown = true
			f.options.Logger.Info("store_lost", "topic", f.options.Name, "end", f.replica.End(), "error", err.Error())
		}
		return
	}
	if f.storeDown {
		f.storeDown = false
		f.options.Logger.Info("store_regained", "topic", f.options.Name, "silent_for", startedAt.Sub(f.replica.CurrentAt()))
		f.options.OnRecovered()
	}
	var changed []string
	setSource(s.Records, SourceStore)
	if r.wantSnapshot {
		f.needSnapshot = false
		if s.End < f.replica.End() {
			f.options.Logger.Info("snapshot_ignored", "topic", f.options.Name, "era", uint64(s.Era), "end", s.End, "known_end", f.replica.End())
		}
		changed = f.replica.Replace(s, startedAt)
	} else {
		changed = f.replica.Merge(s.Records, s.End, f.options.Now())
	}
	if len(changed) > 0 {
		f.options.OnChange(changed)
	}
}

func setSource(records []Record, source string) {
	for i := range records {
		records[i].Source = source
	}
}

// ApplyPage applies a page that a peer returned for the records from an offset on, and reports
// whether it could be applied. current is when the peer's replica was current. It runs on the
// control thread.
func (f *Follower) ApplyPage(p Page, from uint64, current time.Time, peer string) bool {
	setSource(p.Records, peer)
	if !p.Full && !f.replica.Contiguous(from) {
		return false
	}
	if f.needSnapshot && p.End > 0 {
		f.needSnapshot = false
	}
	if changed := f.replica.Apply(p, current); len(changed) > 0 {
		f.options.OnChange(changed)
	}
	return true
}
