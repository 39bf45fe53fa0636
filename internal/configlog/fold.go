// Package configlog decides which published configuration is in force.
//
// Operators publish on a stream of the platform's log. A publish names the
// version that it was edited from. The log's offsets order the publishes, and
// every reader folds them by the same rule, so that all of them accept the
// same ones without asking each other: a publish is accepted when its base is
// the version accepted last before it and its text passes the check. Its offset
// becomes the new version. Of two operators who race, the first in the log
// wins; the other's base is old by then.
//
// The log keeps records for a limited time, shorter than a configuration's
// life. A process that sees the newest copy grow old appends a carry record:
// the version in force with its text, as of the offset up to which the carrier
// had folded the stream. A carry never makes a version, and a reader never goes
// to a lower one, so that a carry appended late by a paused process changes
// nothing.
//
// A reader whose stream has a gap (it was away for longer than the retention,
// or starts after it) cannot decide about publishes until a carry or another
// process tells it what was in force at an offset past the gap. Until then it
// keeps what it has.
package configlog

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/external"
)

// Stream is the log stream of the configuration.
const Stream = "toucanwell-config"

// RecordType is the type of a record.
type RecordType string

// The types of record.
const (
	TypePublish   RecordType = "publish"
	TypeRepublish RecordType = "carry"
)

// Record is one record of the stream.
type Record struct {
	Type RecordType `json:"type"`
	// Nonce tells one append from another when an answer was lost.
	Nonce string `json:"nonce"`
	// Base is the version a publish was edited from; 0 for the first.
	Base uint64 `json:"base,omitempty"`
	// Version and AsOf of a carry.
	Version uint64 `json:"version,omitempty"`
	AsOf    uint64 `json:"as_of,omitempty"`
	Text    string `json:"text"`
}

// Snapshot is what was in force when the stream had been folded to AsOf.
type Snapshot struct {
	// Version is the offset of the accepted publish; 0 means none.
	Version uint64
	// AsOf is the offset up to which the stream was folded.
	AsOf uint64
	Text string
	// Config is the checked text.
	Config *config.Config
	// NewestCopyMs is the log time of the newest record known that holds the
	// text; 0 when none is.
	NewestCopyMs int64
}

// Verdict is what became of one publish.
type Verdict struct {
	Offset   uint64
	Nonce    string
	Accepted bool
	// InForce is the version in force after it.
	InForce uint64
	// Problem of a refused text.
	Err error
}

// Folder folds the stream. It is used by one goroutine.
type StateMachine struct {
	state Snapshot
	next  uint64
	gap   bool
	// gapFrom is the lowest offset past the gap: from there on all records are
	// at hand.
	gapFrom  uint64
	pending  []offsetRecord
	verdicts []Verdict
}

type offsetRecord struct {
	offset uint64
	unixMs int64
	record Record
}

// NewFolder returns a folder that has read nothing.
func NewStateMachine() *StateMachine { return &StateMachine{next: 1} }

// Next is the first offset not read yet.
func (f *StateMachine) NextOffset() uint64 { return f.next }

// Snapshot returns what is in force. AsOf speaks of decided records only.
func (f *StateMachine) Snapshot() Snapshot { return f.state }

// Undecided reports whether a gap keeps the folder from deciding.
func (f *StateMachine) Undecided() bool { return f.gap }

// TakeVerdicts returns the verdicts since the last call.
func (f *StateMachine) TakeVerdicts() []Verdict {
	v := f.verdicts
	f.verdicts = nil
	return v
}

// Read folds a page. Records that were read before are passed over.
func (f *StateMachine) Apply(page *external.Page) {
	if page.First > f.next {
		f.gap = true
		f.gapFrom = page.First
		f.pending = nil
		f.next = page.First
	}
	for _, r := range page.Records {
		if r.Offset < f.next {
			continue
		}
		f.next = r.Offset + 1
		var record Record
		if err := json.Unmarshal(r.Data, &record); err != nil {
			continue
		}
		f.fold(offsetRecord{r.Offset, r.UnixMs, record})
	}
	if !f.gap && f.next > 0 {
		f.state.AsOf = f.next - 1
	}
}

func (f *StateMachine) fold(r offsetRecord) {
	switch r.record.Type {
	case TypeRepublish:
		f.foldCarry(r)
	case TypePublish:
		if f.gap {
			f.pending = append(f.pending, r)
			return
		}
		f.foldPublish(r)
	}
}

func (f *StateMachine) foldCarry(r offsetRecord) {
	c, err := config.Parse("carried configuration", r.record.Text)
	if err != nil {
		return
	}
	f.Adopt(Snapshot{Version: r.record.Version, AsOf: r.record.AsOf, Text: r.record.Text, Config: c, NewestCopyMs: r.unixMs})
}

// Adopt takes what another process or a carry says was in force. An older
// version changes nothing. A statement from past a gap closes the gap.
func (f *StateMachine) Adopt(s Snapshot) {
	newer := s.Version > f.state.Version
	closesGap := f.gap && s.AsOf+1 >= f.gapFrom
	if newer {
		f.state.Version = s.Version
		f.state.Text = s.Text
		f.state.Config = s.Config
		f.state.NewestCopyMs = s.NewestCopyMs
	}
	if s.Version == f.state.Version {
		f.state.NewestCopyMs = max(f.state.NewestCopyMs, s.NewestCopyMs)
	}
	if newer && s.AsOf+1 > f.next {
		f.skipTo(s.AsOf)
		return
	}
	if closesGap && s.Version >= f.state.Version {
		f.closeGap(s.AsOf)
	}
}

// skipTo takes a statement about offsets not read yet: everything up to asOf
// is decided by it.
func (f *StateMachine) skipTo(asOf uint64) {
	f.next = asOf + 1
	f.gap = false
	f.pending = nil
	f.state.AsOf = asOf
}

func (f *StateMachine) closeGap(asOf uint64) {
	pending := f.pending
	f.gap = false
	f.pending = nil
	for _, r := range pending {
		if r.offset > asOf {
			f.foldPublish(r)
		}
	}
	f.state.AsOf = f.next - 1
}

func (f *StateMachine) foldPublish(r offsetRecord) {
	if r.offset <= f.state.Version {
		return
	}
	// A repeat of an append whose answer was lost has its own first copy as
	// the version in force, and its base is older: it loses and harms nothing.
	v := Verdict{Offset: r.offset, Nonce: r.record.Nonce, InForce: f.state.Version}
	if r.record.Base == f.state.Version {
		c, err := config.Parse("published configuration", r.record.Text)
		v.Err = err
		v.Accepted = err == nil
		if v.Accepted {
			f.state = Snapshot{Version: r.offset, AsOf: r.offset, Text: r.record.Text, Config: c, NewestCopyMs: r.unixMs}
			v.InForce = r.offset
		}
	}
	f.verdicts = append(f.verdicts, v)
}

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode configuration record")
}

// findNonce returns the verdict of a nonce; a repeated append has several, and
// the accepted one counts.
func findNonce(verdicts []Verdict, nonce string) (Verdict, bool) {
	mine := slices.DeleteFunc(slices.Clone(verdicts), func(v Verdict) bool { return v.Nonce != nonce })
	if len(mine) == 0 {
		return Verdict{}, false
	}
	for _, v := range mine {
		if v.Accepted {
			return v, true
		}
	}
	return mine[0], true
}
