package batchmodel

import "time"

// largeModel is an engine of eight accelerators with a dense model of 70 billion
// parameters in 8 bits.
var largeModel = EngineSpec{
	Slots: 64, Memory: 250_000, Step: 3900 * time.Microsecond, StepPerRun: 28 * time.Microsecond,
	ReadPerMs: 66, Chunk: 2048, PairsMs: 0.28, First: 12 * time.Millisecond,
	FetchPerMs: 280, FetchSetup: 5 * time.Millisecond, Load: 430 * time.Millisecond,
}

// desk has long reviews whose prompts share a case file, and short questions.
func desk(perSecond float64, cases, places int) []Class {
	return []Class{
		{
			Name: "review", PerSecond: perSecond / 5, Own: 6600, OwnSpread: 1.0, Answer: 76, AnswerSpread: 0.44,
			Levels: []Level{{Tokens: 512, Things: 3, Skew: 0.5}, {Tokens: 4870, Things: cases, Skew: 0.3}},
			Aim:    800 * time.Millisecond, Patience: 3200 * time.Millisecond, Gap: 300 * time.Millisecond, Urgency: 1, Worth: 6.3, LateWorth: 1.9,
		},
		{
			Name: "question", PerSecond: perSecond * 4 / 5, Own: 1800, OwnSpread: 0.9, Answer: 5, AnswerSpread: 1,
			Levels: []Level{{Tokens: 341, Things: 8, Skew: 0.5}, {Tokens: 227, Things: places, Skew: 0.3}},
			Aim:    400 * time.Millisecond, Patience: 2400 * time.Millisecond, Gap: 300 * time.Millisecond, Worth: 1.9, LateWorth: 0.58,
		},
	}
}

// Shapes are the deployments that can be played by name.
var Shapes = map[string]Spec{
	"desk": {
		Engine: largeModel, Engines: 9, Zones: 3, Entries: 4, Classes: desk(71, 120, 215), Load: 1, Length: 34 * time.Second,
		Lag: 100 * time.Millisecond, Versions: []time.Duration{6 * time.Second, 20 * time.Second}, Seed: 1,
	},
	"swell": {
		Engine: largeModel, Engines: 18, Zones: 3, Entries: 4, Classes: desk(142, 160, 430), Load: 1, Length: 34 * time.Second,
		Lag: 100 * time.Millisecond, Versions: []time.Duration{6 * time.Second, 20 * time.Second}, Seed: 1,
	},
}
