package queue

import (
	"maps"
	"math"
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

// decaying is a sum of amounts that count less with age.
type decaying struct {
	sum float64
	at  time.Time
}

// shareWindow is the time over which the shares of workspaces are averaged, for statistics.
const shareWindow = 10 * time.Second

func (d *decaying) add(amount float64, now time.Time) {
	d.sum, d.at = d.value(now)+amount, now
}

func (d *decaying) value(now time.Time) float64 {
	age := now.Sub(d.at)
	if d.sum == 0 || age <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-age.Seconds()/shareWindow.Seconds())
}
