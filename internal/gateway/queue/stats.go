package queue

import (
	"maps"
	"slices"
	"time"
)

// Stats returns a snapshot. It takes time in proportion to what waits.
func (q *Queue) Stats(now time.Time) Stats {
	s := Stats{Policy: q.policy}
	s.Policy.Workspaces = maps.Clone(q.policy.Workspaces)
	type place struct{ service, workspace string }
	longest := map[place]time.Duration{}
	for _, e := range q.entries {
		if e.state != fresh {
			p := place{e.Service, e.Workspace}
			longest[p] = max(longest[p], now.Sub(e.queuedAt))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(q.lines)) {
		l := q.lines[name]
		service := ServiceStats{Service: name, Waiting: l.waiting, Bytes: l.bytes, Rate: l.meter.rate(0)}
		total := l.share.value(now)
		for _, workspace := range slices.Sorted(maps.Keys(l.workspaces)) {
			w := l.workspaces[workspace]
			ws := WorkspaceStats{
				Workspace: workspace, Waiting: w.waiting, Placed: w.placed, Refused: w.refused,
				Weight: w.weight, Floor: w.floor, LongestWait: longest[place{name, workspace}],
			}
			if total > 0 {
				ws.Share = w.share.value(now) / total
			}
			service.Workspaces = append(service.Workspaces, ws)
		}
		s.Services = append(s.Services, service)
	}
	return s
}
