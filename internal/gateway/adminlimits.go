package gateway

import (
	"slices"
	"strings"

	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// listLimits returns the workspaces that have a rate limit, with their usage.
func (p *process) listLimits() []oas.WorkspaceLimit {
	v := p.currentView()
	if v.Estate == nil || p.entry.limits == nil {
		return nil
	}
	limiter := p.entry.limits.limiter
	uses, share := limiter.Stats()
	byName := make(map[string]ratelimit.BucketStats, len(uses))
	for _, u := range uses {
		byName[u.Key] = u
	}
	var all []oas.WorkspaceLimit
	for _, w := range v.Estate.RateLimited() {
		row := oas.WorkspaceLimit{
			Workspace: w.Name, Unit: oas.WorkspaceLimitUnit(w.Rate.Unit.String()), PerSecond: w.Rate.PerSecond, Burst: w.Rate.Burst,
			Coordinator: limiter.Coordinator(w.Name).String(),
		}
		if u, ok := byName[w.Name]; ok {
			row.Use = oas.NewOptLimitUse(oas.LimitUse{
				Level: u.Level, Leased: u.Leased, Entries: u.Holders, Admitted: int64(u.Admitted), Refused: int64(u.Refused), Share: share,
			})
		}
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b oas.WorkspaceLimit) int { return strings.Compare(a.Workspace, b.Workspace) })
	return all
}
