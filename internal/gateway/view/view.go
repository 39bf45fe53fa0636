// Package view defines the immutable snapshot of a process's control state that the request
// path reads. The control thread publishes a new View after each change.
package view

import (
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// EngineReport is the last report of an engine's sidecar.
type EngineReport struct {
	Service string
	Address netip.AddrPort
	Zone    string
	Weights map[string]int64
	Phase   weights.Phase
	// PhaseSince is when the first report with this phase was received.
	PhaseSince time.Time
	// Running and Queued are the engine's own counts of requests.
	Running, Queued int
	// StartedAfter is when the sidecar last saw another incarnation at the address; zero if it
	// has seen none.
	StartedAfter time.Time
	// AsOf is the time as of which the report holds.
	AsOf time.Time
}

// Knowledge names the newest record of a topic that a process has, for logs.
type Knowledge struct {
	// At is the record's position, as text.
	At string
	// Source is where it came from: the store, or a peer's address.
	Source string
}

// View is an immutable snapshot of a process's control state.
type View struct {
	// Declared is the newest record of the operators' topic, Listed that of the target list.
	Declared, Listed Knowledge
	Estate           *estate.Estate
	// RawEstate is the platform's record from which Estate was parsed.
	RawEstate []byte
	// EstateCurrentAt is when the replica of the operators' topic was last current.
	EstateCurrentAt time.Time
	// EstateConfirmedBy is from where the process last learned that: the store, or a peer's address.
	EstateConfirmedBy string
	// Targets by service, as of TargetsCurrentAt.
	Targets          map[string][]fleet.Target
	TargetsCurrentAt time.Time
	// SingleVersions holds the software version of each service whose targets all have the same.
	SingleVersions map[string]fleet.SingleVersion
	// Engines holds the recent reports of engines' sidecars.
	Engines map[fleet.Incarnation]EngineReport
	// Unresponsive holds the addresses of engines that do not respond to their own sidecars.
	Unresponsive map[netip.AddrPort]bool
	// Wanted is the history of wanted weight versions by model.
	Wanted map[string]weights.History
	// LargeFleet is set when sidecars do not broadcast to all entries. Entries then query the
	// sidecars of the engines that they consider.
	LargeFleet bool
	// EntryCount is the number of live entries, including this process if it is one. EntryRank
	// is the number of those that precede it by address and are not leaving.
	EntryCount, EntryRank int
	// Stopping is set while the process shuts down. OtherEntryAt is then when another entry is
	// expected to accept callers; zero if one does.
	Stopping     bool
	OtherEntryAt time.Time
}

// Version returns the version of a model's weights at a target, from its sidecar's report or,
// without one, from the list.
func (v *View) Version(t *fleet.Target, model string) int64 {
	if report, ok := v.Engines[t.Incarnation]; ok {
		if version, ok := report.Weights[model]; ok {
			return version
		}
	}
	return t.Weights[model]
}

// Phase returns the phase of loading weights that the target's sidecar last reported.
func (v *View) Phase(t *fleet.Target) weights.Phase { return v.Engines[t.Incarnation].Phase }
