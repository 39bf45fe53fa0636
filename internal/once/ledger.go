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
	// maxStoredBody is the size of the largest response body that is stored in the log.
	maxStoredBody = 8 << 10
	// maxKeysPerSlot is the number of keys at which a slot refuses new claims.
	maxKeysPerSlot = 50_000
	// appendTimeout bounds one append and the read that follows it.
	appendTimeout = 3 * time.Second
	// maxOrphanNonces bounds the number of nonces in [slot.orphanNonces].
	maxOrphanNonces = 10_000
	// appendAttempts is how often a batch is appended before its records fail.
	appendAttempts = 2
	// unknownRetryAfter is the Retry-After of calls whose outcome is unknown.
	unknownRetryAfter = time.Second
)

// Ledger claims the calls of one service for a sidecar. It is safe for concurrent use.
type Ledger struct {
	log            external.Log
	service        string
	retention      time.Duration
	appendInterval time.Duration
	now            func() time.Time
	slots          [Slots]*slot
}

// slot is one claim stream with its key states and the records that wait to be appended.
type slot struct {
	ledger  *Ledger
	stream  string
	mu      sync.Mutex
	table   *KeyTable
	pending []*pendingRecord
	// minIssuedMs is the issue time below which keys were dropped.
	minIssuedMs int64
	appending   bool
	lastAppend  time.Time
	// inFlight holds the tickets of calls in flight in this process, by key digest. A retry
	// waits for the earlier attempt.
	inFlight map[string]*Ticket
	// orphanNonces holds the nonces of claims that may be in the log but whose calls did not
	// start. The next attempt with the key reuses the nonce; otherwise a claim whose
	// acknowledgement was lost would block its key forever.
	orphanNonces map[string]string
}

type pendingRecord struct {
	record Record
	result chan error
}

// Ticket is the right to run a call once. Its holder ends it with Complete, Void or Abandon.
type Ticket struct {
	slot  *slot
	key   Key
	nonce string
	// ended is closed when the ticket ends; response is set before.
	ended    chan struct{}
	response *Response
}

// NewLedger returns a ledger for the calls of a service. appendInterval is the minimum time
// between two appends to a stream.
func NewLedger(log external.Log, service string, retention, appendInterval time.Duration, now func() time.Time) *Ledger {
	l := &Ledger{log: log, service: service, retention: retention, appendInterval: appendInterval, now: now}
	for i := range l.slots {
		l.slots[i] = &slot{
			ledger:       l,
			stream:       StreamName(service, i),
			table:        NewKeyTable(),
			inFlight:     map[string]*Ticket{},
			orphanNonces: map[string]string{},
		}
	}
	return l
}

// StreamName returns the name of the log stream of a service's slot.
func StreamName(service string, slot int) string {
	return fmt.Sprintf("toucanwell-claims-%s-%d", service, slot)
}

// Claim returns a ticket, the response of an earlier attempt, or an error. An error of kind NotRun
// is final for the key; after OutcomeUnknown the caller may retry with the same key.
func (l *Ledger) Claim(ctx context.Context, key Key, policy KeyPolicy) (*Ticket, *Response, *errkind.Error) {
	s := l.slots[key.Slot]
	if refusal := s.checkAge(key, policy); refusal != nil {
		return nil, nil, refusal
	}
	ticket := &Ticket{slot: s, key: key, nonce: uuid.NewString(), ended: make(chan struct{})}
	if other := s.register(ticket); other != nil {
		return s.awaitTicket(ctx, other, key)
	}
	state, err := s.commit(ctx, ticket.newRecord(TypeClaim))
	if err != nil {
		ticket.releaseUnstarted()
		return nil, nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetryAfter, "this attempt was not started: claim log unavailable: %v", err)
	}
	if state.Phase == Claimed && state.Nonce == ticket.nonce {
		return ticket, nil, nil
	}
	ticket.release(nil)
	response, refusal := resolve(state, key)
	return nil, response, refusal
}

