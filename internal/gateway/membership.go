package gateway

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

// following is how far this process has followed the list of targets.
func (b *beliefs) following(now time.Time) fleet.SyncState {
	c := b.targets.Replica()
	f := fleet.SyncState{
		StartedAt: b.startedAt, CompleteSince: c.CompleteSince(), OutageBegan: c.OutageBegin(), OutageEnded: c.OutageEnd(),
		Current: now.Sub(c.CurrentAt()) <= b.patience()+outageGap,
	}
	if first := c.FirstCurrentAt(); first.Sub(b.startedAt) > outageGap {
		f.StartedAt = first // the store was away at the start
	}
	return f
}

// noteOutage logs the end of a time without word of the list, in which entries of living
// targets may have lapsed.
func (b *beliefs) noteOutage(f fleet.SyncState) {
	if f.OutageEnded.After(b.outageEnded) {
		b.logger.Info("list_regained", "without_for", f.OutageEnded.Sub(f.OutageBegan), "end", b.targets.Replica().End())
	}
	b.outageEnded = f.OutageEnded
}

// noteUnlisted logs the reported lives that the list lacks and whether they are used. Before
// the first copy of the list it lacks all of them, which is not said.
func (b *beliefs) noteUnlisted(v *view.View, unlisted map[fleet.Incarnation]fleet.UnlistedState) {
	if b.targets.Replica().CompleteSince().IsZero() {
		return
	}
	for life, standing := range unlisted {
		if before, known := b.unlisted[life]; known && before == standing {
			continue
		}
		word := v.Engines[life]
		b.logger.Info("target_unlisted", "target", life, "outcome", standing.String(), "began_within", b.age(word.StartedAfter), "word_age", b.age(word.ReceivedAt),
			"list_age", b.age(v.TargetsCurrentAt), "list_followed_for", b.age(b.targets.Replica().CompleteSince()), "started", b.age(b.startedAt))
	}
	b.unlisted = unlisted
}

// age is how long ago something was, for the log.
func (b *beliefs) age(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return b.clock.Now().Sub(at).Round(time.Millisecond).String()
}

// living are the engines that their sidecars report.
func living(words map[fleet.Incarnation]view.EngineReport) []fleet.Report {
	all := make([]fleet.Report, 0, len(words))
	for life, w := range words {
		all = append(all, fleet.Report{
			Incarnation: life, Service: w.Service, Address: w.Address, Zone: w.Zone, Weights: w.Weights, StartedAfter: w.StartedAfter, ReceivedAt: w.ReceivedAt,
		})
	}
	return all
}

// listedAt is the time of what the copy of the list shows.
func (b *beliefs) listedAt() time.Time {
	if at := b.targets.Replica().CurrentAt(); !at.IsZero() {
		return at
	}
	return b.clock.Now()
}
