package quarantine

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// besideWindow is the time around a request's ends within which the end of a target that
// did not run it speaks for another cause: a loss of power, or a fault of the targets,
// ends several within a moment.
const besideWindow = time.Second

// Judge names the requests that are to be refused, among records of which none is older
// than it may be. It goes by nothing else, so that all processes with the same records
// refuse the same requests.
//
// A request is refused when so many ends in a row came under it, each send being made
// after the end before was known. When as many came at once, it is refused only if no
// target ended near them in time without it.
//
// Requests that stood beside the cause have some of its ends, the cause has all of them:
// the one with most is judged first, and what it explains no longer counts against the
// others. Two that cannot be told apart are both left: each runs alone next time, and only
// one of them ends its target then.
func Judge(records []*Record, ends int) map[Print]bool {
	j := judgement{records: records, ends: ends, refused: map[Print]bool{}, explained: map[fleet.ID]bool{}, left: map[Print]bool{}}
	for r := j.worst(); r != nil; r = j.worst() {
		if tied := j.tied(r); tied != nil {
			j.left[r.Print], j.left[tied.Print] = true, true
			continue
		}
		j.refused[r.Print] = true
		for _, e := range r.Ends {
			j.explained[e.Target] = true
		}
	}
	return j.refused
}

// judgement is one call of Judge.
type judgement struct {
	records []*Record
	ends    int
	refused map[Print]bool
	// explained are the lives that refused requests have ended.
	explained map[fleet.ID]bool
	// left are requests that cannot be told apart.
	left map[Print]bool
}

func (j *judgement) isExplained(target fleet.ID) bool { return j.explained[target] }

// worst returns the request with the most ends among those that may be refused and were
// not looked at yet; nil when there is none.
func (j *judgement) worst() *Record {
	var worst *Record
	most := 0
	for _, r := range j.records {
		if j.refused[r.Print] || j.left[r.Print] || !j.guilty(r) {
			continue
		}
		if n := r.open(j.isExplained); n > most || n == most && r.Print < worst.Print {
			worst, most = r, n
		}
	}
	return worst
}

// tied returns another request that may be refused for as many ends, and without whose ends
// this one would not have enough.
func (j *judgement) tied(r *Record) *Record {
	n := r.open(j.isExplained)
	for _, o := range j.records {
		if o == r || j.refused[o.Print] || !j.guilty(o) || o.open(j.isExplained) != n {
			continue
		}
		if shared := j.shared(r, o); shared > 0 && n-shared < j.ends {
			return o
		}
	}
	return nil
}

// shared counts the ends that two requests have in common.
func (j *judgement) shared(a, b *Record) int {
	n := 0
	for _, e := range a.Ends {
		if !j.explained[e.Target] && b.end(e.Target) {
			n++
		}
	}
	return n
}

// guilty reports whether a request's own ends suffice to refuse it.
func (j *judgement) guilty(r *Record) bool {
	if len(r.Ends) < j.ends {
		return false
	}
	return r.steps(j.isExplained) >= j.ends || r.open(j.isExplained) >= j.ends && !j.beside(r)
}

// beside reports whether a target ended without the request, near its ends in time.
func (j *judgement) beside(r *Record) bool {
	first, last := r.Ends[0].At, r.Ends[0].At
	for _, e := range r.Ends {
		if e.At.Before(first) {
			first = e.At
		}
		if e.At.After(last) {
			last = e.At
		}
	}
	for _, o := range j.records {
		for _, e := range o.Ends {
			if !j.explained[e.Target] && !r.end(e.Target) && e.At.After(first.Add(-besideWindow)) && e.At.Before(last.Add(besideWindow)) {
				return true
			}
		}
	}
	return false
}
