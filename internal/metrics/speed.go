package metrics

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// EngineSpeeds are the speed factors of a service's engines at the time of a scrape: the time that an
// engine takes relative to a usual one, or zero if it is unknown.
type EngineSpeeds struct {
	Service string
	Factors []float64
}

// speedBuckets are the ranges of the factor by which engines are counted. The middle one holds engines
// that take the usual time, give or take the error of an estimate.
var speedBuckets = []struct {
	below float64
	label string
}{{0.6, "below_0.6"}, {0.8, "0.6_to_0.8"}, {1.25, "0.8_to_1.25"}, {1.6, "1.25_to_1.6"}, {2.5, "1.6_to_2.5"}}

const (
	slowestSpeedBucket = "2.5_and_above"
	unknownSpeedBucket = "unknown"
)

// speedBucket returns the label of a factor.
func speedBucket(factor float64) string {
	if factor <= 0 {
		return unknownSpeedBucket
	}
	for _, b := range speedBuckets {
		if factor < b.below {
			return b.label
		}
	}
	return slowestSpeedBucket
}

// RegisterEngineSpeeds registers the gauge of engines by speed, which are read at collection time.
func (m *Metrics) RegisterEngineSpeeds(read func() []EngineSpeeds) {
	m.Registry.MustRegister(&speedCollector{read, prometheus.NewDesc("toucanwell_engine_speed",
		"Engines by the time that they take relative to a usual one, as far as this process has measured or heard.", []string{"service", "factor"}, nil)})
}

type speedCollector struct {
	read func() []EngineSpeeds
	desc *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *speedCollector) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect implements prometheus.Collector. It sends all ranges, so that a time series doesn't end
// while its last engine leaves the range.
func (c *speedCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.read() {
		counts := map[string]int{}
		for _, f := range s.Factors {
			counts[speedBucket(f)]++
		}
		for _, label := range speedLabels() {
			out <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(counts[label]), s.Service, label)
		}
	}
}

func speedLabels() []string {
	var labels []string
	for _, b := range speedBuckets {
		labels = append(labels, b.label)
	}
	return slices.Concat(labels, []string{slowestSpeedBucket, unknownSpeedBucket})
}
