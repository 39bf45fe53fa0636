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

// An entry's host freezes. Meanwhile two versions are published. When the host
// wakes, the entry takes the newest and is never seen to go back.
func TestFrozenProcessNeverGoesBack(t *testing.T) {
	c := startProcesses(t, examples.Marktlizenz, 2, slowCosts)
	frozen := proc(c.Entries[0])
	second := publish(t, c, 1, "retry_share = 0.1", "retry_share = 0.2")
	eventually(t, "the second version is in force", func() bool { return versionAt(c.EntrySettings[0].AdminListen) == second })
	frozen.signal(syscall.SIGSTOP)
	third := publish(t, c, second, "retry_share = 0.2", "retry_share = 0.3")
	fourth := publish(t, c, third, "retry_share = 0.3", "retry_share = 0.4")
	eventually(t, "the fourth version is in force at the other entry", func() bool { return versionAt(c.EntrySettings[1].AdminListen) == fourth })
	frozen.signal(syscall.SIGCONT)
	seen := second
	eventually(t, "the fourth version is in force at the woken entry", func() bool {
		v := versionAt(c.EntrySettings[0].AdminListen)
		if v < seen {
			t.Fatalf("version %d in force after %d", v, seen)
		}
		seen = v
		return v == fourth
	})
}

// The log keeps records for a short time. Before the only copy of the
// configuration is dropped, a process carries it forward; then every process
// dies at once. The first one to come back finds the text in the log.
func TestConfigurationOutlivesTheLogsRetention(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		ConfigText: examples.Marktlizenz, Entries: 1, EngineCosts: slowCosts, LogOutput: io.Discard,
		AdjustSettings: func(s *settings.Settings) { s.Platform.LogRetention.Duration = 4 * time.Second },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	carried := uint64(0)
	eventually(t, "the configuration is carried forward", func() bool {
		for _, r := range c.Log.ReadPage(configlog.Stream, 2).Records {
			if strings.Contains(string(r.Data), `"type":"carry"`) {
				carried = r.Offset
			}
		}
		return carried > 0
	})
	c.Entries[0].Close()
	for _, p := range c.Sidecars {
		p.Close()
	}
	c.Log.TrimTo(configlog.Stream, carried)
	if err := c.StartEntry(0); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the entry has the first version in force", func() bool { return versionAt(c.EntrySettings[0].AdminListen) == 1 })
}
