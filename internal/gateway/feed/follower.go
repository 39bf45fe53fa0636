package feed

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// ErrTrimmed is returned by Source.Read if the store does not have some of the requested records. The
// replica then needs a snapshot.
var ErrTrimmed = errors.New("the store does not have the records")

// errUnusable is the result of a call whose answer says nothing about the present state of the topic.
var errUnusable = errors.New("the answer is of another era")

// Source is a topic in the platform's store. Snapshots name the era of the answer, also those that are
// returned with an error.
type Source interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context) (Snapshot, error)
	// Read returns the records from an offset on and the topic's end. Without new records it
	// waits up to wait for one. It returns ErrTrimmed if the store does not have some of the records.
	Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error)
}

// Options configure a Follower.
type Options struct {
	// Name of the topic, for logs and metrics.
	Name string
	// Wait is how long a read waits at the store for a new record; zero returns at once.
	Wait time.Duration
	// Place returns which of the processes that wait at the store this one is, from 0, and their number; zero
	// if this one does not wait, but reads once. It is called on the control thread. Nil means the only one.
	Place func() (rank, readers int)
	// RenewPeriod returns the time in which one of the processes that wait renews its read, if there are few
	// of them. It is called on the control thread. Nil means DefaultRenewPeriod.
	RenewPeriod func() time.Duration
	// Pause between two reads.
	Pause time.Duration
	// ShouldRead reports whether this process reads the store now; if not, it gets records
	// from peers. It is called on the control thread. Nil means always.
	ShouldRead func(confirmedAt time.Time) bool
	// IdlePeriod returns the interval at which a process that does not read checks ShouldRead. Nil
	// means defaultIdlePeriod.
	IdlePeriod func() time.Duration
	// AwaitPeers reports whether a process that has learned of a new era some time ago should get the
	// era's records from a peer for now. It is called on the control thread. Nil means never.
	AwaitPeers func(learned time.Duration) bool
	// OnEra is called on the control thread when an answer of the store names a later era than all before.
	OnEra func(era Era)
	// OnChange is called on the control thread with the keys that have new records.
	OnChange func(keys []string)
	// OnCall is called after each call to the store.
	OnCall func(topic string, took time.Duration, err error)
	// OnRefreshed is called on the control thread after a read that was made for Refresh, before its callers
	// learn of it.
	OnRefreshed func()
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
	// era is the newest era that the process has heard of, and when.
	era   Era
	eraAt time.Time
	// inStep is set if the other processes probably begin their next reads at the same time as this one.
	inStep bool
	// trimmed is set if the last read was answered with ErrTrimmed.
	trimmed bool
	// readOn is set if the last answer had not all records.
	readOn bool
	// refreshes are called with the outcome of the next read.
	refreshes []func(ok bool)
	// wake ends a pause between reads.
	wake chan struct{}
	// calledAt is when the last call began.
	calledAt time.Time
	// cancel cancels the current call.
	cancelMu sync.Mutex
	cancel   context.CancelFunc
}

// NewFollower returns a follower that has not started.
func NewFollower(loop *control.Loop, source Source, replica *Replica, options Options) *Follower {
	return &Follower{loop: loop, source: source, replica: replica, options: options, needSnapshot: true, inStep: true, wake: make(chan struct{}, 1)}
}

// Replica returns the replica, for use on the control thread.
func (f *Follower) Replica() *Replica { return f.replica }

// Start starts reading the topic.
func (f *Follower) Start() { f.loop.Go(f.run) }

// request describes the next call to the store.
type request struct {
	shouldRead   bool
	wantSnapshot bool
	from         Position
	// wait is how long a read waits at the store.
	wait time.Duration
	// pause is how long to wait before the call.
	pause time.Duration
	// refreshes are called with its outcome.
	refreshes []func(ok bool)
}

// minRefreshInterval is the least time between the beginnings of two reads that are made for Refresh.
const minRefreshInterval = 100 * time.Millisecond

