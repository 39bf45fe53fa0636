package gateway

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/lease"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// deputyPeriod is how often an entry checks for engines with outdated weights.
	deputyPeriod = 250 * time.Millisecond
	// sidecarDiscoveryTime is the time after the start within which an entry receives a
	// heartbeat if there are any sidecars.
	sidecarDiscoveryTime = 6 * time.Second
	// sidecarAbsence is how long an entry that has seen sidecars must have known of none on an engine's
	// host. It exceeds the time in which processes and hosts start again.
	sidecarAbsence = 10 * time.Second
	// leaseTimeout limits a call to the store for the lease.
	leaseTimeout = time.Second
)

// deputy orders weight loads for engines without a sidecar. Without it these would keep outdated weights,
// and prompts would be refused in the end. In deployments without sidecars it orders all loads. Once the
// entry has seen a sidecar, it orders loads only on hosts on which it has never seen one, and only once an
// engine's weights are as outdated as the deployment allows: a sidecar that is away for a moment orders the
// loads of its own engine.
//
// A lease in the platform's store ensures that one entry at a time gives orders. The
// holder's fencing token is higher than those of earlier holders, so that engines that
// check tokens reject late orders of an earlier holder.
type deputy struct {
	process    *process
	startedAt  time.Time
	lease      *lease.Lease
	controller *weights.RemoteController
	// token is the number of the fencing token of the current lease; zero until it is fetched.
	token    uint64
	fetching bool
	engines  map[netip.AddrPort]weights.Engine
	// sidecarHosts are the hosts on which the entry has seen a live sidecar.
	sidecarHosts map[netip.Addr]bool
}

func newDeputy(p *process) *deputy {
	holder := p.settings.Name + "/" + strconv.FormatUint(p.incarnation, 16)
	return &deputy{
		process: p, lease: lease.New(holder), engines: map[netip.AddrPort]weights.Engine{}, sidecarHosts: map[netip.Addr]bool{},
		controller: weights.NewRemoteController(p.loop, p.settings.Name, p.logger, p.clock.Now, func(o weights.Outcome) { p.metrics.WeightsOrder(o.String()) }),
	}
}

func (d *deputy) start() {
	d.startedAt = d.process.clock.Now()
	d.process.loop.Every(func() time.Duration { return deputyPeriod }, d.step)
}

// step checks all models and orders the loads that are due. It runs on the control thread.
func (d *deputy) step() {
	now := d.process.clock.Now()
	state := d.process.state
	if state.estate != nil && d.lease.ObserveEra(state.era, now) {
		d.process.logger.Info("order_lease", "held", false, "era", uint64(state.era), "blocked_for", lease.TakeoverAfter)
	}
	for _, m := range state.mesh.Live(false) {
		d.sidecarHosts[m.Address.Addr()] = true
	}
	if !d.mayOrder(now) {
		return
	}
	for model, history := range state.wantedWeights {
		engines := slices.DeleteFunc(d.enginesOf(model), func(e weights.RemoteEngine) bool {
			return d.isLeftToSidecar(&e, history.StaleFor(e.Versions[model], now))
		})
		wanted := history.Newest()
		if !d.controller.AnyStale(engines, model, wanted) {
			continue
		}
		if state.entryRank() == 0 || d.lease.Held(now) {
			d.maintainLease(now)
		}
		if d.lease.Held(now) && d.token > 0 && d.process.clock.SinceResume() > resumeSettleTime {
			d.controller.Step(engines, model, wanted, d.token)
		}
	}
	if !d.lease.Held(now) {
		d.token = 0
	}
}

// mayOrder reports whether the entry may give orders to any engine. In fleets whose sidecars it does not all
// hear it can't tell which engines have none.
func (d *deputy) mayOrder(now time.Time) bool {
	state, knownFor := d.process.state, now.Sub(d.startedAt)
	if state.estate == nil || state.stopping || knownFor < sidecarDiscoveryTime {
		return false
	}
	return len(d.sidecarHosts) == 0 || !state.large.Load() && knownFor >= sidecarAbsence
}

// isLeftToSidecar reports whether the load of an engine whose weights are outdated for some time is left to
// a sidecar.
func (d *deputy) isLeftToSidecar(e *weights.RemoteEngine, staleFor time.Duration) bool {
	if len(d.sidecarHosts) == 0 {
		return false
	}
	return d.sidecarHosts[e.Address.Addr()] || staleFor < d.process.settings.Bounds.MaxStaleness.Duration
}

// enginesOf returns the engines that serve a model.
func (d *deputy) enginesOf(model string) []weights.RemoteEngine {
	state := d.process.state
	v, ok := state.view.Get()
	if !ok {
		return nil
	}
	var found []weights.RemoteEngine
	leaving := d.process.entry.pushback.Leaving(d.process.clock.Now())
	for _, targets := range v.Targets {
		for i := range targets {
			t := &targets[i]
			if _, serves := t.Weights[model]; !serves || t.Leaving || leaving[t.ID] || t.Unconfirmed {
				continue
			}
			found = append(found, weights.RemoteEngine{Incarnation: t.Incarnation, Address: t.Address, Engine: d.engineAt(t.Address), Versions: t.Weights})
		}
	}
	return found
}

func (d *deputy) engineAt(address netip.AddrPort) weights.Engine {
	if d.engines[address] == nil {
		d.engines[address] = d.process.platform.Engine(address)
	}
	return d.engines[address]
}

// maintainLease acquires or renews the lease.
func (d *deputy) maintainLease(now time.Time) {
	switch d.lease.Next(now) {
	case lease.ReadRecord:
		control.Do(d.process.loop, leaseTimeout, d.process.platform.Lease, func(r lease.Record, err error) {
			d.lease.ReadDone(r, err, d.process.clock.Now())
		})
	case lease.WriteRecord:
		d.writeLease()
	case lease.Wait:
	}
	if d.lease.Held(now) && d.token == 0 {
		d.fetchToken()
	}
}

func (d *deputy) writeLease() {
	holder, end := d.lease.Holder(), d.lease.NextOffset()
	control.Do(d.process.loop, leaseTimeout, func(ctx context.Context) (lease.Write, error) {
		return d.process.platform.AcquireLease(ctx, holder, end)
	}, func(w lease.Write, err error) {
		now := d.process.clock.Now()
		held := d.lease.Held(now)
		d.lease.WriteDone(w, err, now)
		if d.lease.Held(now) != held {
			d.process.logger.Info("order_lease", "held", d.lease.Held(now), "at", w.At.String(), "added", w.Appended, "end", end)
		}
	})
}

// fetchToken fetches the fencing token for the current lease.
func (d *deputy) fetchToken() {
	if d.fetching {
		return
	}
	d.fetching = true
	control.Do(d.process.loop, tokenTimeout, func(ctx context.Context) (lease.Token, error) {
		return d.process.platform.NextToken(ctx, d.process.settings.Name)
	}, func(token lease.Token, err error) {
		d.fetching = false
		if err != nil {
			d.process.logger.Info("token_failed", "error", err.Error())
			return
		}
		if d.lease.Held(d.process.clock.Now()) && token.At.Era >= d.process.state.era {
			d.token = token.Number()
			d.process.logger.Info("token_taken", "token", d.token, "at", token.At.String())
		}
	})
}
