package gateway

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/lease"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// deputyPeriod is how often an entry looks whether engines without a sidecar lack
	// weights.
	deputyPeriod = 250 * time.Millisecond
	// sidecarsHeard is the time after a start in which some sidecar is heard where there
	// are any: each sends to every entry within a few seconds.
	sidecarsHeard = 6 * time.Second
	// leaseTimeout bounds a call for the lease.
	leaseTimeout = time.Second
)

// deputy gives orders in place of sidecars in deployments whose engines' hosts have no
// room for one. It gives none once it has heard a single sidecar: that one's engine, and
// those of others that are only silent, have holders of their own.
//
// One entry at a time does, by a lease in the platform's store: two that order the same
// engine would each undo what the other knows of it. Its fencing token is higher than
// those of all holders before it, so that engines that check tokens refuse what an earlier
// one sent.
//
// The failure guarded against: operators name new weights, nobody orders them, and every
// engine becomes too old to be used: all prompts are refused.
type deputy struct {
	process   *process
	startedAt time.Time
	lease     *lease.Lease
	orders    *weights.RemoteController
	// token of the present hold; zero until it is fetched.
	token    uint64
	fetching bool
	engines  map[netip.AddrPort]weights.Engine
	// relieved is set once a sidecar was heard.
	relieved bool
}

func newDeputy(p *process) *deputy {
	holder := p.settings.Name + "/" + strconv.FormatUint(p.incarnation, 16)
	return &deputy{
		process: p, lease: lease.New(holder), engines: map[netip.AddrPort]weights.Engine{},
		orders: weights.NewRemoteController(p.loop, p.settings.Name, p.logger, p.clock.Now, func(o weights.Outcome) { p.metrics.WeightsOrder(o.String()) }),
	}
}

func (d *deputy) start() {
	d.startedAt = d.process.clock.Now()
	d.process.loop.Every(func() time.Duration { return deputyPeriod }, d.step)
}

// step runs on the control thread.
func (d *deputy) step() {
	now := d.process.clock.Now()
	b := d.process.beliefs
	d.relieved = d.relieved || len(b.mesh.Live(false)) > 0
	if d.relieved || b.estate == nil || b.stopping || now.Sub(d.startedAt) < sidecarsHeard {
		return
	}
	for model, history := range b.wanted {
		engines := d.enginesOf(model)
		wanted := history.Newest()
		if !d.orders.AnyStale(engines, model, wanted) {
			continue
		}
		if b.entriesBefore() == 0 || d.lease.Held(now) {
			d.hold(now)
		}
		if d.lease.Held(now) && d.token > 0 && d.process.clock.SinceResume() > freshAfter {
			d.orders.Step(engines, model, wanted, d.token)
		}
	}
	if !d.lease.Held(now) {
		d.token = 0
	}
}

// enginesOf returns the engines that serve a model.
func (d *deputy) enginesOf(model string) []weights.RemoteEngine {
	b := d.process.beliefs
	v, ok := b.view.Get()
	if !ok {
		return nil
	}
	var found []weights.RemoteEngine
	for _, targets := range v.Targets {
		for i := range targets {
			t := &targets[i]
			if _, serves := t.Weights[model]; !serves || t.Leaving || t.Unconfirmed {
				continue
			}
			found = append(found, weights.RemoteEngine{Incarnation: t.Incarnation, Engine: d.engineAt(t.Address), Versions: t.Weights})
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

// hold takes or keeps the lease.
func (d *deputy) hold(now time.Time) {
	switch d.lease.Next(now) {
	case lease.ReadRecord:
		control.Do(d.process.loop, leaseTimeout, d.process.platform.Lease, func(r lease.Record, err error) {
			d.lease.ReadDone(r, err, d.process.clock.Now())
		})
	case lease.WriteRecord:
		d.write()
	case lease.Wait:
	}
	if d.lease.Held(now) && d.token == 0 {
		d.fetchToken()
	}
}

func (d *deputy) write() {
	holder, end := d.lease.Holder(), d.lease.NextOffset()
	type result struct {
		offset uint64
		added  bool
	}
	control.Do(d.process.loop, leaseTimeout, func(ctx context.Context) (result, error) {
		offset, added, err := d.process.platform.AcquireLease(ctx, holder, end)
		return result{offset, added}, err
	}, func(r result, err error) {
		now := d.process.clock.Now()
		held := d.lease.Held(now)
		d.lease.WriteDone(r.offset, r.added, err, now)
		if d.lease.Held(now) != held {
			d.process.logger.Info("order_lease", "held", d.lease.Held(now), "offset", r.offset, "added", r.added, "end", end)
		}
	})
}

// fetchToken gets the token of this hold.
func (d *deputy) fetchToken() {
	if d.fetching {
		return
	}
	d.fetching = true
	control.Do(d.process.loop, tokenTimeout, func(ctx context.Context) (uint64, error) {
		return d.process.platform.NextToken(ctx, d.process.settings.Name)
	}, func(token uint64, err error) {
		d.fetching = false
		if err != nil {
			d.process.logger.Info("token_failed", "error", err.Error())
			return
		}
		if d.lease.Held(d.process.clock.Now()) {
			d.token = token
			d.process.logger.Info("token_taken", "token", token)
		}
	})
}
