package replay

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/trace"
)

const (
	calibrationEngines = 18
	calibrationLength  = 30 * time.Second
	calibrationSteps   = 9
	maxCalibrationRate = 100.0
)

// CapacityRate returns the rate, in requests per second and engine, that saturates the engines
// under the oracle policy. It searches for the rate with a utilization of 0.7 and extrapolates.
func CapacityRate(shape trace.Shape, costs Costs, seed uint64) float64 {
	const reference = 0.7
	low, high := 0.0, maxCalibrationRate
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

// utilizationAt returns the higher of the prefill and batch utilization at a rate.
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

// Weights returns the workspaces' weights in a shape.
func Weights(shape trace.Shape) map[string]float64 {
	weights := map[string]float64{}
	for _, w := range shape.Workspaces {
		weights[w.Name] = w.Weight
	}
	return weights
}
