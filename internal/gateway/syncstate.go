package gateway

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

// syncState is how far this process has followed the list of targets.
func (b *clusterState) syncState(now time.Time) fleet.Following {
	c := b.targets.Copy()
	f := fleet.Following{
		Started: b.startedAt, Since: c.FollowedSince(), OutageBegan: c.OutageBegin(), OutageEnded: c.OutageEnd(),
		Current: now.Sub(c.CurrentAt()) <= b.targetsReadAge()+outageGap,
	}
	if first := c.FirstCurrentAt(); first.Sub(b.startedAt) > outageGap {
		f.Started = first // the store was away at the start
	}
	return f
}

// logOutage logs the end of a time without word of the list, in which entries of living
// targets may have lapsed.
func (b *clusterState) logOutage(f fleet.Following) {
	if f.OutageEnded.After(b.loggedOutageEnd) {
		b.logger.Info("list_regained", "without_for", f.OutageEnded.Sub(f.OutageBegan), "end", b.targets.Copy().End())
	}
	b.loggedOutageEnd = f.OutageEnded
}

// logUnlisted logs the reported lives that the list lacks and whether they are used. Before
// the first copy of the list it lacks all of them, which is not said.
func (b *clusterState) logUnlisted(v *view.View, unlisted map[fleet.Life]fleet.Standing) {
	if b.targets.Copy().FollowedSince().IsZero() {
		return
	}
	for life, standing := range unlisted {
		if before, known := b.unlisted[life]; known && before == standing {
			continue
		}
		word := v.Engines[life]
		b.logger.Info("target_unlisted", "target", life, "outcome", standing.String(), "began_within", b.age(word.BeganAfter), "word_age", b.age(word.HeardAt),
			"list_age", b.age(v.ListedAt), "list_followed_for", b.age(b.targets.Copy().FollowedSince()), "started", b.age(b.startedAt))
	}
	b.unlisted = unlisted
}

// age is how long ago something was, for the log.
func (b *clusterState) age(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return b.clock.Now().Sub(at).Round(time.Millisecond).String()
}

// reportedTargets are the engines that their sidecars report.
func reportedTargets(words map[fleet.Life]view.EngineWord) []fleet.Living {
	all := make([]fleet.Living, 0, len(words))
	for life, w := range words {
		all = append(all, fleet.Living{
			Life: life, Service: w.Service, Address: w.Address, Zone: w.Zone, Weights: w.Weights, BeganAfter: w.BeganAfter, HeardAt: w.HeardAt,
		})
	}
	return all
}

// listedAt is the time of what the copy of the list shows.
func (b *clusterState) listedAt() time.Time {
	if at := b.targets.Copy().CurrentAt(); !at.IsZero() {
		return at
	}
	return b.clock.Now()
}
