package gateway

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

// syncState returns how completely this process has followed the target list.
func (c *clusterState) syncState(now time.Time) fleet.SyncState {
	replica := c.targets.Replica()
	f := fleet.SyncState{
		StartedAt: c.startedAt, CompleteSince: replica.CompleteSince(), OutageBegan: replica.OutageBegin(), OutageEnded: replica.OutageEnd(),
		Current: now.Sub(replica.ConfirmedAt()) <= c.targetsReadAge()+outageGap,
	}
	if first := replica.FirstCurrentAt(); first.Sub(c.startedAt) > outageGap {
		f.StartedAt = first // the store was unavailable at startup
	}
	return f
}

// logOutage logs the end of a store outage, during which records of live targets may have
// expired.
func (c *clusterState) logOutage(f fleet.SyncState) {
	if f.OutageEnded.After(c.loggedOutageEnd) {
		c.logger.Info("list_regained", "without_for", f.OutageEnded.Sub(f.OutageBegan), "end", c.targets.Replica().End())
	}
	c.loggedOutageEnd = f.OutageEnded
}

// logUnlisted logs reported incarnations that are missing from the target list when their
// state changes. Nothing is logged before the first replica of the list.
func (c *clusterState) logUnlisted(v *view.View, unlisted map[fleet.Incarnation]fleet.UnlistedState) {
	if c.targets.Replica().CompleteSince().IsZero() {
		return
	}
	for incarnation, state := range unlisted {
		if before, known := c.unlisted[incarnation]; known && before == state {
			continue
		}
		report := v.Engines[incarnation]
		c.logger.Info("target_unlisted", "target", incarnation, "outcome", state.String(), "began_within", c.age(report.StartedAfter), "report_age", c.age(report.AsOf),
			"list_age", c.age(v.TargetsCurrentAt), "list_followed_for", c.age(c.targets.Replica().CompleteSince()), "started", c.age(c.startedAt))
	}
	c.unlisted = unlisted
}

// age formats the time since t for the log.
func (c *clusterState) age(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return c.clock.Now().Sub(t).Round(time.Millisecond).String()
}

// reportedTargets converts the sidecars' reports.
func reportedTargets(reports map[fleet.Incarnation]view.EngineReport) []fleet.Report {
	all := make([]fleet.Report, 0, len(reports))
	for incarnation, r := range reports {
		all = append(all, fleet.Report{
			Incarnation: incarnation, Service: r.Service, Address: r.Address, Zone: r.Zone, Weights: r.Weights, StartedAfter: r.StartedAfter, AsOf: r.AsOf,
		})
	}
	return all
}

// listedAt returns the latest time at which a target may have been listed that the replica of the target list
// has just dropped.
func (c *clusterState) listedAt() time.Time {
	if at := c.targets.Replica().ConfirmedAt(); !at.IsZero() {
		return at
	}
	return c.clock.Now()
}