// VoidKey closes a key whose call has not run. It returns an error of kind NotRun if it closed the
// key, and otherwise the outcome of the earlier attempt.
func (l *Ledger) VoidKey(ctx context.Context, key Key, policy KeyPolicy, retryAfter time.Duration, detail string) (*Response, *errkind.Error) {
	s := l.slots[key.Slot]
	if refusal := s.checkAge(key, policy); refusal != nil {
		return nil, refusal
	}
	ticket := &Ticket{slot: s, key: key, nonce: uuid.NewString(), ended: make(chan struct{})}
	state, err := s.commit(ctx, ticket.newRecord(TypeVoid))
	if err != nil {
		return nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetryAfter, "this attempt was not started: claim log unavailable: %v", err)
	}
	if state.Phase == Void {
		return nil, errkind.NewRetryAfter(errkind.NotRun, retryAfter, "%s", detail)
	}
	return resolve(state, key)
}

// Len returns the number of keys of all slots.
func (l *Ledger) Len() int {
	n := 0
	for _, s := range l.slots {
		s.mu.Lock()
		n += s.table.Len()
		s.mu.Unlock()
	}
	return n
}

// DropExpired drops the keys that the policy no longer accepts. They stay refused even if the
// lifetime is increased later.
func (l *Ledger) DropExpired(policy KeyPolicy) {
	before := l.now().Add(-policy.maxAge(l.retention) - MaxClockSkew).UnixMilli()
	for _, s := range l.slots {
		s.mu.Lock()
		s.minIssuedMs = max(s.minIssuedMs, before)
		s.table.DropBefore(s.minIssuedMs)
		s.mu.Unlock()
	}
}

// checkAge refuses a key that the policy does not accept or that may have been dropped.
func (s *slot) checkAge(key Key, policy KeyPolicy) *errkind.Error {
	l := s.ledger
	if refusal := CheckAge(key.IssuedMs, policy, l.now(), l.retention); refusal != nil {
		return refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key.IssuedMs != 0 && key.IssuedMs < s.minIssuedMs {
		return errkind.New(errkind.KeyExpired, "records of calls from the key's issue time were dropped")
	}
	return nil
}

// resolve returns the outcome of a key that another attempt has claimed or closed.
func resolve(state State, key Key) (*Response, *errkind.Error) {
	if state.RequestDigest != key.RequestDigest {
		return nil, errkind.New(errkind.KeyConflict, "the key belongs to a call with another body")
	}
	switch state.Phase {
	case Void:
		return nil, errkind.New(errkind.NotRun, "the key was closed without a run; use a new key")
	case Done:
		if state.Response == nil || state.Response.BodyDropped {
			return nil, errkind.New(errkind.OutcomeUnknown, "the call ran; its response was too large to store")
		}
		return state.Response, nil
	default:
		return nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetryAfter, "an earlier attempt has claimed the key and its outcome is not recorded")
	}
}

// register adds a ticket to those in flight, or returns the one with the same key.
func (s *slot) register(t *Ticket) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other, ok := s.inFlight[t.key.Digest]; ok {
		return other
	}
	s.inFlight[t.key.Digest] = t
	if nonce, ok := s.orphanNonces[t.key.Digest]; ok {
		t.nonce = nonce
		delete(s.orphanNonces, t.key.Digest)
	}
	return nil
}

// releaseUnstarted ends a ticket whose claim may be in the log and whose call does not start.
func (t *Ticket) releaseUnstarted() {
	t.slot.mu.Lock()
	if len(t.slot.orphanNonces) < maxOrphanNonces {
		t.slot.orphanNonces[t.key.Digest] = t.nonce
	}
	t.slot.mu.Unlock()
	t.release(nil)
}

// awaitTicket waits for the end of a ticket with the same key in this process.
func (s *slot) awaitTicket(ctx context.Context, other *Ticket, key Key) (*Ticket, *Response, *errkind.Error) {
	if other.key.RequestDigest != key.RequestDigest {
		return nil, nil, errkind.New(errkind.KeyConflict, "the key belongs to a call with another body")
	}
	select {
	case <-other.ended:
	case <-ctx.Done():
		return nil, nil, errkind.NewRetryAfter(errkind.InProgress, unknownRetryAfter, "")
	}
	if other.response != nil {
		return nil, other.response, nil
	}
	return nil, nil, errkind.NewRetryAfter(errkind.OutcomeUnknown, unknownRetryAfter, "the outcome of the earlier attempt is unknown")
}

