package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// scopeAt is the cache scope of the request at weights of a version.
func (fl *flow) scopeAt(version int64) string {
	isolated := ""
	if fl.workspace != nil && fl.workspace.Isolated {
		isolated = fl.workspace.Name
	}
	return parts.Scope(fl.request.Model, version, isolated)
}

// addParts fills in what a candidate holds of the prompt, and from where it can
// fetch the rest.
func (fl *flow) addParts(c *placement.Candidate, t *fleet.Target, kept time.Duration) {
	keys := parts.Keys(fl.scopeAt(c.Version), fl.request.Parts)
	now := fl.Now()
	for i, k := range keys {
		state, used := fl.Parts.At(k, t.ID, now)
		if state != parts.Held || now.Sub(used) > kept {
			break
		}
		c.Held += fl.request.Parts[i].Tokens
	}
	fl.addStore(c, t, keys)
	fl.addPeers(c, t, keys, kept)
}

// addStore offers the prompt's store of cached parts as a source, also when it
// is not known to hold any: it holds parts for longer than they are remembered
// here, and asking for one that it lacks costs a millisecond.
func (fl *flow) addStore(c *placement.Candidate, t *fleet.Target, keys []parts.Key) {
	s := fl.storeOf(keys)
	if s == nil {
		return
	}
	c.Source, c.SourceNear = s.Store.Address, s.Store.Zone == t.Zone
	for i, k := range keys {
		if state, _ := fl.Parts.At(k, storeID(s.Store.Address.String()), fl.Now()); state != parts.Held {
			break
		}
		c.Fetchable += fl.request.Parts[i].Tokens
	}
}

// storeOf returns the store of a prompt's parts, or nil. Where there are several
// each has its share of the families, so that together they hold more.
func (fl *flow) storeOf(keys []parts.Key) *estate.Service {
	if len(keys) == 0 {
		return nil
	}
	family := uint64(keys[len(keys)-1])
	var best *estate.Service
	var highest uint64
	for _, s := range fl.view.Estate.Stores() {
		if score := placement.Mix(family ^ xxhash.Sum64String(s.Store.Address.String())); best == nil || score > highest {
			best, highest = s, score
		}
	}
	return best
}

// addPeers offers an engine as a source that has used the innermost shared part
// lately. Engines have faster links than the store, and many of them.
func (fl *flow) addPeers(c *placement.Candidate, t *fleet.Target, keys []parts.Key, kept time.Duration) {
	if len(keys) == 0 {
		return
	}
	targets := fl.view.Targets[fl.service.Name]
	var newest time.Time
	fl.Parts.Holders(keys[len(keys)-1], fl.Now(), func(target fleet.ID, s parts.State, at time.Time) {
		if s != parts.Held || target == t.ID || fl.Now().Sub(at) > kept {
			return
		}
		for i := range targets {
			p := &targets[i]
			if p.ID != target || fl.view.Silent[p.Address] || fl.view.Version(p, fl.request.Model) != c.Version {
				continue
			}
			near := p.Zone == t.Zone
			if c.Peer && (c.SourceNear && !near || c.SourceNear == near && at.Before(newest)) {
				continue
			}
			c.Source, c.SourceNear, c.Peer, newest = p.Address, near, true, at
			c.Fetchable = 0
			for j := range keys {
				c.Fetchable += fl.request.Parts[j].Tokens
			}
		}
	})
}

// minSharedShare is the least share of a saved prompt that others use too. The
// prompt's own part is sent with the rest and drives out what others need.
const minSharedShare = 0.4

// saveTo returns the store that the prompt's parts are to be sent to: one that
// neither holds them nor is about to. Saving them again would fill its link.
func (fl *flow) saveTo(keys []parts.Key, q *placement.Question) string {
	if len(keys) == 0 || float64(q.Shared) < minSharedShare*float64(q.Shared+q.Own) {
		return ""
	}
	s := fl.storeOf(keys)
	if s == nil {
		return ""
	}
	if state, _ := fl.Parts.At(keys[len(keys)-1], storeID(s.Store.Address.String()), fl.Now()); state != parts.Absent {
		return ""
	}
	return s.Store.Address.String()
}

// storeID names a store of cached parts among targets.
func storeID(address string) fleet.ID { return fleet.IDOf(address) }
