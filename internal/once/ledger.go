package once

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/external"
)

const (
	// maxKeptBody is the largest answer kept in the log.
	maxKeptBody = 8 << 10
	// maxKeys is the most keys a slot holds; a full one refuses.
	maxKeys = 50_000
	// commitTimeout bounds one append with its read.
	commitTimeout = 3 * time.Second
	// maxOrphans bounds the nonces kept of claims with a lost answer.
	maxOrphans = 10_000
	// appendTries is how often an append without an answer is made.
	appendTries = 2
	// unknownRetry is when a caller may ask for an unknown outcome again.
	unknownRetry = time.Second
)

// Ledger claims calls for one sidecar. It is safe for concurrent use.
type Ledger struct {
	log       external.Log
	service   string
	retention time.Duration
	interval  time.Duration
	now       func() time.Time
	slots     [Slots]*slot
}

// slot is one claim stream with its fold and the records that await an append.
type slot struct {
	ledger  *Ledger
	stream  string
	mu      sync.Mutex
	book    *KeyTable
	pending []*pendingRecord
	// horizonMs is the issue time below which keys were dropped.
	horizonMs int64
	busy      bool
	last      time.Time
	// local holds the tries that run in this process, for callers that ask
	// again meanwhile.
	local map[string]*Ticket
	// orphans holds the nonces of claims that may have reached the log but
	// whose calls were certainly not started. The next try of the key here
	// takes the nonce over; without that, a claim whose answer was lost would
	// block its key for ever.
	orphans map[string]string
}

type pendingRecord struct {
	record Record
	done   chan error
}

// Ticket is the right to run a call once. Its holder ends it with Done, Void
// or Lost.
type Ticket struct {
	slot  *slot
	key   Key
	nonce string
	// ended is closed when the holder has ended the ticket.
	ended  chan struct{}
	answer *Response
}

// NewLedger returns a ledger for the calls of a service. interval is the least
// time between two appends to one stream.
func NewLedger(log external.Log, service string, retention, interval time.Duration, now func() time.Time) *Ledger {
	l := &Ledger{log: log, service: service, retention: retention, interval: interval, now: now}
	for i := range l.slots {
		l.slots[i] = &slot{
			ledger:  l,
			stream:  StreamName(service, i),
			book:    NewKeyTable(),
			local:   map[string]*Ticket{},
			orphans: map[string]string{},
		}
	}
	return l
}

// StreamOf is the log stream of a service's slot.
func StreamName(service string, slot int) string {
	return fmt.Sprintf("toucanwell-claims-%s-%d", service, slot)
}

// Claim returns a ticket, or the kept answer of an earlier try, or a refusal.
// A refusal of kind NotRun is final for the key; OutcomeUnknown means that the
// same key may be asked again.
func (l *Ledger) Claim(ctx context.Context, key Key, terms KeyPolicy) (*Ticket, *Response, *errkind.Error) {
	s := l.slots[key.Slot]
	if refusal := s.checkAge(key, terms); refusal != nil {
		return nil, nil, refusal
	}
	ticket := &Ticket{slot: s, key: key, nonce: uuid.NewString(), ended: make(chan struct{})}
	if other := s.enter(ticket); other != nil {
		return s.join(ctx, other, key)
	}
	state, err := s.commit(ctx, ticket.record(TypeClaim))
	if err != nil {
		ticket.orphan()
		return nil, nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetry, "this try was not started; the log does not answer: %v", err)
	}
	if state.Phase == Claimed && state.Nonce == ticket.nonce {
		return ticket, nil, nil
	}
	ticket.leave(nil)
	answer, refusal := judge(state, key)
	return nil, answer, refusal
}

