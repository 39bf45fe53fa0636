package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/explain"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
	"github.com/toucanwell/toucanwell/internal/logging"
	"github.com/toucanwell/toucanwell/internal/metrics"
)

// The account of a request must have its place in the queue and how it left, by its ID and by the
// fingerprint that its caller's retries share. A request that finds a target at once must not add
// lines.
func TestExplainShowsTheQueue(t *testing.T) {
	var log strings.Builder
	m := metrics.New()
	o := queueObserver{logging.New(&log, "entry-1"), m}
	it := queue.Item{RequestID: "r1", Key: 0x2a, Service: "s", Workspace: "town", Urgency: 1, Cost: 300}
	o.Queued(it, queue.Decision{Action: queue.Wait, Position: 4, Ahead: 8000, Forecast: 1234567 * time.Microsecond, Tag: 17.6})
	o.Placed(queue.Placement{Item: queue.Item{RequestID: "r2", Service: "s"}})
	o.Placed(queue.Placement{Item: it, Queued: true, Waited: 900 * time.Millisecond, Before: 3})
	gone := queue.Item{RequestID: "r3", Key: 0x2a, Service: "s"}
	o.Queued(gone, queue.Decision{Action: queue.Wait, Position: 1, Forecast: queue.Unknown})
	o.Left(gone, time.Second)
	o.Refused(queue.Refusal{Item: it, Reason: queue.Full})

	for id, want := range map[string][]string{
		"r1":                                  {"request_queued", "position=4", "ahead=8000", "forecast=1.235s", "urgency=1", "workspace=town", "tag=18", "request_dequeued", "outcome=placed", "waited=900ms", "before=3"},
		"r3":                                  {"forecast=unknown", "outcome=left", "waited=1s"},
		quarantine.Fingerprint(0x2a).String(): {"position=4", "outcome=placed", "outcome=left"},
	} {
		story, err := explain.Read(id, strings.NewReader(log.String()))
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		if err := story.Print(&text); err != nil {
			t.Fatal(err)
		}
		for _, w := range want {
			if !strings.Contains(text.String(), w) {
				t.Errorf("%s lacks %q:\n%s", id, w, text.String())
			}
		}
	}
	if strings.Contains(log.String(), "request_id=r2") {
		t.Errorf("a request that did not wait has lines:\n%s", log.String())
	}
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, f := range families {
		for _, metric := range f.GetMetric() {
			counts[f.GetName()] += metric.GetCounter().GetValue() + float64(metric.GetHistogram().GetSampleCount())
		}
	}
	if counts["toucanwell_queue_wait_seconds"] != 2 || counts["toucanwell_queue_refusals_total"] != 1 {
		t.Errorf("counts %v", counts)
	}
}
