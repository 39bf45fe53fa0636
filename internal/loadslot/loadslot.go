// Package loadslot limits how many targets of a service load weights at a time. Targets append
// tickets to a log stream; the first ones in the order of the log may load.
package loadslot

import (
	"encoding/json"
	"slices"

	"github.com/toucanwell/toucanwell/internal/external"
)

// RecordType is the type of a record.
type RecordType string

// The record types.
const (
	// TypeAcquire adds a ticket to the queue, TypeRelease removes it.
	TypeAcquire RecordType = "acquire"
	TypeRelease RecordType = "release"
)

// Record is a record of the stream.
type Record struct {
	Type   RecordType `json:"type"`
	Target string     `json:"target"`
	// Nonce identifies the ticket.
	Nonce string `json:"nonce"`
}

// StreamName returns the name of a service's log stream.
func StreamName(service string) string { return "toucanwell-loads-" + service }

type ticket struct {
	offset uint64
	target string
	nonce  string
}

// Queue holds the tickets of a stream in the order of the log. It is not safe for concurrent use.
type Queue struct {
	nextOffset uint64
	tickets    []ticket
	released   map[string]bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{nextOffset: 1, released: map[string]bool{}} }

// NextOffset returns the offset of the next record to read.
func (q *Queue) NextOffset() uint64 { return q.nextOffset }

// Apply applies a page of the stream. Duplicate acquire records of a ticket are ignored, also after
// its release.
func (q *Queue) Apply(page *external.Page) {
	q.nextOffset = max(q.nextOffset, page.First)
	for _, r := range page.Records {
		if r.Offset < q.nextOffset {
			continue
		}
		q.nextOffset = r.Offset + 1
		var record Record
		if err := json.Unmarshal(r.Data, &record); err != nil {
			continue
		}
		q.applyRecord(r.Offset, record)
	}
}

func (q *Queue) applyRecord(offset uint64, r Record) {
	index := slices.IndexFunc(q.tickets, func(t ticket) bool { return t.nonce == r.Nonce })
	switch r.Type {
	case TypeAcquire:
		if index < 0 && !q.released[r.Nonce] {
			q.tickets = append(q.tickets, ticket{offset, r.Target, r.Nonce})
		}
	case TypeRelease:
		q.released[r.Nonce] = true
		if index >= 0 {
			q.tickets = slices.Delete(q.tickets, index, index+1)
		}
	}
}

// TicketOffset returns the offset of a ticket in the queue.
func (q *Queue) TicketOffset(nonce string) (offset uint64, ok bool) {
	for _, t := range q.tickets {
		if t.nonce == nonce {
			return t.offset, true
		}
	}
	return 0, false
}

// MayLoad reports whether a ticket is among the first slots tickets of the listed targets.
func (q *Queue) MayLoad(nonce string, slots int, listed func(target string) bool) bool {
	for _, t := range q.tickets {
		if !listed(t.target) {
			continue
		}
		if slots == 0 {
			return false
		}
		if t.nonce == nonce {
			return true
		}
		slots--
	}
	return false
}

// StaleNonces returns the nonces of a target's tickets other than the given one. They belong to
// earlier processes of the target.
func (q *Queue) StaleNonces(target, nonce string) []string {
	var stale []string
	for _, t := range q.tickets {
		if t.target == target && t.nonce != nonce {
			stale = append(stale, t.nonce)
		}
	}
	return stale
}