// Close ends a key unrun, so that its caller can be told so. The refusal is
// NotRun when the key is closed, and else what is known of it.
func (l *Ledger) VoidKey(ctx context.Context, key Key, terms KeyPolicy, retryAfter time.Duration, detail string) (*Response, *errkind.Error) {
	s := l.slots[key.Slot]
	if refusal := s.checkAge(key, terms); refusal != nil {
		return nil, refusal
	}
	ticket := &Ticket{slot: s, key: key, nonce: uuid.NewString(), ended: make(chan struct{})}
	state, err := s.commit(ctx, ticket.record(TypeVoid))
	if err != nil {
		return nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetry, "this try was not started; the log does not answer: %v", err)
	}
	if state.Phase == Void {
		return nil, errkind.NewRetryAfter(errkind.NotRun, retryAfter, "%s", detail)
	}
	return judge(state, key)
}

// Len is the number of keys held.
func (l *Ledger) Len() int {
	n := 0
	for _, s := range l.slots {
		s.mu.Lock()
		n += s.book.Len()
		s.mu.Unlock()
	}
	return n
}

// Forget drops keys that the terms no longer take. What was dropped stays
// refused, also when an operator lengthens the lifetime later.
func (l *Ledger) DropExpired(terms KeyPolicy) {
	before := l.now().Add(-terms.keep(l.retention) - MaxClockSkew).UnixMilli()
	for _, s := range l.slots {
		s.mu.Lock()
		s.horizonMs = max(s.horizonMs, before)
		s.book.DropBefore(s.horizonMs)
		s.mu.Unlock()
	}
}

// checkAge refuses a key that the terms do not take, or that may have been
// dropped from the record.
func (s *slot) checkAge(key Key, terms KeyPolicy) *errkind.Error {
	l := s.ledger
	if refusal := CheckAge(key.IssuedMs, terms, l.now(), l.retention); refusal != nil {
		return refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key.IssuedMs != 0 && key.IssuedMs < s.horizonMs {
		return errkind.New(errkind.KeyExpired, "calls of that time are no longer on record")
	}
	return nil
}

// judge turns the state of a key that another try owns into an answer.
func judge(state State, key Key) (*Response, *errkind.Error) {
	if state.RequestDigest != key.RequestDigest {
		return nil, errkind.New(errkind.KeyConflict, "the key belongs to a call with another body")
	}
	switch state.Phase {
	case Void:
		return nil, errkind.New(errkind.NotRun, "an earlier try closed this key unrun; use a new key")
	case Done:
		if state.Response == nil || state.Response.BodyDropped {
			return nil, errkind.New(errkind.OutcomeUnknown, "the call ran; its answer was too large to keep")
		}
		return state.Response, nil
	default:
		return nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetry, "an earlier try holds this key and has not told its end")
	}
}

// enter registers a try, or returns the one that runs already.
func (s *slot) enter(t *Ticket) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.local[t.key.Digest]; ok {
		return other
	}
	s.local[t.key.Digest] = t
	if nonce, ok := s.orphans[t.key.Digest]; ok {
		t.nonce = nonce
		delete(s.orphans, t.key.Digest)
	}
	return nil
}

// orphan ends a try whose claim may be in the log and whose call never starts.
func (t *Ticket) orphan() {
	t.slot.mu.Lock()
	if len(t.slot.orphans) < maxOrphans {
		t.slot.orphans[t.key.Digest] = t.nonce
	}
	t.slot.mu.Unlock()
	t.leave(nil)
}

// join waits for a try of the same key that runs in this process.
func (s *slot) join(ctx context.Context, other *Ticket, key Key) (*Ticket, *Response, *errkind.Error) {
	if other.key.RequestDigest != key.RequestDigest {
		return nil, nil, errkind.New(errkind.KeyConflict, "the key belongs to a call with another body")
	}
	select {
	case <-other.ended:
	case <-ctx.Done():
		return nil, nil, errkind.NewRetryAfter(errkind.InProgress, unknownRetry, "")
	}
	if other.answer != nil {
		return nil, other.answer, nil
	}
	return nil, nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetry, "the try that ran has not told its end")
}

func (t *Ticket) record(kind RecordType) Record {
	return Record{Type: kind, Key: t.key.Digest, Nonce: t.nonce, RequestDigest: t.key.RequestDigest, IssuedMs: t.key.IssuedMs}
}

