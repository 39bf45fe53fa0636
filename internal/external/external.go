// Package external defines the interfaces to the platform's log and host list, to
// engines and to plain services, with HTTP clients for them.
package external

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

// ErrNotSent marks errors of calls that were not sent and thus had no effect.
var ErrNotSent = errors.New("call not sent")

// Record is a record of a log stream.
type Record struct {
	// Offset of the record in its stream. Offsets increase.
	Offset uint64 `json:"offset"`
	// UnixMs is the time of the append by the log's clock.
	UnixMs int64 `json:"unix_ms"`
	// Data is the content of the record.
	Data []byte `json:"data"`
}

// Page is a range of a stream.
type Page struct {
	// First is the oldest offset that the log has.
	First uint64 `json:"first"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
	// Records from the requested offset on.
	Records []Record `json:"records"`
}

// Log is the platform's append-only log. After an error of Append other than
// ErrNotSent, the record may have been appended.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64) (*Page, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host. A host that is not listed has been removed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list, which lags behind. Name is the name
// of a target.
type Host struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// Hosts is the platform's list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// GenerateRequest is a request for a completion by an engine.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	// TextSoFar is the text generated so far, in the frames up to From-1.
	TextSoFar string `json:"text_so_far,omitempty"`
	From      uint64 `json:"from"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// Blocks are the chained hashes of the prompt's full blocks. The engine's cache
	// events identify blocks by these hashes.
	Blocks       []uint64 `json:"blocks"`
	BlockTokens  int      `json:"block_tokens"`
	PromptTokens int      `json:"prompt_tokens"`
	Weights      string   `json:"weights"`
	Adapter      string   `json:"adapter,omitempty"`
}

// Token is an event of an engine's stream.
type Token struct {
	Seq  uint64 `json:"seq"`
	Text string `json:"text,omitempty"`
	// End marks the last event of a complete stream.
	End          bool   `json:"end,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	// Incarnation of the engine that generated it.
	Incarnation string `json:"incarnation,omitempty"`
}

// EventKind is the kind of a cache event.
type EventKind string

// Kinds of cache event.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// CacheEvent reports blocks that an engine stored or evicted.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Kind   EventKind `json:"kind"`
	Blocks []uint64  `json:"blocks,omitempty"`
}

// EventPage is a range of an engine's event stream.
type EventPage struct {
	Incarnation string       `json:"incarnation"`
	First       uint64       `json:"first"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
}

// EngineStatus is an engine's report of its load and weights. It may be outdated.
type EngineStatus struct {
	Incarnation string `json:"incarnation"`
	// Weights loaded now; empty while loading.
	Weights string `json:"weights"`
	Loading bool   `json:"loading"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// LoadOrder is an order to an engine to load weights. Fence is the fencing number.
type LoadOrder struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	Fence   uint64 `json:"fence"`
}

// ErrUnknownStream is returned if an engine has no stream for the request.
var ErrUnknownStream = errors.New("unknown stream")

// ErrStaleFence is returned if an engine refused the fencing number of an order.
var ErrStaleFence = errors.New("stale fencing number")

// ErrWrongWeights is returned if an engine does not have the requested weights.
var ErrWrongWeights = errors.New("wrong weights")

// TokenStream is a stream of engine events. Next returns io.EOF after the end mark
// and another error if the stream breaks before it.
type TokenStream interface {
	Next() (Token, error)
	Close() error
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, req *GenerateRequest) (TokenStream, error)
	// Resume continues a stream at a sequence number, or fails with
	// ErrUnknownStream.
	Resume(ctx context.Context, requestID string, from uint64) (TokenStream, error)
	Cancel(ctx context.Context, requestID string) error
	Events(ctx context.Context, from uint64) (*EventPage, error)
	Status(ctx context.Context) (*EngineStatus, error)
	LoadWeights(ctx context.Context, order LoadOrder) error
}

// PlainRequest is a call of a plain service.
type PlainRequest struct {
	Path        string
	ContentType string
	Body        []byte
	// RequestID and Key are sent as headers.
	RequestID string
	Key       string
	Timeout   time.Duration
	// Memory is what the response takes its memory from, and Call does not release; nil for no bound.
	Memory *buffers.Share
}

// PlainResponse is the response of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is for how long a service that turned the call away wants no others; zero if it
	// does not say so.
	RetryAfter time.Duration
}

// Plain is a plain service. After an error other than ErrNotSent, the call may have
// taken effect.
type Plain interface {
	Call(ctx context.Context, req *PlainRequest) (*PlainResponse, error)
}
