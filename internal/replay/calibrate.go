package replay

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/trace"
)

const (
	calibrationEngines = 18
	calibrationLength  = 30 * time.Second
	calibrationSteps   = 9
	highestRate        = 100.0
)

// CapacityRate returns the requests a second and engine at which the oracle
// keeps the busier of prefill and batch just full: the rate at which its
// engines' mean utilization reaches 1 when extrapolated from 0.7.
func CapacityRate(shape trace.Shape, costs Costs, seed uint64) float64 {
	const reference = 0.7
	low, high := 0.0, highestRate
	for range calibrationSteps {
		rate := (low + high) / 2
		if utilizationAt(shape, costs, rate, seed) > reference {
			high = rate
		} else {
			low = rate
		}
	}
	return (low + high) / 2 / reference
}

func utilizationAt(shape trace.Shape, costs Costs, rate float64, seed uint64) float64 {
	setup := Setup{
		Engines: calibrationEngines, Entries: 1, Zones: 1, Costs: costs, Policy: &Oracle{Policy: OraclePolicy},
		Weights: Weights(shape), MaxPrefilling: 1, BlockTokens: shape.BlockTokens, Seed: seed,
	}
	res := Run(setup, trace.Generate(shape, rate*calibrationEngines, calibrationLength, seed))
	if res.Refused() > 0 {
		return 1
	}
	return max(res.Utilization, res.BatchUtilization)
}

// Weights returns the weights of a shape's workspaces.
func Weights(shape trace.Shape) map[string]float64 {
	weights := map[string]float64{}
	for _, w := range shape.Workspaces {
		weights[w.Name] = w.Weight
	}
	return weights
}
