// Package gateway assembles the entry and sidecar roles from the packages below it, for
// platforms that provide their own store, target list and operator interface.
//
// Persistent state is kept in the platform's store. An entry learns the estate, the targets
// and the wanted weights from the store or from its peers, and sends requests directly to
// targets. A sidecar monitors the engine on its host, reports the engine's state to the
// entries, and orders its weight loads.
package gateway

import (
	"context"
	"net/netip"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/holdings"
	"github.com/toucanwell/toucanwell/internal/gateway/lease"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Declaration is one decoded record of what operators declare: either an estate or the
// wanted weights of a model.
type Declaration struct {
	Estate *estate.Estate
	// Model and Version name the wanted weights.
	Model   string
	Version int64
}

// Platform adapts a platform's formats and calls to the gateway's types.
type Platform interface {
	// SetLogger sets the logger. It is called once, before all other methods.
	SetLogger(logger logr.Logger)
	// Declarations is the topic of operators' declarations, Targets the topic of the
	// platform's target list.
	Declarations() feed.Source
	Targets() feed.Source
	// DecodeDeclaration decodes a record of Declarations. It returns a zero Declaration for
	// records that the gateway does not use.
	DecodeDeclaration(r feed.Record) (Declaration, error)
	// DecodeTarget decodes a record of Targets.
	DecodeTarget(r feed.Record) (fleet.Listing, error)
	// NextToken returns a fencing token for a holder's orders. It is higher than all tokens
	// returned before.
	NextToken(ctx context.Context, holder string) (lease.Token, error)
	// Lease returns the newest record of the lease under which an entry gives orders to
	// engines without a sidecar. AcquireLease appends a record if the topic's end is still the
	// given offset. After an error the record may or may not have been appended.
	Lease(ctx context.Context) (lease.Record, error)
	AcquireLease(ctx context.Context, holder string, end uint64) (lease.Write, error)
	// QuarantineRecords returns the stored records of refused and released requests.
	// StoreQuarantineRecord replaces the record of a key.
	QuarantineRecords(ctx context.Context) ([][]byte, error)
	StoreQuarantineRecord(ctx context.Context, key string, record []byte) error
	// Engine returns the control interface of an engine.
	Engine(address netip.AddrPort) weights.Engine
	// Cache returns the feed of cache changes of an engine or of a store of cached parts.
	Cache(address netip.AddrPort) holdings.Feed
	// Protocol is the protocol of callers and targets.
	Protocol() wire.Protocol
	// BoundsTargetMemory reports whether the contracts in force bound the memory of targets, so that
	// requests must wait for it at the entries.
	BoundsTargetMemory(contracts []string) bool
	// ReadyPath is the HTTP path of the load balancer's readiness check.
	ReadyPath() string
	// Close closes idle connections.
	Close()
}
