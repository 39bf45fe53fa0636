package metrics

import "testing"

// Engines of 0.7 and 1.7 times the usual time must be told from usual and unknown ones.
func TestEngineSpeedsByBucket(t *testing.T) {
	m := New()
	m.RegisterEngineSpeeds(func() []EngineSpeeds {
		return []EngineSpeeds{{Service: "s", Factors: []float64{0.7, 0.7, 1.7, 1, 0, 9}}}
	})
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "toucanwell_engine_speed" {
			continue
		}
		for _, metric := range f.GetMetric() {
			got[metric.GetLabel()[0].GetValue()] = metric.GetGauge().GetValue()
		}
	}
	want := map[string]float64{"below_0.6": 0, "0.6_to_0.8": 2, "0.8_to_1.25": 1, "1.25_to_1.6": 0, "1.6_to_2.5": 1, "2.5_and_above": 1, "unknown": 1}
	if len(got) != len(want) {
		t.Errorf("ranges %v", got)
	}
	for label, n := range want {
		if got[label] != n {
			t.Errorf("%s: %v engines, want %v", label, got[label], n)
		}
	}
}
