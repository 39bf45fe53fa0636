package readtime

import (
	"math"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// paceSmoothing is the weight of the newest request in an engine's pace.
	paceSmoothing = 0.1
	// paceHalfLife is the time after which half of a pace that differs from the
	// others' is forgotten: an engine that is not used because it was slow would
	// never show that it is not any more.
	paceHalfLife = 3 * time.Second
	// minPace and maxPace bound one request's word. Less is an estimate that was
	// too high, more is an engine that hangs, which health is for.
	minPace = 0.7
	maxPace = 10.0
	// minExpected is the least expected time that says something of the pace.
	minExpected = 20 * time.Millisecond
	// noticeable is the least pace that counts: estimates miss by as much, and
	// would send prompts back and forth between equal engines.
	noticeable = 1.3
	// paceForget is the silence after which an engine is forgotten.
	paceForget = time.Minute
)

type pace struct {
	factor float64
	at     time.Time
}

// now is the pace with what is forgotten taken off.
func (p pace) now(now time.Time) float64 {
	keep := math.Exp2(-float64(now.Sub(p.at)) / float64(paceHalfLife))
	return 1 + (p.factor-1)*keep
}

// Paces holds by how much each engine is slower than predicted. Engines of one
// service differ in speed, and one that is ill may be slower by far while its
// health is good. It is safe for concurrent use.
type Slowdowns struct {
	mu  sync.Mutex
	all map[fleet.Incarnation]pace
}

// NewPaces returns paces of which nothing is known.
func NewSlowdowns() *Slowdowns { return &Slowdowns{all: map[fleet.Incarnation]pace{}} }

// Note takes in how long the first event of a request took at an engine, and how
// long was expected.
func (p *Slowdowns) Record(life fleet.Incarnation, took, expected time.Duration, now time.Time) {
	if expected < minExpected {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.all[life]
	factor := 1.0
	if known {
		factor = old.now(now)
	} else {
		p.sweep(now)
	}
	seen := min(max(float64(took)/float64(expected), minPace), maxPace)
	p.all[life] = pace{factor: factor + paceSmoothing*(seen-factor), at: now}
}

func (p *Slowdowns) sweep(now time.Time) {
	for life, one := range p.all {
		if now.Sub(one.at) > paceForget {
			delete(p.all, life)
		}
	}
}

// Of returns by how much an engine is slower than predicted.
func (p *Slowdowns) Factor(life fleet.Incarnation, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, known := p.all[life]
	if !known {
		return 1
	}
	if now := one.now(now); now >= noticeable {
		return now
	}
	return 1
}
