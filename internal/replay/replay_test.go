package replay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/trace"
)

func replayWith(p Policy, shape trace.Shape, rate float64, faults ...Fault) *Result {
	setup := Setup{
		Engines: 9, Entries: 3, Zones: 3, Costs: DefaultCosts, Policy: p, Weights: Weights(shape), ReportLag: time.Second,
		EventLoss: 0.05, MaxPrefilling: 1, BlockTokens: shape.BlockTokens, Seed: 1, Faults: faults, Warmup: 5 * time.Second,
	}
	return Run(setup, trace.Generate(shape, rate*9, 30*time.Second, 1))
}

// The stated outcomes of a recorded trace: near the oracle's hit rate, and
// better than the simple policies where the users weigh most.
func TestReplayKeepsNearTheOracle(t *testing.T) {
	ours := replayWith(&Probing{Policy: routing.DefaultPolicy}, trace.Olaje(), 4)
	oracle := replayWith(&Oracle{Policy: OraclePolicy}, trace.Olaje(), 4)
	bounded := replayWith(&HashBounded{}, trace.Olaje(), 4)
	random := replayWith(&Random{}, trace.Olaje(), 4)
	if ours.HitRate() < 0.95*oracle.HitRate() {
		t.Errorf("hit rate %.3f, the oracle's is %.3f", ours.HitRate(), oracle.HitRate())
	}
	alerts := func(r *Result) time.Duration { return r.Quantile(config.ClassAlert, 0.99) }
	if alerts(ours) >= alerts(bounded) || alerts(ours) >= alerts(random) {
		t.Errorf("p99 of alerts %v, bounded hashing has %v, random %v", alerts(ours), alerts(bounded), alerts(random))
	}
	if ours.Waste() >= random.Waste()/2 {
		t.Errorf("waste %.3f, random has %.3f", ours.Waste(), random.Waste())
	}
}

// A third of the engines crash at once and come back empty. Every request is
// answered in time all the same, and the hit rate is back within seconds.
func TestReplaySurvivesCrashes(t *testing.T) {
	at := 15 * time.Second
	r := replayWith(&Probing{Policy: routing.DefaultPolicy}, trace.Marktlizenz(), 1.5, Fault{At: at, Crash: []int{0, 3, 6}})
	if hit, _ := r.Recovery(at); hit < 0 || hit > 10 {
		t.Errorf("hit rate recovered after %d s", hit)
	}
	if r.Answered+r.Refused() != r.Requests {
		t.Errorf("%d answered and %d refused of %d", r.Answered, r.Refused(), r.Requests)
	}
}

func TestReplayIsRepeatable(t *testing.T) {
	a := replayWith(&Probing{Policy: routing.DefaultPolicy}, trace.Olaje(), 3)
	b := replayWith(&Probing{Policy: routing.DefaultPolicy}, trace.Olaje(), 3)
	if a.HitRate() != b.HitRate() || a.Quantile(config.ClassBatch, 0.9) != b.Quantile(config.ClassBatch, 0.9) || a.probes != b.probes {
		t.Error("two runs of one seed differ")
	}
}

func TestTraceSurvivesWritingAndReading(t *testing.T) {
	records := slices.Collect(trace.Generate(trace.Olaje(), 20, 5*time.Second, 3))
	var file bytes.Buffer
	if err := trace.Write(&file, slices.Values(records)); err != nil {
		t.Fatal(err)
	}
	n := 0
	for r, err := range trace.Read(&file) {
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(r.HashIDs, records[n].HashIDs) || r.Class != records[n].Class {
			t.Fatalf("record %d differs", n)
		}
		n++
	}
	if n != len(records) {
		t.Errorf("%d of %d records read", n, len(records))
	}
}

func FuzzTraceReader(f *testing.F) {
	f.Add([]byte(`{"timestamp":1,"input_length":128,"output_length":3,"hash_ids":[7],"block_tokens":128,"prefix_levels":[1],"class":"alert"}`))
	f.Add([]byte(`{"timestamp":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for r, err := range trace.Read(bytes.NewReader(data)) {
			if err == nil && r.Validate() != nil {
				t.Errorf("a bad record passed: %+v", r)
			}
		}
	})
}
