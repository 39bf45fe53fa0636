package forward

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
)

// engineSpeeds is what an entry knows of the speeds of engines.
type engineSpeeds struct {
	// measured are the speeds of engines that the entry sends to without their sidecars' responses.
	// In large fleets sidecars measure them.
	measured *readtime.Speeds
	spread   *readtime.Spread
	steps    *readtime.StepTimes
}

func newEngineSpeeds() engineSpeeds {
	return engineSpeeds{measured: readtime.NewSpeeds(), spread: readtime.NewSpread(), steps: readtime.NewStepTimes()}
}

// useSpeeds reports whether placement uses the measured speeds of engines.
func (f *Forwarder) useSpeeds() bool { return f.SpeedsEnabled != nil && f.SpeedsEnabled() }

// applySpeeds sets the candidates' factors and the input's rules if the speeds of the service's
// engines are uneven. Otherwise it changes nothing. all is set if the candidates are all engines of the
// service.
func (fl *flow) applySpeeds(in *placement.Input, candidates []placement.Candidate, all bool, speedOf func(i int) readtime.Speed) {
	in.Uneven = false
	if !fl.useSpeeds() {
		return
	}
	speeds := make([]readtime.Speed, len(candidates))
	for i := range candidates {
		speeds[i] = speedOf(i)
	}
	if in.Uneven = fl.engineSpeeds.spread.Note(fl.service.Name, speeds, fl.Now()); !in.Uneven {
		return
	}
	if all {
		readtime.Relative(speeds)
	}
	in.MaxPause = fl.view.Estate.StrictestPause(fl.service.Name)
	in.Pause = func(running int) time.Duration { return fl.engineSpeeds.steps.Pause(fl.service.Name, running) }
	for i := range candidates {
		candidates[i].Slowdown = readtime.FactorOf(speeds[i], candidates[i].Slowdown)
	}
}

// EngineSpeed returns the measured time of an engine relative to a usual one; zero if it is unknown.
func (f *Forwarder) EngineSpeed(engine fleet.Incarnation) float64 {
	return f.engineSpeeds.measured.Speed(engine, f.Now()).Factor
}

// recordSpeed adds the time to the first event to the speed of an engine, unless its sidecar records it.
func (fl *flow) recordSpeed(dst *destination) {
	if fl.useSpeeds() && !dst.probed {
		fl.engineSpeeds.measured.Record(dst.target.Incarnation, time.Since(fl.sentAt), dst.expectedFirstEvent, fl.Now())
	}
}

// minPacedEvents is the least number of events of a stream whose mean pause is learned.
const minPacedEvents = 8

// learnStepTime adds the pauses of a stream that has ended to the prediction for its service. A stream
// that continued at another engine, or whose caller did not read it, says nothing about the engine.
func (fl *flow) learnStepTime(dst *destination) {
	if !fl.useSpeeds() || dst.running == 0 || fl.sends > 1 || fl.eventCount < minPacedEvents || !fl.stalledAt.IsZero() {
		return
	}
	pause := fl.lastEventAt.Sub(dst.firstEventAt) / time.Duration(fl.eventCount-1)
	fl.engineSpeeds.steps.Record(fl.service.Name, dst.running, time.Duration(float64(pause)/dst.slowdown), fl.Now())
}
