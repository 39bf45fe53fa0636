// Package configlog distributes the operators' configuration through a stream of
// the platform's log.
//
// The stream is the input of a replicated state machine. A publish record names
// the base version that it was edited from. It is accepted if the base is the
// current version and the text is valid; its offset becomes the new version. Of
// two concurrent publishes the first in the log wins.
//
// Records expire after the log's retention, so processes republish the current
// version before its newest copy expires. Republishing never creates a version,
// and versions never decrease, so a late republish is harmless.
//
// A reader that missed records (a gap) cannot decide on publishes until a
// republish record or a peer provides a version from after the gap. Until then
// it keeps its current version.
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

// Record types.
const (
	TypePublish   RecordType = "publish"
	TypeRepublish RecordType = "carry"
)

// Record is one record of the stream.
type Record struct {
	Type RecordType `json:"type"`
	// Nonce identifies the append, to find it if the response is lost.
	Nonce string `json:"nonce"`
	// Base is the version that a publish was edited from; 0 for the first.
	Base uint64 `json:"base,omitempty"`
	// Version and AsOf are set in a republish.
	Version uint64 `json:"version,omitempty"`
	AsOf    uint64 `json:"as_of,omitempty"`
	Text    string `json:"text"`
}

// Snapshot is the configuration in force after the stream was applied up to AsOf.
type Snapshot struct {
	// Version is the offset of the accepted publish; 0 means none.
	Version uint64
	// AsOf is the last offset that was applied.
	AsOf uint64
	Text string
	// Config is the parsed text.
	Config *config.Config
	// NewestCopyMs is the log time of the newest known record with the text, or 0.
	NewestCopyMs int64
}

// Verdict is the result of a publish.
type Verdict struct {
	Offset   uint64
	Nonce    string
	Accepted bool
	// InForce is the version in force after the publish.
	InForce uint64
	// Err is why the text was rejected.
	Err error
}

// StateMachine applies the records of the stream. It is not safe for concurrent
// use.
type StateMachine struct {
	state      Snapshot
	nextOffset uint64
	gap        bool
	// gapFrom is the first offset after the gap. All records from there on are
	// available.
	gapFrom  uint64
	pending  []offsetRecord
	verdicts []Verdict
}

type offsetRecord struct {
	offset uint64
	unixMs int64
	record Record
}

// NewStateMachine returns a state machine without any records applied.
func NewStateMachine() *StateMachine { return &StateMachine{nextOffset: 1} }

// NextOffset returns the next offset to read.
func (m *StateMachine) NextOffset() uint64 { return m.nextOffset }

// Snapshot returns the configuration in force. Pending records are not included.
func (m *StateMachine) Snapshot() Snapshot { return m.state }

// Undecided reports whether publishes are pending because of a gap.
func (m *StateMachine) Undecided() bool { return m.gap }

// TakeVerdicts returns the verdicts since the previous call.
func (m *StateMachine) TakeVerdicts() []Verdict {
	v := m.verdicts
	m.verdicts = nil
	return v
}

// Apply applies a page of records. It skips records that were already applied.
func (m *StateMachine) Apply(page *external.Page) {
	if page.First > m.nextOffset {
		m.gap = true
		m.gapFrom = page.First
		m.pending = nil
		m.nextOffset = page.First
	}
	for _, r := range page.Records {
		if r.Offset < m.nextOffset {
			continue
		}
		m.nextOffset = r.Offset + 1
		var record Record
		if err := json.Unmarshal(r.Data, &record); err != nil {
			continue
		}
		m.applyRecord(offsetRecord{r.Offset, r.UnixMs, record})
	}
	if !m.gap && m.nextOffset > 0 {
		m.state.AsOf = m.nextOffset - 1
	}
}

func (m *StateMachine) applyRecord(r offsetRecord) {
	switch r.record.Type {
	case TypeRepublish:
		m.applyRepublish(r)
	case TypePublish:
		if m.gap {
			m.pending = append(m.pending, r)
			return
		}
		m.applyPublish(r)
	}
}

func (m *StateMachine) applyRepublish(r offsetRecord) {
	c, err := config.Parse("republished configuration", r.record.Text)
	if err != nil {
		return
	}
	m.Adopt(Snapshot{Version: r.record.Version, AsOf: r.record.AsOf, Text: r.record.Text, Config: c, NewestCopyMs: r.unixMs})
}

// Adopt installs the snapshot of a peer or of a republish record. Older versions
// are ignored. A snapshot from after a gap closes the gap.
func (m *StateMachine) Adopt(s Snapshot) {
	newer := s.Version > m.state.Version
	closesGap := m.gap && s.AsOf+1 >= m.gapFrom
	if newer {
		m.state.Version = s.Version
		m.state.Text = s.Text
		m.state.Config = s.Config
		m.state.NewestCopyMs = s.NewestCopyMs
	}
	if s.Version == m.state.Version {
		m.state.NewestCopyMs = max(m.state.NewestCopyMs, s.NewestCopyMs)
	}
	if newer && s.AsOf+1 > m.nextOffset {
		m.skipTo(s.AsOf)
		return
	}
	if closesGap && s.Version >= m.state.Version {
		m.closeGap(s.AsOf)
	}
}

// skipTo advances past offsets that an adopted snapshot covers.
func (m *StateMachine) skipTo(asOf uint64) {
	m.nextOffset = asOf + 1
	m.gap = false
	m.pending = nil
	m.state.AsOf = asOf
}

func (m *StateMachine) closeGap(asOf uint64) {
	pending := m.pending
	m.gap = false
	m.pending = nil
	for _, r := range pending {
		if r.offset > asOf {
			m.applyPublish(r)
		}
	}
	m.state.AsOf = m.nextOffset - 1
}

func (m *StateMachine) applyPublish(r offsetRecord) {
	if r.offset <= m.state.Version {
		return
	}
	// A repeated append is rejected because its first copy is the version in
	// force.
	v := Verdict{Offset: r.offset, Nonce: r.record.Nonce, InForce: m.state.Version}
	if r.record.Base == m.state.Version {
		c, err := config.Parse("published configuration", r.record.Text)
		v.Err = err
		v.Accepted = err == nil
		if v.Accepted {
			m.state = Snapshot{Version: r.offset, AsOf: r.offset, Text: r.record.Text, Config: c, NewestCopyMs: r.unixMs}
			v.InForce = r.offset
		}
	}
	m.verdicts = append(m.verdicts, v)
}

// Encode returns the encoding of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode configuration record")
}

// verdictFor returns the verdict of the publish with the nonce. If the append was
// repeated, it prefers the accepted one.
func verdictFor(verdicts []Verdict, nonce string) (Verdict, bool) {
	matching := slices.DeleteFunc(slices.Clone(verdicts), func(v Verdict) bool { return v.Nonce != nonce })
	if len(matching) == 0 {
		return Verdict{}, false
	}
	for _, v := range matching {
		if v.Accepted {
			return v, true
		}
	}
	return matching[0], true
}
