package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
)

const (
	// The whole fleet of the sheet: its processes and engines, the small entries' links, and the size
	// of one target's record as it is sent.
	spreadProcesses   = 981
	spreadSeeds       = 3
	spreadEngines     = 625
	spreadRecordBytes = 300
	smallLinkBytes    = 20e6 / 8
	sidecarLinkBytes  = 2000e6 / 8
	spreadStep        = 10 * time.Millisecond
	// spreadSightings is how many other processes an answer names.
	spreadSightings = 6
)

// spreadProcess is a process of a fleet that starts.
type spreadProcess struct {
	link      float64
	known     []int
	knows     map[int]bool
	startsAt  time.Duration
	nextRound time.Duration
	// replicaAt is when the process has its first replica, zero before.
	replicaAt time.Duration
	// servedUntil are the ends of the fetches that it serves, busyUntil that of its own fetch.
	servedUntil []time.Duration
	busyUntil   time.Duration
	seenAt      time.Duration
	readsStore  bool
}

// spread is a model of how a fleet that starts gets its first replica of the list: processes know the
// seeds, ask whom they know, and learn of others from the answers.
type spread struct {
	random    *rand.Rand
	processes []*spreadProcess
	pageBytes float64
}

func newSpread(scale float64) *spread {
	s := &spread{random: rand.New(rand.NewPCG(1, uint64(scale*100))), pageBytes: scale * spreadEngines * spreadRecordBytes}
	for i := range int(scale * spreadProcesses) {
		p := &spreadProcess{link: smallLinkBytes, knows: map[int]bool{}, startsAt: s.within(300 * time.Millisecond)}
		if i%3 != 0 { // two of three are sidecars
			p.link = sidecarLinkBytes
		}
		p.nextRound = p.startsAt
		for seed := range spreadSeeds {
			p.learn(seed, i)
		}
		s.processes = append(s.processes, p)
	}
	return s
}

func (s *spread) within(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (p *spreadProcess) learn(other, self int) {
	if other != self && !p.knows[other] {
		p.knows[other] = true
		p.known = append(p.known, other)
	}
}

// run returns how many processes other than the seeds read the store, and when all have a replica.
func (s *spread) run(limit time.Duration) (readers int, complete time.Duration) {
	for now := time.Duration(0); now < limit; now += spreadStep {
		missing := 0
		for i, p := range s.processes {
			if p.replicaAt == 0 || p.replicaAt > now {
				missing++
				s.step(i, p, now)
			}
		}
		if missing == 0 {
			complete = now
			break
		}
	}
	for _, p := range s.processes[spreadSeeds:] {
		if p.readsStore {
			readers++
		}
	}
	return readers, complete
}

func (s *spread) step(i int, p *spreadProcess, now time.Duration) {
	if now < p.startsAt || p.readsStore {
		return
	}
	wait := peerWait{sinceStart: now - p.startsAt, replicaSeen: p.seenAt > 0 && now-p.seenAt < replicaSeenTTL}
	if i < spreadSeeds || !wait.shouldWait() {
		const storeRead = 40 * time.Millisecond
		p.readsStore = true
		p.receive(now + storeRead)
		return
	}
	if now < p.nextRound {
		return
	}
	p.nextRound = now + mixedHeartbeatPeriod*3/4 + s.within(mixedHeartbeatPeriod/2)
	for range min(mesh.FanOut, len(p.known)) {
		s.ask(i, p, p.known[s.random.IntN(len(p.known))], now)
	}
}

// ask sends a heartbeat to another process. One with a replica announces it, and the sender fetches it
// unless it is fetching already or the other one serves as many as it may.
func (s *spread) ask(i int, p *spreadProcess, to int, now time.Duration) {
	other := s.processes[to]
	other.learn(i, to)
	if other.replicaAt == 0 || other.replicaAt > now {
		return
	}
	p.seenAt = now
	for range min(spreadSightings, len(other.known)) {
		p.learn(other.known[s.random.IntN(len(other.known))], i)
	}
	serving := 0
	for _, until := range other.servedUntil {
		if until > now {
			serving++
		}
	}
	if p.busyUntil > now || serving >= mesh.MaxFetches {
		return
	}
	took := time.Duration(s.pageBytes / min(p.link, other.link/float64(serving+1)) * float64(time.Second))
	p.busyUntil = now + min(took, mesh.HedgeDelay)
	other.servedUntil = append(other.servedUntil, now+min(took, mesh.MaxHedges*mesh.HedgeDelay))
	if took <= mesh.MaxHedges*mesh.HedgeDelay {
		p.receive(now + took)
	}
}

// receive records when a replica arrives, unless another does earlier.
func (p *spreadProcess) receive(at time.Duration) {
	if p.replicaAt == 0 || at < p.replicaAt {
		p.replicaAt = at
	}
}

// Guards against a store that is read by a fleet that starts: of the whole fleet, and of one of twice its
// size, no more processes than 1 in 100 may read it, and all must have a replica well before traffic.
func TestReplicasSpreadFromPeersInAFleetThatStarts(t *testing.T) {
	const maxReaders, beforeTraffic = 0.01, 10 * time.Second
	for _, scale := range []float64{0.1, 0.3, 1, 2} {
		s := newSpread(scale)
		readers, complete := s.run(2 * beforeTraffic)
		t.Logf("%5d processes: %d read the store, all have the list after %v", len(s.processes), readers, complete)
		if float64(readers) > maxReaders*float64(len(s.processes)) || complete == 0 || complete > beforeTraffic {
			t.Errorf("%d processes: %d read the store, all have the list after %v", len(s.processes), readers, complete)
		}
	}
}
