package cluster_test

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// An entry that is suspended while versions are published must apply the newest one when it resumes,
// and never go back to an older one.
func TestSuspendedEntryNeverGoesBack(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	suspended := asProcess(c.Entries[0])
	second := publish(t, c, 1, "retry_share = 0.1", "retry_share = 0.2")
	eventually(t, "the second version is active", func() bool { return activeVersion(c.EntrySettings[0].AdminListen) == second })
	suspended.signal(syscall.SIGSTOP)
	third := publish(t, c, second, "retry_share = 0.2", "retry_share = 0.3")
	fourth := publish(t, c, third, "retry_share = 0.3", "retry_share = 0.4")
	eventually(t, "the fourth version is active at the other entry", func() bool { return activeVersion(c.EntrySettings[1].AdminListen) == fourth })
	suspended.signal(syscall.SIGCONT)
	last := second
	eventually(t, "the fourth version is active at the resumed entry", func() bool {
		v := activeVersion(c.EntrySettings[0].AdminListen)
		if v < last {
			t.Fatalf("version %d is active after %d", v, last)
		}
		last = v
		return v == fourth
	})
}

// The configuration must be republished before the log drops its record, so that it survives a
// restart of all processes.
func TestConfigurationOutlivesLogRetention(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		ConfigText: examples.Marktlizenz, Entries: 1, EngineCosts: slowCosts, LogOutput: io.Discard,
		AdjustSettings: func(s *settings.Settings) { s.Platform.LogRetention.Duration = 4 * time.Second },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	republished := uint64(0)
	eventually(t, "the configuration is republished", func() bool {
		for _, r := range c.Log.ReadPage(configlog.Stream, 2).Records {
			if strings.Contains(string(r.Data), `"type":"carry"`) {
				republished = r.Offset
			}
		}
		return republished > 0
	})
	c.Entries[0].Close()
	for _, p := range c.Sidecars {
		p.Close()
	}
	c.Log.TrimTo(configlog.Stream, republished)
	if err := c.StartEntry(0); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first version is active at the entry", func() bool { return activeVersion(c.EntrySettings[0].AdminListen) == 1 })
}
