package batchmodel

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// shortAndLong are prompts of 1,800 and 12,000 tokens with the objectives 400 ms and 800 ms.
func shortAndLong() []Class {
	return []Class{
		{Name: "short", PerSecond: 4, OwnTokens: 1800, OwnSigma: 0.2, OutputTokens: 5, OutputSigma: 0.5, TTFTObjective: 400 * time.Millisecond, MaxWait: 10 * time.Second, MaxTokenGap: 300 * time.Millisecond},
		{Name: "long", PerSecond: 1, OwnTokens: 12_000, OwnSigma: 0.2, OutputTokens: 76, OutputSigma: 0.4, TTFTObjective: 800 * time.Millisecond, MaxWait: 10 * time.Second, MaxTokenGap: 300 * time.Millisecond, Priority: 1},
	}
}

func unevenSpec(probed bool, speeds ...float64) UnevenSpec {
	return UnevenSpec{
		Engine: eightAccelerators70B, Speeds: speeds, Noise: 0.2, Entries: 4, Classes: shortAndLong(), Load: 0.8,
		Duration: 5 * time.Minute, Warmup: 2 * time.Minute, Probed: probed, AnnounceDelay: 50 * time.Millisecond, Seed: 1,
	}
}

// meanOf returns the mean results over some seeds, class by class.
func meanOf(t *testing.T, name string, spec UnevenSpec, useSpeeds bool) []UnevenClass {
	const seeds = 3
	mean := make([]UnevenClass, len(spec.Classes))
	for seed := range uint64(seeds) {
		spec.Seed, spec.UseSpeeds = seed, useSpeeds
		for i, c := range RunUneven(spec).Classes {
			m := &mean[i]
			m.Name, m.P50, m.P99 = c.Name, m.P50+c.P50/seeds, m.P99+c.P99/seeds
			m.Within400, m.Within800, m.InTime, m.LatePauses = m.Within400+c.Within400/seeds, m.Within800+c.Within800/seeds, m.InTime+c.InTime/seeds, m.LatePauses+c.LatePauses/seeds
		}
	}
	for _, c := range mean {
		t.Logf("%s, speeds used %v, %s: p50 %v p99 %v within 400 ms %.3f 800 ms %.3f, in time %.3f, late pauses %.3f", name, useSpeeds, c.Name,
			c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond), c.Within400, c.Within800, c.InTime, c.LatePauses)
	}
	return mean
}

// compare runs a spec with and without speeds, and fails if fewer requests of a class are in time or, with
// tail, if its p99 is longer.
func compare(t *testing.T, name string, spec UnevenSpec, tail bool) {
	before, after := meanOf(t, name, spec, false), meanOf(t, name, spec, true)
	for i := range before {
		if after[i].InTime < before[i].InTime-0.005 || tail && after[i].P99 > before[i].P99 {
			t.Errorf("%s, %s: in time %.3f, before %.3f; p99 %v, before %v", name, before[i].Name, after[i].InTime, before[i].InTime, after[i].P99, before[i].P99)
		}
	}
}

// Guards against a rule that serves fewer requests in time, or has a longer tail, where engines differ
// in speed.
func TestUnevenEngines(t *testing.T) {
	for _, probed := range []bool{true, false} {
		for _, entries := range []int{4, 23} {
			spec := unevenSpec(probed, 0.7, 0.7, 1.7)
			spec.Entries = entries
			compare(t, fmt.Sprintf("probed %v, %d entries", probed, entries), spec, true)
		}
	}
}

// Guards against a rule that serves fewer requests in time while the speeds of engines change.
func TestChangesOfSpeed(t *testing.T) {
	for _, probed := range []bool{true, false} {
		for _, entries := range []int{4, 23} {
			spec := unevenSpec(probed, 0.7, 0.7, 1.7)
			spec.Entries, spec.Changes = entries, []SpeedChange{{At: 170 * time.Second, Engine: 0, Speed: 1.7}, {At: 170 * time.Second, Engine: 2, Speed: 0.7}}
			compare(t, fmt.Sprintf("changes, probed %v, %d entries", probed, entries), spec, false)
		}
	}
}

// Guards against a change for services whose engines are even, with prompts of equal and of very different
// lengths. With equal ones the predictions are wrong at times.
func TestEvenEnginesStayAsTheyAre(t *testing.T) {
	for _, probed := range []bool{true, false} {
		for _, sigma := range []float64{0, 0.2, 0.9} {
			for _, entries := range []int{4, 23} {
				spec := unevenSpec(probed, 1, 1, 1)
				spec.Entries = entries
				spec.Classes[0].OwnSigma, spec.Classes[1].OwnSigma = sigma, sigma
				before := RunUneven(spec)
				spec.UseSpeeds = true
				if after := RunUneven(spec); !reflect.DeepEqual(before, after) {
					t.Errorf("probed %v, sigma %.1f, %d entries: %+v, before %+v", probed, sigma, entries, after.Sent, before.Sent)
				}
			}
		}
	}
}

// Guards against an engine that gets so many requests that its streams are late while others have room.
func TestStreamsOfSlowEnginesStayInTime(t *testing.T) {
	spec := unevenSpec(true, 0.7, 0.7, 1.7)
	spec.Engine.StepPerRequest, spec.Load, spec.Duration = 600*time.Microsecond, 0.04, 3*time.Minute
	spec.Classes = []Class{{Name: "chat", PerSecond: 1, OwnTokens: 300, OwnSigma: 0.3, OutputTokens: 200, OutputSigma: 0.3, TTFTObjective: time.Second, MaxWait: 10 * time.Second, MaxTokenGap: 30 * time.Millisecond}}
	before, after := meanOf(t, "chat", spec, false), meanOf(t, "chat", spec, true)
	if after[0].LatePauses > before[0].LatePauses {
		t.Errorf("share of late streams %.3f, before %.3f", after[0].LatePauses, before[0].LatePauses)
	}
}
