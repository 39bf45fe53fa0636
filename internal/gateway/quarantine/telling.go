package quarantine

import (
	"slices"
	"time"
)

// News yields when there is something to tell the other processes, or a finding changed.
func (b *Registry) Updates() <-chan struct{} { return b.news }

// Merge takes in what another process knows of a request, and reports whether it is news.
// With passOn the others are told in turn. What follows from it is found out with the next
// question, or by Settle: a datagram holds several records.
func (b *Registry) Merge(o Record, passOn bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(&o, now) {
		return false
	}
	r := b.records[o.Fingerprint]
	if r == nil {
		if len(o.Crashes) == 0 && o.Generation == 0 {
			return false
		}
		r = &Record{Fingerprint: o.Fingerprint}
		b.records[o.Fingerprint] = r
	}
	known, generation := len(r.Crashes), r.Generation
	switch r.merge(&o) {
	case nothing:
		return false
	case detail:
		b.touch(o.Fingerprint, false)
		return false
	}
	if r.Generation != generation {
		known = 0 // all its ends are news
		if len(r.Crashes) == 0 {
			b.observer.Released(r, true)
		}
	}
	for _, e := range r.Crashes[known:] {
		b.observer.CrashAttributed(r, e, true)
		b.noteEnd(e.At)
	}
	if r.ProbationRun.Target != 0 {
		b.tried[o.Fingerprint] = r
	} else {
		delete(b.tried, o.Fingerprint)
	}
	b.touch(o.Fingerprint, false)
	if passOn {
		b.tell(o.Fingerprint)
	}
	b.makeRoom()
	return true
}

func (b *Registry) tell(p Fingerprint) {
	if !slices.Contains(b.fresh, p) {
		b.fresh = append(b.fresh, p)
	}
	b.signal()
}

// signal says that there is news.
func (b *Registry) signal() {
	select {
	case b.news <- struct{}{}:
	default: // it is known already
	}
}

// TakeFresh returns up to n records of which the others are to be told at once.
func (b *Registry) TakeUpdates(n int) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []Record
	for len(taken) < n && len(b.fresh) > 0 {
		p := b.fresh[0]
		b.fresh = b.fresh[1:]
		if r := b.records[p]; r != nil {
			taken = append(taken, r.clone())
		}
	}
	return taken
}

// retellFor is how long a request with one end is told again and again, for processes
// that the first word did not reach. Its caller has come again by then; the others matter
// for as long as they are kept.
const retellFor = 10 * time.Second

// Next returns up to n of the records that the others should know, in turn.
func (b *Registry) NextToAnnounce(n int, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var prints []Fingerprint
	for p, r := range b.records {
		if (len(r.Crashes) > 1 || r.Generation > 0 || now.Sub(r.ChangedAt()) < retellFor) && !b.expired(r, now) {
			prints = append(prints, p)
		}
	}
	if len(prints) == 0 {
		return nil
	}
	slices.Sort(prints)
	from, _ := slices.BinarySearch(prints, b.turn+1)
	var next []Record
	for i := range min(n, len(prints)) {
		p := prints[(from+i)%len(prints)]
		next = append(next, b.records[p].clone())
		b.turn = p
	}
	return next
}
