package gateway

import (
	"strconv"

	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
)

// listQuarantine returns the requests to which crashes of targets are attributed.
func (p *process) listQuarantine() []oas.QuarantinedRequest {
	now := p.clock.Now()
	var all []oas.QuarantinedRequest
	for _, l := range p.entry.quarantine.registry.List(now) {
		row := oas.QuarantinedRequest{
			Print: l.Fingerprint.String(), Verdict: oas.QuarantinedRequestVerdict(l.Verdict.String()), Ends: l.Status.Crashes, Targets: []string{}, Served: l.Served,
			Workspace: l.Workspace, Route: l.Route, ChangedMsAgo: now.Sub(l.ChangedAt()).Milliseconds(),
		}
		if l.Part != "" {
			row.Part = oas.NewOptString(l.Part)
		}
		for _, e := range l.Record.Crashes {
			row.Targets = append(row.Targets, strconv.FormatUint(uint64(e.Target), 16))
		}
		if l.Verdict == quarantine.Refused {
			row.HeldMs = oas.NewOptInt64(max(l.Until.Sub(now).Milliseconds(), 0))
		}
		all = append(all, row)
	}
	return all
}

// releaseRequest releases the request with a hexadecimal fingerprint from quarantine.
func (p *process) releaseRequest(text string) bool {
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	return err == nil && p.entry.quarantine.release(quarantine.Fingerprint(fingerprint))
}
