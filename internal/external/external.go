// Package external holds the interfaces to what the platform gives (its log,
// its list of hosts, engines and plain services) and HTTP clients for them. A
// test bench takes the stand-ins' place by the addresses in the settings.
package external

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent says that a call certainly had no effect: it never left.
var ErrNotSent = errors.New("call not sent")

// Record is one record of a log stream.
type Record struct {
	// Offset of the record in its stream; offsets only grow.
	Offset uint64 `json:"offset"`
	// UnixMs is the log's time of the append.
	UnixMs int64 `json:"unix_ms"`
	// Data is what was appended.
	Data []byte `json:"data"`
}

// Page is a piece of a stream.
type Page struct {
	// First is the oldest offset that the log still keeps.
	First uint64 `json:"first"`
	// Next is the offset that the next append will get.
	Next uint64 `json:"next"`
	// Records from the asked offset on.
	Records []Record `json:"records"`
}

// Log is the platform's append-only log. An error of Append other than
// ErrNotSent leaves open whether the record was appended.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64) (*Page, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The states of a host. A host that the list leaves out is gone.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a row of the platform's lagging list; Name is a target's name.
type Host struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// Hosts is the platform's list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// GenerateRequest asks an engine for a completion.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	// TextSoFar is text generated before, to be continued; its frames are
	// numbered up to From-1.
	TextSoFar string `json:"text_so_far,omitempty"`
	From      uint64 `json:"from"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// Blocks are the chained hashes of the prompt's whole blocks; the engine's
	// cache events name blocks by them.
	Blocks       []uint64 `json:"blocks"`
	BlockTokens  int      `json:"block_tokens"`
	PromptTokens int      `json:"prompt_tokens"`
	Weights      string   `json:"weights"`
	Adapter      string   `json:"adapter,omitempty"`
}

// Token is one event of an engine's stream.
type Token struct {
	Seq  uint64 `json:"seq"`
	Text string `json:"text,omitempty"`
	// End marks the last event of a whole stream.
	End          bool   `json:"end,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	// Incarnation of the engine that generated it.
	Incarnation string `json:"incarnation,omitempty"`
}

// EventKind is the kind of a cache event.
type EventKind string

// The kinds of cache event.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// CacheEvent tells of blocks that an engine stored or evicted.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Kind   EventKind `json:"kind"`
	Blocks []uint64  `json:"blocks,omitempty"`
}

// EventPage is a piece of an engine's event stream.
type EventPage struct {
	Incarnation string       `json:"incarnation"`
	First       uint64       `json:"first"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
}

// Load is an engine's lagging report.
type EngineStatus struct {
	Incarnation string `json:"incarnation"`
	// Weights loaded now; empty while loading.
	Weights string `json:"weights"`
	Loading bool   `json:"loading"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// Order tells an engine to load weights. Fence is the fencing number.
type LoadOrder struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	Fence   uint64 `json:"fence"`
}

// ErrUnknownStream says that an engine has no stream of that request.
var ErrUnknownStream = errors.New("unknown stream")

// ErrStaleFence says that an engine refused an order's fencing number.
var ErrStaleFence = errors.New("stale fencing number")

// ErrWrongWeights says that an engine does not have the weights asked for.
var ErrWrongWeights = errors.New("wrong weights")

// TokenStream yields an engine's events. An error before the end mark means
// that the stream was cut; Next returns io.EOF only after the end mark.
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

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	Path        string
	ContentType string
	Body        []byte
	// RequestID and Key are sent as headers.
	RequestID string
	Key       string
	Timeout   time.Duration
}

// PlainResponse is a plain service's answer.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Plain is a plain service. An error that is not ErrNotSent leaves open
// whether the call took effect.
type Plain interface {
	Call(ctx context.Context, req *PlainRequest) (*PlainResponse, error)
}
