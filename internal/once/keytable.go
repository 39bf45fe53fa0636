// Package once makes sure that calls with an idempotency key run at most once.
//
// Before a sidecar runs such a call, it appends a claim to a stream of the platform's log and
// reads the stream back. The first claim of a key wins, and only its holder may run the call. A
// claim is never passed on: if its holder is lost, the outcome of the call is unknown. A void
// record of the holder, or one that precedes all claims, closes the key: the call has not run
// and never will.
//
// The log keeps records for a limited time. Keys therefore carry an issue time, and keys older
// than the retained records are refused.
package once

import (
	"encoding/json"

	"github.com/toucanwell/toucanwell/internal/external"
)

// RecordType is the type of a record.
type RecordType string

// The record types.
const (
	// TypeClaim requests the right to run the call.
	TypeClaim RecordType = "claim"
	// TypeVoid closes a key whose call has not run.
	TypeVoid RecordType = "void"
	// TypeDone reports that the call has run, and its response.
	TypeDone RecordType = "done"
)

// Record is one entry of a claim stream. A log record holds a list of them.
type Record struct {
	Type RecordType `json:"t"`
	// Key is the [Key.Digest].
	Key string `json:"k"`
	// Nonce identifies the attempt that wrote the record.
	Nonce string `json:"n"`
	// RequestDigest is the digest of the request.
	RequestDigest uint64 `json:"d,omitempty"`
	// IssuedMs is the key's issue time; 0 if it has none.
	IssuedMs int64 `json:"i,omitempty"`
	// Response is set for [TypeDone] only.
	Response *Response `json:"a,omitempty"`
}

// Response is the recorded response of a call.
type Response struct {
	Status      int    `json:"s"`
	ContentType string `json:"c,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// BodyDropped is set if the body was too large to record.
	BodyDropped bool `json:"x,omitempty"`
}

// Phase is the phase of a key.
type Phase int

// The phases of a key. Unknown means that no record of it was read.
const (
	Unknown Phase = iota
	Claimed
	Void
	Done
)

// State is the state of a key according to the stream.
type State struct {
	Phase         Phase
	Nonce         string
	RequestDigest uint64
	Response      *Response
	// createdMs is the issue time, or the log's timestamp for a key without one.
	createdMs int64
}

// KeyTable holds the states of a stream's keys. It is not safe for concurrent use.
type KeyTable struct {
	nextOffset uint64
	keys       map[string]*State
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable { return &KeyTable{nextOffset: 1, keys: map[string]*State{}} }

// NextOffset returns the offset of the next record to read.
func (t *KeyTable) NextOffset() uint64 { return t.nextOffset }

// Len returns the number of keys.
func (t *KeyTable) Len() int { return len(t.keys) }

// Get returns the state of a key, or the zero State for an unknown one.
func (t *KeyTable) Get(key string) State {
	if s, ok := t.keys[key]; ok {
		return *s
	}
	return State{}
}

// Apply applies a page of the stream. It skips records that were applied before. Records that
// the log has dropped need no handling: their keys are too old to be accepted.
func (t *KeyTable) Apply(page *external.Page) {
	t.nextOffset = max(t.nextOffset, page.First)
	for _, r := range page.Records {
		if r.Offset < t.nextOffset {
			continue
		}
		t.nextOffset = r.Offset + 1
		var records []Record
		if err := json.Unmarshal(r.Data, &records); err != nil {
			continue
		}
		for i := range records {
			t.applyRecord(&records[i], r.UnixMs)
		}
	}
}

func (t *KeyTable) applyRecord(r *Record, unixMs int64) {
	s, known := t.keys[r.Key]
	if !known {
		t.addKey(r, unixMs)
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

// addKey adds a key with its first record. A done record may come first if the log has dropped
// the claim.
func (t *KeyTable) addKey(r *Record, unixMs int64) {
	s := &State{Nonce: r.Nonce, RequestDigest: r.RequestDigest, Response: r.Response, createdMs: r.IssuedMs}
	if s.createdMs == 0 {
		s.createdMs = unixMs
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
	t.keys[r.Key] = s
}

// DropBefore drops the keys that were created before a time. Nothing else removes keys.
func (t *KeyTable) DropBefore(beforeMs int64) {
	for key, s := range t.keys {
		if s.createdMs < beforeMs {
			delete(t.keys, key)
		}
	}
}