// leave ends the try in this process.
func (t *Ticket) leave(answer *Response) {
	t.slot.mu.Lock()
	defer t.slot.mu.Unlock()
	t.answer = answer
	delete(t.slot.local, t.key.Digest)
	close(t.ended)
}

// Done ends a ticket whose call ran. The record goes out with the next append;
// until it is there, the key reads as claimed.
func (t *Ticket) Complete(answer Response) {
	kept := answer
	if len(kept.Body) > maxKeptBody {
		kept.Body = nil
		kept.BodyDropped = true
	}
	record := t.record(TypeDone)
	record.Response = &kept
	t.slot.queue(record)
	t.leave(&answer)
}

// Void ends a ticket whose call was certainly not started. Its holder alone
// had the right to start it and gives that right up, so that "not run" is true
// whatever becomes of the record, which only lets later tries know it too.
func (t *Ticket) Void(ctx context.Context, retryAfter time.Duration, detail string) *errkind.Error {
	_, _ = t.slot.commit(ctx, t.record(TypeVoid))
	t.leave(nil)
	return errkind.NewRetryAfter(errkind.NotRun, retryAfter, "%s", detail)
}

// Lost ends a ticket whose call may have run.
func (t *Ticket) Abandon() { t.leave(nil) }

// commit appends a record, reads the stream past it and returns the key's
// state. The record's own nonce in the stream proves that it arrived, also
// when the append's answer was lost.
func (s *slot) commit(ctx context.Context, record Record) (State, error) {
	p := s.queue(record)
	select {
	case err := <-p.done:
		if err != nil {
			return State{}, err
		}
	case <-ctx.Done():
		return State{}, errors.Wrap(ctx.Err(), "claim")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Get(record.Key), nil
}

// queue adds a record to the next append.
func (s *slot) queue(record Record) *pendingRecord {
	p := &pendingRecord{record: record, done: make(chan error, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Len() >= maxKeys && record.Type != TypeDone {
		p.done <- errors.Newf("the record of calls is full: %d keys", s.book.Len())
		return p
	}
	s.pending = append(s.pending, p)
	if !s.busy {
		s.busy = true
		go s.work()
	}
	return p
}

// work appends batches until none is left. Batches are spaced by the ledger's
// interval, so that the rate of appends does not follow the rate of calls.
func (s *slot) work() {
	for {
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.busy = false
			s.mu.Unlock()
			return
		}
		wait := s.ledger.interval - s.ledger.now().Sub(s.last)
		s.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		s.last = s.ledger.now()
		s.mu.Unlock()
		err := s.write(batch)
		for _, p := range batch {
			p.done <- err
		}
	}
}

// write appends a batch and reads it back. An error means that the batch may
// be in the stream or not.
func (s *slot) write(batch []*pendingRecord) error {
	records := make([]Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	data, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode claims")
	}
	for try := 0; try < appendTries; try++ {
		var arrived bool
		arrived, err = s.appendOnce(data)
		if arrived {
			return nil
		}
	}
	return err
}

// appendOnce reports whether the batch is in the part of the stream that was
// read. An append that answers tells its offset; one whose answer was lost is
// made again, and a copy with the same nonces changes nothing.
func (s *slot) appendOnce(data []byte) (arrived bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	offset, err := s.ledger.log.Append(ctx, s.stream, data)
	if err != nil {
		return false, errors.Wrap(err, "append")
	}
	for {
		s.mu.Lock()
		next := s.book.NextOffset()
		s.mu.Unlock()
		if next > offset {
			return true, nil
		}
		page, err := s.ledger.log.Read(ctx, s.stream, next)
		if err != nil {
			return false, errors.Wrap(err, "read")
		}
		if err := ctx.Err(); err != nil {
			return false, err
		}
		s.mu.Lock()
		s.book.Apply(page)
		s.mu.Unlock()
	}
}
