// Package loadslot keeps the line of targets that want to load weights, as a
// fold of a log stream. The first so many tickets in the log's order may load.
package loadslot

import (
	"encoding/json"
	"slices"

	"github.com/toucanwell/toucanwell/internal/external"
)

// RecordType is the type of a record.
type RecordType string

// The types of record.
const (
	TypeAcquire RecordType = "acquire"
	TypeRelease RecordType = "release"
)

// Record is one record of the stream.
type Record struct {
	Type   RecordType `json:"type"`
	Target string     `json:"target"`
	// Nonce names the ticket.
	Nonce string `json:"nonce"`
}

// StreamOf is the log stream of a service's line.
func StreamName(service string) string { return "toucanwell-loads-" + service }

type ticket struct {
	offset uint64
	target string
	nonce  string
}

// Line is the fold. It is used by one goroutine at a time.
type Queue struct {
	next     uint64
	tickets  []ticket
	released map[string]bool
}

// NewLine returns the fold of nothing.
func NewQueue() *Queue { return &Queue{next: 1, released: map[string]bool{}} }

// Next is the first offset not read yet.
func (l *Queue) NextOffset() uint64 { return l.next }

// Read folds a page. A ticket counts once, at its first offset; a ticket that
// was released never counts again, so that a late copy of its acquire record
// cannot take a place.
func (l *Queue) Apply(page *external.Page) {
	l.next = max(l.next, page.First)
	for _, r := range page.Records {
		if r.Offset < l.next {
			continue
		}
		l.next = r.Offset + 1
		var record Record
		if err := json.Unmarshal(r.Data, &record); err != nil {
			continue
		}
		l.fold(r.Offset, record)
	}
}

func (l *Queue) fold(offset uint64, r Record) {
	at := slices.IndexFunc(l.tickets, func(t ticket) bool { return t.nonce == r.Nonce })
	switch r.Type {
	case TypeAcquire:
		if at < 0 && !l.released[r.Nonce] {
			l.tickets = append(l.tickets, ticket{offset, r.Target, r.Nonce})
		}
	case TypeRelease:
		l.released[r.Nonce] = true
		if at >= 0 {
			l.tickets = slices.Delete(l.tickets, at, at+1)
		}
	}
}

// Ticket returns the offset of a ticket that is in line.
func (l *Queue) TicketOffset(nonce string) (offset uint64, ok bool) {
	for _, t := range l.tickets {
		if t.nonce == nonce {
			return t.offset, true
		}
	}
	return 0, false
}

// Holds reports whether a ticket is among the first places of the listed
// targets.
func (l *Queue) MayLoad(nonce string, places int, listed func(target string) bool) bool {
	for _, t := range l.tickets {
		if !listed(t.target) {
			continue
		}
		if places == 0 {
			return false
		}
		if t.nonce == nonce {
			return true
		}
		places--
	}
	return false
}

// StaleOf returns the nonces of a target's tickets other than the given one:
// those of an earlier process of the target.
func (l *Queue) StaleNonces(target, nonce string) []string {
	var stale []string
	for _, t := range l.tickets {
		if t.target == target && t.nonce != nonce {
			stale = append(stale, t.nonce)
		}
	}
	return stale
}
