// Package view holds what traffic goes by: an immutable picture of all beliefs
// of a process, made anew by the control thread when one of them changes.
package view

import (
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// EngineWord is what an engine's sidecar said last.
type EngineReport struct {
	Service string
	Address netip.AddrPort
	Zone    string
	Weights map[string]int64
	Phase   weights.Phase
	// PhaseSince is when the phase began, as heard.
	PhaseSince time.Time
	// Running and Queued are the engine's own counts.
	Running, Queued int
	// BeganAfter is when the sidecar last saw another life at the address; zero when it
	// has seen none.
	StartedAfter time.Time
	ReceivedAt   time.Time
}

// View is one picture. It does not change.
type View struct {
	Estate *estate.Estate
	// EstateText is the platform's record that the estate was read from.
	RawEstate []byte
	// DeclaredAt is when what operators declare was last known to be complete.
	EstateCurrentAt time.Time
	// Targets by service, as the list was at ListedAt.
	Targets          map[string][]fleet.Target
	TargetsCurrentAt time.Time
	// Engines by life, for those whose sidecars were heard lately.
	Engines map[fleet.Incarnation]EngineReport
	// Silent are the addresses of engines that do not answer their own sidecars.
	Unresponsive map[netip.AddrPort]bool
	// Wanted versions by model.
	Wanted map[string]weights.History
	// Large fleets do not tell all entries of all engines: entries ask the sidecars of
	// the engines that they consider.
	LargeFleet bool
	// Entries is how many entries live, this one included, and EntriesBefore how many of them
	// come before it in the order of their names.
	EntryCount, EntryRank int
	// Stopping is set when the process ends soon; EndsAt is when, and PicksFrom
	// is from when on it takes only requests that will have ended by then.
	Stopping                  bool
	SelectiveFrom, ShutdownAt time.Time
}

// Version returns the weights of a model that a target has: as its sidecar
// says, else as the lagging list shows.
func (v *View) Version(t *fleet.Target, model string) int64 {
	if word, ok := v.Engines[t.Incarnation]; ok {
		if version, ok := word.Weights[model]; ok {
			return version
		}
	}
	return t.Weights[model]
}

// Phase is what a target's sidecar said that it does about weights.
func (v *View) Phase(t *fleet.Target) weights.Phase { return v.Engines[t.Incarnation].Phase }
