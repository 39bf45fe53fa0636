package quarantine

import (
	"slices"
	"time"
)

// News yields when there is something to tell the other processes, or a finding changed.
func (b *Book) News() <-chan struct{} { return b.news }

// Merge takes in what another process knows of a request, and reports whether it is news.
// With passOn the others are told in turn. What follows from it is found out with the next
// question, or by Settle: a datagram holds several records.
func (b *Book) Merge(o Record, passOn bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(&o, now) {
		return false
	}
	r := b.records[o.Print]
	if r == nil {
		if len(o.Ends) == 0 && o.Generation == 0 {
			return false
		}
		r = &Record{Print: o.Print}
		b.records[o.Print] = r
	}
	known, generation := len(r.Ends), r.Generation
	switch r.merge(&o) {
	case nothing:
		return false
	case detail:
		b.touch(o.Print, false)
		return false
	}
	if r.Generation != generation {
		known = 0 // all its ends are news
		if len(r.Ends) == 0 {
			b.observer.Released(r, true)
		}
	}
	for _, e := range r.Ends[known:] {
		b.observer.Blamed(r, e, true)
		b.noteEnd(e.At)
	}
	if r.Trial.Target != 0 {
		b.tried[o.Print] = r
	} else {
		delete(b.tried, o.Print)
	}
	b.touch(o.Print, false)
	if passOn {
		b.tell(o.Print)
	}
	b.makeRoom()
	return true
}

func (b *Book) tell(p Print) {
	if !slices.Contains(b.fresh, p) {
		b.fresh = append(b.fresh, p)
	}
	b.signal()
}

// signal says that there is news.
func (b *Book) signal() {
	select {
	case b.news <- struct{}{}:
	default: // it is known already
	}
}

// TakeFresh returns up to n records of which the others are to be told at once.
func (b *Book) TakeFresh(n int) []Record {
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
func (b *Book) Next(n int, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var prints []Print
	for p, r := range b.records {
		if (len(r.Ends) > 1 || r.Generation > 0 || now.Sub(r.ChangedAt()) < retellFor) && !b.expired(r, now) {
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
