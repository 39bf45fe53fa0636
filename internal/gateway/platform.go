// Package gateway is the product on a platform that brings its own store, its
// own list of targets and its own way for operators to speak: the roles entry
// and sidecar, put together from the packages below this one.
//
// What must last lies in the platform's store. An entry knows the estate, the
// targets and the wanted weights from there or from its peers, and sends
// requests straight to targets. A sidecar watches the engine beside it, tells
// the entries of it, and gives it its orders.
package gateway

import (
	"context"
	"net/netip"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/holdings"
	"github.com/toucanwell/toucanwell/internal/gateway/lease"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Declaration is one record of what operators declare; one field is set.
type Declaration struct {
	Estate *estate.Estate
	// Model and Version name the weights that a model is to have.
	Model   string
	Version int64
}

// Platform is what an adapter offers: the platform's formats and calls in the
// product's types.
type Platform interface {
	// Operators is the topic of what operators declare, Targets that of the
	// platform's list of targets.
	Declarations() feed.Source
	Targets() feed.Source
	// ReadDeclaration decodes a record of Operators. A record that is none of the
	// product's business gives a zero Declaration.
	DecodeDeclaration(r feed.Record) (Declaration, error)
	// ReadTarget decodes a record of Targets.
	DecodeTarget(r feed.Record) (fleet.Listing, error)
	// Token returns a new fencing token for a holder's orders: a number higher
	// than all before it.
	NextToken(ctx context.Context, holder string) (uint64, error)
	// Lease returns the newest record of the lease for orders to engines without a
	// sidecar; TakeLease adds one where its topic still ends at an offset, and reports
	// whether it was added. An error leaves that open.
	Lease(ctx context.Context) (lease.Record, error)
	AcquireLease(ctx context.Context, holder string, end uint64) (offset uint64, added bool, err error)
	// Quarantined returns the stored records of requests that are refused, or were let go;
	// KeepQuarantined stores one in place of an earlier one of the same key.
	QuarantineRecords(ctx context.Context) ([][]byte, error)
	StoreQuarantineRecord(ctx context.Context, key string, record []byte) error
	// Engine returns the control side of an engine.
	Engine(address netip.AddrPort) weights.Engine
	// Cache tells what an engine, or a store of cached parts, holds.
	Cache(address netip.AddrPort) holdings.Feed
	// Protocol is what callers and targets speak.
	Protocol() wire.Protocol
	// ReadyPath is where the balancer asks whether an entry takes callers.
	ReadyPath() string
	// Close ends the connections that no call uses.
	Close()
}