func (t *Ticket) newRecord(kind RecordType) Record {
	return Record{Type: kind, Key: t.key.Digest, Nonce: t.nonce, RequestDigest: t.key.RequestDigest, IssuedMs: t.key.IssuedMs}
}

// release removes the ticket from those in flight and wakes the waiting retries.
func (t *Ticket) release(response *Response) {
	t.slot.mu.Lock()
	defer t.slot.mu.Unlock()
	t.response = response
	delete(t.slot.inFlight, t.key.Digest)
	close(t.ended)
}

// Complete ends a ticket whose call ran. The response is recorded with the next append; until
// then other processes see the key as claimed.
func (t *Ticket) Complete(response Response) {
	stored := response
	if len(stored.Body) > maxStoredBody {
		stored.Body = nil
		stored.BodyDropped = true
	}
	record := t.newRecord(TypeDone)
	record.Response = &stored
	t.slot.enqueue(record)
	t.release(&response)
}

// Void ends a ticket whose call was not started. Only the holder could start it, so NotRun is
// correct even if the record is lost; the record informs later attempts.
func (t *Ticket) Void(ctx context.Context, retryAfter time.Duration, detail string) *errkind.Error {
	_, _ = t.slot.commit(ctx, t.newRecord(TypeVoid))
	t.release(nil)
	return errkind.NewRetryAfter(errkind.NotRun, retryAfter, "%s", detail)
}

// Abandon ends a ticket whose call may have run.
func (t *Ticket) Abandon() { t.release(nil) }

// commit appends a record, reads the stream up to it and returns the state of its key.
func (s *slot) commit(ctx context.Context, record Record) (State, error) {
	p := s.enqueue(record)
	select {
	case err := <-p.result:
		if err != nil {
			return State{}, err
		}
	case <-ctx.Done():
		return State{}, errors.Wrap(ctx.Err(), "append claim")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(record.Key), nil
}

// enqueue adds a record to the next batch.
func (s *slot) enqueue(record Record) *pendingRecord {
	p := &pendingRecord{record: record, result: make(chan error, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Len() >= maxKeysPerSlot && record.Type != TypeDone {
		p.result <- errors.Newf("too many keys in the claim stream: %d", s.table.Len())
		return p
	}
	s.pending = append(s.pending, p)
	if !s.appending {
		s.appending = true
		go s.appendLoop()
	}
	return p
}

// appendLoop appends batches until no record is pending. The append interval bounds the rate of
// appends.
func (s *slot) appendLoop() {
	for {
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.appending = false
			s.mu.Unlock()
			return
		}
		wait := s.ledger.appendInterval - s.ledger.now().Sub(s.lastAppend)
		s.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		s.lastAppend = s.ledger.now()
		s.mu.Unlock()
		err := s.appendBatch(batch)
		for _, p := range batch {
			p.result <- err
		}
	}
}

// appendBatch appends a batch and reads it back. After an error the batch may or may not be in the
// stream.
func (s *slot) appendBatch(batch []*pendingRecord) error {
	records := make([]Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	data, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode claims")
	}
	for attempt := 0; attempt < appendAttempts; attempt++ {
		var appended bool
		appended, err = s.tryAppend(data)
		if appended {
			return nil
		}
	}
	return err
}

// tryAppend appends a batch and reads the stream up to it. It reports whether the batch was read
// back. Repeating it is safe: a duplicate with the same nonces changes nothing.
func (s *slot) tryAppend(data []byte) (appended bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	offset, err := s.ledger.log.Append(ctx, s.stream, data)
	if err != nil {
		return false, errors.Wrap(err, "append to claim stream")
	}
	for {
		s.mu.Lock()
		next := s.table.NextOffset()
		s.mu.Unlock()
		if next > offset {
			return true, nil
		}
		page, err := s.ledger.log.Read(ctx, s.stream, next)
		if err != nil {
			return false, errors.Wrap(err, "read claim stream")
		}
		if err := ctx.Err(); err != nil {
			return false, err
		}
		s.mu.Lock()
		s.table.Apply(page)
		s.mu.Unlock()
	}
}
