package batchmodel

import "time"

// largeModel is an engine of eight accelerators with a dense model of 70 billion
// parameters in 8 bits.
var largeModel = EngineSpec{
	Slots: 64, MemoryTokens: 250_000, Step: 3900 * time.Microsecond, StepPerRequest: 28 * time.Microsecond,
	PrefillTokensPerMs: 66, PrefillChunk: 2048, AttentionMs: 0.28, AdmissionDelay: 12 * time.Millisecond,
	FetchTokensPerMs: 280, FetchLatency: 5 * time.Millisecond, LoadTime: 430 * time.Millisecond,
}

// desk has long reviews whose prompts share a case file, and short questions.
func desk(perSecond float64, cases, places int) []Class {
	return []Class{
		{
			Name: "review", PerSecond: perSecond / 5, OwnTokens: 6600, OwnSigma: 1.0, OutputTokens: 76, OutputSigma: 0.44,
			PrefixLevels:  []PrefixLevel{{Tokens: 512, Count: 3, Skew: 0.5}, {Tokens: 4870, Count: cases, Skew: 0.3}},
			TTFTObjective: 800 * time.Millisecond, MaxWait: 3200 * time.Millisecond, MaxTokenGap: 300 * time.Millisecond, Priority: 1, Worth: 6.3, LateWorth: 1.9,
		},
		{
			Name: "question", PerSecond: perSecond * 4 / 5, OwnTokens: 1800, OwnSigma: 0.9, OutputTokens: 5, OutputSigma: 1,
			PrefixLevels:  []PrefixLevel{{Tokens: 341, Count: 8, Skew: 0.5}, {Tokens: 227, Count: places, Skew: 0.3}},
			TTFTObjective: 400 * time.Millisecond, MaxWait: 2400 * time.Millisecond, MaxTokenGap: 300 * time.Millisecond, Worth: 1.9, LateWorth: 0.58,
		},
	}
}

// Shapes are the deployments that can be played by name.
var Shapes = map[string]Spec{
	"desk": {
		Engine: largeModel, Engines: 9, Zones: 3, Entries: 4, Classes: desk(71, 120, 215), LoadFactor: 1, Duration: 34 * time.Second,
		CacheViewLag: 100 * time.Millisecond, WeightUpdates: []time.Duration{6 * time.Second, 20 * time.Second}, Seed: 1,
	},
	"swell": {
		Engine: largeModel, Engines: 18, Zones: 3, Entries: 4, Classes: desk(142, 160, 430), LoadFactor: 1, Duration: 34 * time.Second,
		CacheViewLag: 100 * time.Millisecond, WeightUpdates: []time.Duration{6 * time.Second, 20 * time.Second}, Seed: 1,
	},
}
