// Package trace reads, writes and generates traces of requests.
//
// A trace is JSON lines. timestamp, input_length, output_length and hash_ids
// are those of the published Mooncake format; the other fields are additions.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"iter"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/config"
)

// Record is one request.
type Record struct {
	// Timestamp is milliseconds since the start of the trace.
	Timestamp int64 `json:"timestamp"`
	// InputLength and OutputLength are in tokens.
	InputLength  int `json:"input_length"`
	OutputLength int `json:"output_length"`
	// HashIDs name the whole blocks of the prompt by chained hashes, so that
	// two prompts share an id only when they share all blocks up to it.
	HashIDs []uint64 `json:"hash_ids"`
	// BlockTokens is the size of a block.
	BlockTokens int `json:"block_tokens"`
	// PrefixLevels are the lengths in blocks of the nested shared prefixes,
	// outermost first.
	PrefixLevels []int  `json:"prefix_levels"`
	Service      string `json:"service"`
	Workspace    string `json:"workspace"`
	Class        string `json:"class"`
	Idempotent   bool   `json:"idempotent"`
	// DeadlineMs bounds the time to first token.
	DeadlineMs int64 `json:"deadline_ms"`
}

const maxLine = 4 << 20

// Check reports what is wrong with a record.
func (r *Record) Validate() error {
	switch {
	case r.Timestamp < 0:
		return errors.Newf("timestamp: %d found; allowed are 0 and above", r.Timestamp)
	case r.InputLength <= 0:
		return errors.Newf("input_length: %d found; allowed are numbers above 0", r.InputLength)
	case r.OutputLength <= 0:
		return errors.Newf("output_length: %d found; allowed are numbers above 0", r.OutputLength)
	case r.BlockTokens <= 0:
		return errors.Newf("block_tokens: %d found; allowed are numbers above 0", r.BlockTokens)
	case len(r.HashIDs) > (r.InputLength+r.BlockTokens-1)/r.BlockTokens:
		return errors.Newf("hash_ids: %d found; a prompt of %d tokens has fewer blocks", len(r.HashIDs), r.InputLength)
	}
	last := 0
	for _, level := range r.PrefixLevels {
		if level < last || level > len(r.HashIDs) {
			return errors.Newf("prefix_levels: %v found; allowed are growing numbers up to %d", r.PrefixLevels, len(r.HashIDs))
		}
		last = level
	}
	if _, ok := config.ParseClass(r.Class); !ok {
		return errors.Newf("class: %q found", r.Class)
	}
	return nil
}

// LevelKeys returns the name of each nested prefix: the id of its last block.
func (r *Record) LevelKeys(keys []uint64) []uint64 {
	keys = keys[:0]
	for _, level := range r.PrefixLevels {
		if level > 0 {
			keys = append(keys, r.HashIDs[level-1])
		}
	}
	return keys
}

// Read yields the records of a trace. It stops at the first bad line and
// yields the error with the line's number.
func Read(in io.Reader) iter.Seq2[Record, error] {
	return func(yield func(Record, error) bool) {
		lines := bufio.NewScanner(in)
		lines.Buffer(make([]byte, 0, 64<<10), maxLine)
		for n := 1; lines.Scan(); n++ {
			if len(lines.Bytes()) == 0 {
				continue
			}
			var r Record
			err := json.Unmarshal(lines.Bytes(), &r)
			if err == nil {
				err = r.Validate()
			}
			if err != nil {
				yield(Record{}, errors.Wrapf(err, "line %d", n))
				return
			}
			if !yield(r, nil) {
				return
			}
		}
		if err := lines.Err(); err != nil {
			yield(Record{}, errors.Wrap(err, "read trace"))
		}
	}
}

// Write writes records as JSON lines.
func Write(out io.Writer, records iter.Seq[Record]) error {
	buffered := bufio.NewWriter(out)
	enc := json.NewEncoder(buffered)
	for r := range records {
		if err := enc.Encode(&r); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return errors.Wrap(buffered.Flush(), "write trace")
}