// Refresh reads the topic from the store, and calls done on the control thread with whether that succeeded: then
// the replica is current as of a time after the call of Refresh. Calls that come before the read begins share
// it. It runs on the control thread.
func (f *Follower) Refresh(done func(ok bool)) {
	f.refreshes = append(f.refreshes, done)
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// endRefreshes reports the outcome of a call.
func (f *Follower) endRefreshes(r *request, err error) {
	if len(r.refreshes) == 0 {
		return
	}
	if f.readOn {
		f.refreshes = append(r.refreshes, f.refreshes...)
		return
	}
	if err == nil {
		f.options.OnRefreshed()
	}
	for _, done := range r.refreshes {
		done(err == nil)
	}
}

// NoteEra records that the store has come back from a copy, since when at the latest, as another topic's
// answer or a peer says. The replica needs the records of the new era, from a peer or from the store.
func (f *Follower) NoteEra(era Era, since time.Time) {
	if f.learnEra(era, since) {
		f.RestartCall()
	}
}

// learnEra reports whether the era is a later one than that of the replica's log, and was not known.
func (f *Follower) learnEra(era Era, since time.Time) bool {
	f.replica.NoteEra(era, since)
	if era <= f.era {
		return false
	}
	f.era, f.eraAt = era, f.options.Now()
	if f.isBehind() {
		f.options.Logger.Info("store_restored", "topic", f.options.Name, "era", uint64(era), "known", f.replica.EndPosition().String(), "since", f.options.Now().Sub(since))
	}
	return f.isBehind()
}

// isBehind reports whether the replica has the log of an earlier era.
func (f *Follower) isBehind() bool { return f.era > f.replica.Era() && !f.replica.Empty() }

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
			f.pause(ctx, f.idlePeriod())
			continue
		}
		sleep.For(ctx, next.pause)
		err := f.call(ctx, next)
		if err == nil {
			backoff = firstRetry
			f.pause(ctx, f.options.Pause)
			continue
		}
		f.pause(ctx, f.loop.Jitter(backoff))
		backoff = min(2*backoff, maxRetry)
	}
}

// pause waits for a time, or until a read is asked for.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

func (f *Follower) idlePeriod() time.Duration {
	if f.options.IdlePeriod == nil {
		return defaultIdlePeriod
	}
	return f.options.IdlePeriod()
}

func (f *Follower) nextRequest() request {
	behind := f.isBehind()
	shouldRead := behind || f.options.ShouldRead == nil || f.options.ShouldRead(f.replica.ConfirmedAt())
	if behind && f.options.AwaitPeers != nil && f.options.AwaitPeers(f.options.Now().Sub(f.eraAt)) {
		shouldRead = false
	}
	next := request{shouldRead: shouldRead, wantSnapshot: f.needSnapshot || behind, from: f.replica.EndPosition(), wait: f.nextWait(), refreshes: f.refreshes}
	if len(f.refreshes) > 0 {
		next.shouldRead, next.wait, f.refreshes = true, 0, nil
		next.pause = minRefreshInterval - f.options.Now().Sub(f.calledAt)
	}
	if f.readOn {
		next.shouldRead, next.wait, next.pause, f.readOn = true, 0, 0, false
	}
	return next
}

// DefaultRenewPeriod is the time in which one of the processes that wait at the store renews its read, if there
// are few of them.
const DefaultRenewPeriod = time.Second

// nextWait returns how long the next read waits at the store.
//
// A store that was silent for a moment may never answer the reads that reached it meanwhile, and nothing but
// their end shows it. A record answers the reads of all processes at the same time, so that all would be
// lost together. The processes therefore end their next reads one after the other, and the first one to
// read again passes on what it finds. The first of them does so at once: how old the answer with a record may
// be is not known, and the others would take the replica for older than it is. While the store does not answer,
// reads do not wait.
func (f *Follower) nextWait() time.Duration {
	if f.options.Wait == 0 || f.storeDown {
		return 0
	}
	rank, readers := 0, 1
	if f.options.Place != nil {
		rank, readers = f.options.Place()
	}
	if readers == 0 {
		return 0
	}
	renewPeriod := DefaultRenewPeriod
	if f.options.RenewPeriod != nil {
		renewPeriod = f.options.RenewPeriod()
	}
	wait := min(f.options.Wait, time.Duration(readers)*renewPeriod)
	if f.inStep {
		return wait * time.Duration(rank) / time.Duration(readers)
	}
	return wait
}

