// Package once keeps calls that must not be repeated from running twice.
//
// # How a call runs at most once
//
// A call that may not be repeated carries an idempotency key. Before a sidecar
// starts it, the sidecar appends a claim for the key to the platform's log and
// reads the stream back. The log orders the claims; the first one for a key
// wins, and its nonce alone may run the call. All sidecars fold the stream by
// the same rule, so that this holds across two entries, a changed set of
// targets, a sidecar that restarts empty, and one that is frozen and wakes: a
// claim is a right to run once and it is never given to another, not even when
// its holder is gone. What a holder took with it is then unknown, and said so.
//
// A key can be closed unrun: a void record that comes first, or one of the
// claim's own holder, ends the key for good. Only then may a caller be told
// "not run", because only then no try of the key has started and none will.
//
// The log keeps records for a limited time. A key therefore tells when it was
// made, and one that is older than the record of calls is refused as expired.
package once

import (
	"encoding/json"

	"github.com/toucanwell/toucanwell/internal/external"
)

// RecordType is the type of a record.
type RecordType string

// The types of record.
const (
	// TypeClaim takes the right to run.
	TypeClaim RecordType = "claim"
	// TypeVoid closes a key unrun.
	TypeVoid RecordType = "void"
	// TypeDone tells that the run has ended, with its answer when small.
	TypeDone RecordType = "done"
)

// Record is one statement about a key. A log record holds a list of them.
type Record struct {
	Type RecordType `json:"t"`
	// Key is the digest of workspace, service and idempotency key.
	Key string `json:"k"`
	// Nonce of the try that speaks.
	Nonce string `json:"n"`
	// Digest of the request.
	RequestDigest uint64 `json:"d,omitempty"`
	// IssuedMs is the key's issue time; 0 when it tells none.
	IssuedMs int64 `json:"i,omitempty"`
	// Answer of a done call.
	Response *Response `json:"a,omitempty"`
}

// Answer is a kept answer.
type Response struct {
	Status      int    `json:"s"`
	ContentType string `json:"c,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// Dropped is set when the body was too large to keep.
	BodyDropped bool `json:"x,omitempty"`
}

// Phase is what is known of a key.
type Phase int

// The phases of a key.
const (
	Unknown Phase = iota
	Claimed
	Void
	Done
)

// State is what the stream says of a key.
type State struct {
	Phase         Phase
	Nonce         string
	RequestDigest uint64
	Response      *Response
	// bornMs is the issue time, or the log's time for a key without one.
	bornMs int64
}

// Book is the fold of one stream. It is used by one goroutine at a time.
type KeyTable struct {
	next uint64
	keys map[string]*State
}

// NewBook returns the fold of nothing.
func NewKeyTable() *KeyTable { return &KeyTable{next: 1, keys: map[string]*State{}} }

// Next is the first offset not read yet.
func (b *KeyTable) NextOffset() uint64 { return b.next }

// Len is the number of keys held.
func (b *KeyTable) Len() int { return len(b.keys) }

// Get returns the state of a key.
func (b *KeyTable) Get(key string) State {
	if s, ok := b.keys[key]; ok {
		return *s
	}
	return State{}
}

// Read folds a page. Records read before are passed over. A cut start needs no
// care: what the log dropped is older than any key that is still taken.
func (b *KeyTable) Apply(page *external.Page) {
	b.next = max(b.next, page.First)
	for _, r := range page.Records {
		if r.Offset < b.next {
			continue
		}
		b.next = r.Offset + 1
		var records []Record
		if err := json.Unmarshal(r.Data, &records); err != nil {
			continue
		}
		for i := range records {
			b.fold(&records[i], r.UnixMs)
		}
	}
}

func (b *KeyTable) fold(r *Record, unixMs int64) {
	s, known := b.keys[r.Key]
	if !known {
		b.first(r, unixMs)
		return
	}
	if s.Phase != Claimed || s.Nonce != r.Nonce {
		return
	}
	switch r.Type {
	case TypeDone:
		s.Phase = Done
		s.Response = r.Response
		s.Nonce = ""
	case TypeVoid:
		s.Phase = Void
		s.Nonce = ""
	}
}

// first opens a key. A done record without its claim opens it as done: the
// claim was in the part that the log has dropped.
func (b *KeyTable) first(r *Record, unixMs int64) {
	s := &State{Nonce: r.Nonce, RequestDigest: r.RequestDigest, Response: r.Response, bornMs: r.IssuedMs}
	if s.bornMs == 0 {
		s.bornMs = unixMs
	}
	switch r.Type {
	case TypeClaim:
		s.Phase = Claimed
	case TypeVoid:
		s.Phase = Void
	case TypeDone:
		s.Phase = Done
	default:
		return
	}
	b.keys[r.Key] = s
}

// Forget drops keys that were made before a time; they are refused by age. It
// is the only way in which a key leaves the book.
func (b *KeyTable) DropBefore(beforeMs int64) {
	for key, s := range b.keys {
		if s.bornMs < beforeMs {
			delete(b.keys, key)
		}
	}
}
