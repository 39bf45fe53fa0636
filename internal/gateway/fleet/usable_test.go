package fleet

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// Guards against outdated results of Targets: after any sequence of listings, removals, outages
// and reports it must return what a fresh evaluation returns.
func TestTargetsMatchFreshEvaluation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		now, sync, undeclared := start, currentSync, ""
		isDeclared := func(service string) bool { return service != undeclared }
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 6).Draw(t, "target")
			l := listing(fmt.Sprintf("t%d", n), uint16(rapid.IntRange(1, 4).Draw(t, "address")))
			l.Leaving = rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				d.Add(l, feed.Position{Offset: uint64(step)}, now)
			case 1:
				d.Remove(l.Instance, now)
			case 2:
				sync.OutageBegan, sync.OutageEnded = sync.OutageEnded, now
			case 3:
				undeclared = rapid.SampledFrom([]string{"", "s"}).Draw(t, "undeclared")
				d.Invalidate()
			}
			got := d.Targets(isDeclared, now, sync)
			if want := d.evaluate(isDeclared, now, sync); !reflect.DeepEqual(got, want) {
				t.Fatalf("step %d: %v, want %v", step, got, want)
			}
			d.ApplyReports(got, []Report{{Incarnation: Incarnation{Instance: "reported"}, Service: "s", Address: l.Address}}, sync, now)
		}
	})
}

// BenchmarkTargets measures one evaluation of the list for a view, without a change since the
// last one, with the reports of a tenth of the engines.
func BenchmarkTargets(b *testing.B) {
	for _, size := range []int{180, 645, 1300} {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			d := NewDirectory()
			var reports []Report
			for i := range size {
				l := listing(fmt.Sprintf("i-%08d", i), 1)
				l.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 8000)
				d.Add(l, feed.Position{Offset: uint64(i)}, start)
				if i%10 == 0 {
					reports = append(reports, Report{Incarnation: l.Incarnation, Service: "s", Address: l.Address})
				}
			}
			for b.Loop() {
				d.ApplyReports(d.Targets(declared, start, currentSync), reports, currentSync, start)
			}
		})
	}
}
