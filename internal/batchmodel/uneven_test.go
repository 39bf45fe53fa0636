package batchmodel

import (
	"testing"
	"time"
)

// shortAndLong are prompts of 1,800 and 12,000 tokens with the objectives 400 ms and 800 ms.
func shortAndLong() []Class {
	return []Class{
		{Name: "short", PerSecond: 4, OwnTokens: 1800, OutputTokens: 5, OutputSigma: 0.5, TTFTObjective: 400 * time.Millisecond, MaxWait: 10 * time.Second, MaxTokenGap: 300 * time.Millisecond},
		{Name: "long", PerSecond: 1, OwnTokens: 12_000, OutputTokens: 76, OutputSigma: 0.4, TTFTObjective: 800 * time.Millisecond, MaxWait: 10 * time.Second, MaxTokenGap: 300 * time.Millisecond, Priority: 1},
	}
}

func unevenSpec(probed bool, speeds ...float64) UnevenSpec {
	return UnevenSpec{
		Engine: eightAccelerators70B, Speeds: speeds, Noise: 0.2, Entries: 4, Classes: shortAndLong(), Load: 0.8,
		Duration: 5 * time.Minute, Warmup: 2 * time.Minute, Probed: probed, AnnounceDelay: 50 * time.Millisecond, Seed: 1,
	}
}

func logUneven(t *testing.T, name string, r *UnevenResult) {
	for _, c := range r.Classes {
		t.Logf("%s %s: p50 %v p99 %v within 400 ms %.3f, 800 ms %.3f, in time %.3f, late pauses %.3f, tokens sent %.3f", name, c.Name,
			c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond), c.Within400, c.Within800, c.InTime, c.LatePauses, r.Sent)
	}
}

// Prints the present rule's figures for engines that differ in speed by 2.4 and for even ones.
func TestUnevenEngines(t *testing.T) {
	for name, probed := range map[string]bool{"probed": true, "announced": false} {
		logUneven(t, name+" 0.7/0.7/1.7", RunUneven(unevenSpec(probed, 0.7, 0.7, 1.7)))
		logUneven(t, name+" even", RunUneven(unevenSpec(probed, 1, 1, 1)))
	}
}