// call makes one call to the store and merges its result.
func (f *Follower) call(ctx context.Context, r request) error {
	ctx, cancel := context.WithTimeout(ctx, r.wait+callTimeout)
	defer cancel()
	f.setCancel(cancel)
	startedAt := f.options.Now()
	f.calledAt = startedAt
	var s Snapshot
	var err error
	if r.wantSnapshot {
		s, err = f.source.Newest(ctx)
	} else {
		s, err = f.source.Read(ctx, r.from.Offset, r.wait)
	}
	f.options.OnCall(f.options.Name, f.options.Now().Sub(startedAt), err)
	merged := make(chan error, 1)
	f.loop.Post(func() {
		err := f.merge(r, s, startedAt, err)
		f.endRefreshes(&r, err)
		merged <- err
	})
	select {
	case err = <-merged:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
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

// merge applies the result of a call, and returns an error if the next call should wait.
func (f *Follower) merge(r request, s Snapshot, startedAt time.Time, err error) error {
	if s.Era > f.era {
		f.learnEra(s.Era, f.options.Now())
		f.options.OnEra(s.Era)
	}
	if errors.Is(err, ErrTrimmed) {
		return f.mergeTrimmed(r, s)
	}
	f.inStep = err != nil || f.storeDown || r.wantSnapshot || len(s.Records) > 0
	if err != nil {
		if !f.storeDown {
			f.storeDown = true
			f.options.Logger.Info("store_lost", "topic", f.options.Name, "end", f.replica.EndPosition().String(), "error", err.Error())
		}
		return err
	}
	f.trimmed = false
	if f.storeDown {
		f.storeDown = false
		f.options.Logger.Info("store_regained", "topic", f.options.Name, "silent_for", startedAt.Sub(f.replica.ConfirmedAt()))
		f.options.OnRecovered()
	}
	setSource(s.Records, SourceStore)
	receipt := asof.Answer(startedAt, f.options.Now())
	if r.wantSnapshot {
		return f.mergeSnapshot(s, receipt)
	}
	if s.Era < f.era {
		return errUnusable
	}
	if s.Era != f.replica.Era() || r.from.Era != s.Era || !f.replica.Contiguous(r.from.Offset) {
		return nil // a read that was under way when the era began
	}
	if s.TopicEnd > s.End && len(s.Records) == 0 {
		return errUnusable
	}
	if s.TopicEnd > s.End {
		f.readOn = true
		f.changed(f.replica.Merge(s.Records, s.End, time.Time{}))
		return nil
	}
	f.replica.Confirm(receipt.At, SourceStore)
	f.changed(f.replica.Merge(s.Records, s.End, asOf(r.wait, len(s.Records), receipt)))
	return nil
}

// asOf returns a time as of which the answer to a read holds. A store that returns no records has waited for
// them, so that the answer is not older than the end of the wait.
func asOf(wait time.Duration, records int, receipt asof.Receipt) time.Time {
	if end := receipt.After.Add(wait); records == 0 && !end.After(receipt.At) {
		return end
	}
	return receipt.Earliest(0)
}

// mergeTrimmed handles a read of records that the store does not have. The first one is followed by a
// snapshot at once.
func (f *Follower) mergeTrimmed(r request, s Snapshot) error {
	f.options.Logger.Info("feed_trimmed", "topic", f.options.Name, "from", r.from.String(), "era", uint64(s.Era))
	if r.from.Era == f.replica.Era() && s.Era == r.from.Era {
		f.needSnapshot = true
	}
	repeated := f.trimmed
	f.trimmed = true
	if repeated {
		return ErrTrimmed
	}
	return nil
}

func (f *Follower) mergeSnapshot(s Snapshot, receipt asof.Receipt) error {
	if s.Era < f.era || s.Era == f.replica.Era() && s.End < f.replica.End() {
		f.options.Logger.Info("snapshot_ignored", "topic", f.options.Name, "era", uint64(s.Era), "end", s.End, "known", f.replica.EndPosition().String(), "known_era", uint64(f.era))
		return errUnusable
	}
	f.needSnapshot = false
	before := f.replica.Era()
	f.replica.Confirm(receipt.At, SourceStore)
	changed := f.replica.Replace(s, receipt.Earliest(0))
	f.logRestore(before)
	f.changed(changed)
	return nil
}

// logRestore logs what a replica has taken over into a new era.
func (f *Follower) logRestore(before Era) {
	if f.replica.Era() == before {
		return
	}
	f.options.Logger.Info("era_followed", "topic", f.options.Name, "era", uint64(f.replica.Era()), "before", uint64(before), "end", f.replica.End(), "retained", len(f.replica.Retained()), "restated", f.replica.Restated(), "source", f.replica.source)
}

func (f *Follower) changed(keys []string) {
	if len(keys) > 0 {
		f.options.OnChange(keys)
	}
}

// Expire ends the retention of keys that were not written again in time after a restore.
func (f *Follower) Expire() { f.changed(f.replica.Expire(f.options.Now())) }

func setSource(records []Record, source string) {
	for i := range records {
		records[i].Source = source
	}
}

// ApplyPage applies a page that a peer returned for the records from a position on, and reports
// whether it could be applied. age is that of the peer's replica when it answered. It runs on the
// control thread.
func (f *Follower) ApplyPage(p Page, from Position, receipt asof.Receipt, age time.Duration, peer string) bool {
	if !f.replica.CanApply(&p, from) {
		return false
	}
	setSource(p.Records, peer)
	setSource(p.Retained, peer)
	if f.needSnapshot && p.End > 0 {
		f.needSnapshot = false
	}
	before, wasEmpty := f.replica.Era(), f.replica.Empty()
	f.replica.Confirm(receipt.Latest(age), peer)
	changed := f.replica.Apply(p, receipt.Earliest(age), receipt.At)
	f.era = max(f.era, f.replica.Era())
	if !wasEmpty {
		f.logRestore(before)
	}
	f.changed(changed)
	return true
}
