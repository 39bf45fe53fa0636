package gateway

import (
	"fmt"
	"net/netip"

	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/tomltext"
)

const missing = "missing"

// settingsChecker collects the problems of a settings text.
type settingsChecker struct {
	lines    tomltext.Lines
	problems []tomltext.Problem
}

// require reports a problem with a key unless ok is set.
func (c *settingsChecker) require(ok bool, key, detail string) {
	if !ok {
		c.problems = append(c.problems, tomltext.Problem{Key: key, Line: c.lines.Line(key), Detail: detail})
	}
}

func (c *settingsChecker) address(key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, key, tomltext.Found(value, "an IP number with a port"))
}

func (c *settingsChecker) optionalAddress(key, value string) {
	if value != "" {
		c.address(key, value)
	}
}

// positive requires a value above zero.
func (c *settingsChecker) positive(key string, value int64) {
	c.require(value > 0, key, tomltext.Found(value, "a number above 0"))
}

// check returns the problems of the settings. The lines are those of their text.
func (s *Settings) check(lines tomltext.Lines) []tomltext.Problem {
	c := &settingsChecker{lines: lines}
	c.require(s.Name != "", "name", missing)
	c.require(s.Role == settings.RoleEntry || s.Role == settings.RoleSidecar, "role", fmt.Sprintf(`"%s" found; allowed are "entry" and "sidecar"`, s.Role))
	c.require(s.AvailabilityZone != "", "availability_zone", missing)
	s.checkAddresses(c)
	c.require(s.ServiceLevel > 0 && s.ServiceLevel < 1, "service_level", tomltext.Found(s.ServiceLevel, "a number above 0 and below 1"))
	c.positive("memory_mb", s.MemoryMB)
	c.positive("large_entries", int64(s.LargeEntries))
	c.positive("large_engines", int64(s.LargeEngines))
	c.positive("log_lines_per_second", int64(s.LogLinesPerSecond))
	c.require(s.LongestStream.Duration > 0, "longest_stream", tomltext.Found(s.LongestStream.Duration, "a time above 0"))
	c.require(s.Bounds.GracePeriod.Duration > 0, "bounds.grace_period", missing)
	c.require(s.Bounds.MaxStaleness.Duration > 0, "bounds.weights", missing)
	c.require(s.Bounds.Configuration.Duration > 0, "bounds.configuration", tomltext.Found(s.Bounds.Configuration.Duration, "a time above 0"))
	c.require(s.Bounds.RetryRatio >= 0 && s.Bounds.RetryRatio <= 1, "bounds.retry_ratio", tomltext.Found(s.Bounds.RetryRatio, "0 to 1"))
	c.require(s.Bounds.RetrySlack >= 0, "bounds.retry_slack", tomltext.Found(s.Bounds.RetrySlack, "0 or more"))
	c.positive("quarantine.ends", int64(s.Quarantine.MaxCrashes))
	c.require(s.Quarantine.SuspectFor.Duration > 0, "quarantine.suspect_for", tomltext.Found(s.Quarantine.SuspectFor.Duration, "a time above 0"))
	c.require(s.Quarantine.RefuseFor.Duration >= s.Quarantine.SuspectFor.Duration, "quarantine.hold_for", tomltext.Found(s.Quarantine.RefuseFor.Duration, "quarantine.suspect_for or longer"))
	c.positive("quarantine.records", int64(s.Quarantine.MaxRecords))
	s.Queue.check(c, s.MemoryMB)
	return c.problems
}

func (s *Settings) checkAddresses(c *settingsChecker) {
	c.address("mesh_listen", s.MeshListen)
	c.address("metrics_listen", s.MetricsListen)
	c.address("store.address", s.Store.Address)
	c.optionalAddress("probe_listen", s.ProbeListen)
	c.optionalAddress("limits_listen", s.LimitsListen)
	c.optionalAddress("admin_listen", s.AdminListen)
	if s.Role == settings.RoleEntry {
		c.address("listen", s.Listen)
		c.address("ready_listen", s.ReadyListen)
	}
	if s.Role == settings.RoleSidecar {
		c.address("engine", s.Engine)
	}
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
}
