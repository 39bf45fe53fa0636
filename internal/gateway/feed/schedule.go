package feed

import "time"

// Schedule says how a fleet reads a topic of which few processes wait for new records, and all others learn from
// them. What these know ages while they cannot read the topic; the others then read it themselves, one after the
// other, so that those that come next learn from the first.
type Schedule struct {
	// Bound is the time in which a new record must have reached all processes.
	Bound time.Duration
}

const (
	// renewParts is the part of the bound in which one of the processes that wait renews its read, as a divisor.
	renewParts = 8
	// The ages at which the first and the last of the other processes read the topic, in tenths of the bound. What
	// remains is for reads that fail, and for the way to all others.
	firstStepTenths = 4
	lastStepTenths  = 6
)

// RenewPeriod returns the time in which one of the processes that wait renews its read.
func (s Schedule) RenewPeriod() time.Duration { return min(s.Bound/renewParts, DefaultRenewPeriod) }

// StepInAge returns the age of a replica at which a process reads the topic, although others should have. rank
// is its place among those that do not wait, of which there are others.
func (s Schedule) StepInAge(rank, others int) time.Duration {
	first, last := s.Bound*firstStepTenths/10, s.Bound*lastStepTenths/10
	if rank >= others {
		return last
	}
	return first + (last-first)*time.Duration(rank)/time.Duration(others)
}
