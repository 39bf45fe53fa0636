package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// requestField names the request on its lines, and printField what its caller's other
	// tries have in common with it.
	requestField = "request_id"
	printField   = "print"
	// maxLine is the longest line that is read; longer ones are no lines of ours.
	maxLine = 1 << 20
	// Before is how long before a request's first line beliefs are told.
	Lookback = 5 * time.Second
)

// beliefEvents are the lines that tell of a changed belief or dependency.
var beliefEvents = []string{
	"estate_in_force", "weights_wanted", "target_listed", "target_unlisted", "target_gone", "engine_told", "engine_told_silent", "target_rested",
	"store_lost", "store_regained", "list_regained", "feed_trimmed", "fetch_failed", "peer_heard", "peer_silent", "host_woke", "declaration_refused",
	"settings_reloaded", "settings_refused", "started", "stopping", "stopped", "stop_cut_requests", "log_lines_dropped",
	"weights_ordered", "weights_loaded", "engine_silent", "engine_heard", "engine_started_anew", "target_late_word", "target_refused",
	"cache_told", "cache_feed_lost", "cache_feed_regained", "cache_feed_broken", "cache_listed", "store_followed", "store_left",
}

// suspectEvents are the lines that tell what is held against a request. They may be older
// than the try that is asked for, and concern all tries of it.
var suspectEvents = []string{"request_blamed", "request_blame_told", "request_held", "request_quarantined", "request_not_quarantined", "request_cleared", "request_released", "quarantine_kept"}

// Story is what the logs tell of one request.
type Story struct {
	// ID is that of one try, or the print of all tries of the request.
	ID string `json:"id"`
	// Lines are the request's own, in the order of time.
	Lines []Line `json:"lines"`
	// Beliefs are what the processes that had the request learned in the time
	// before it and while it lasted, of the targets it met and of what they
	// depend on.
	StateChanges []Line `json:"beliefs"`
	// Dropped is set when one of the processes dropped log lines meanwhile: the
	// story may have gaps.
	Dropped bool `json:"dropped"`
}

// Read gathers a request's story from logs.
func Read(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{ID: id, Lines: []Line{}, StateChanges: []Line{}}
	var beliefs, held []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := Parse(scanner.Text())
			switch {
			case !ok:
			case l.Get(requestField) == id || l.Get(requestField) != "" && l.Get(printField) == id:
				s.Lines = append(s.Lines, l)
			case slices.Contains(suspectEvents, l.Event):
				held = append(held, l)
			case slices.Contains(beliefEvents, l.Event):
				beliefs = append(beliefs, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	byTime(s.Lines)
	byTime(beliefs)
	for _, l := range held {
		if s.has(func(own *Line) bool { return own.Get(printField) == l.Get(printField) }) {
			s.StateChanges = append(s.StateChanges, l)
		}
	}
	for _, l := range beliefs {
		if s.concerns(&l) {
			s.StateChanges = append(s.StateChanges, l)
			s.Dropped = s.Dropped || l.Event == "log_lines_dropped"
		}
	}
	byTime(s.StateChanges)
	return s, nil
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// concerns reports whether a belief may have decided something about the request.
func (s *Story) concerns(l *Line) bool {
	if len(s.Lines) == 0 {
		return false
	}
	from, to := s.Lines[0].Time.Add(-Lookback), s.Lines[len(s.Lines)-1].Time
	if l.Time.Before(from) || l.Time.After(to) {
		return false
	}
	return s.has(func(own *Line) bool {
		return own.Process == l.Process && (target(l) == "" || target(l) == own.Get("target") || target(l) == own.Get("address"))
	})
}

// target is the target that a belief is about, by its instance or its address.
func target(l *Line) string {
	if t := l.Get("target"); t != "" {
		return t
	}
	if l.Event == "engine_told_silent" {
		return l.Get("address")
	}
	return ""
}

func (s *Story) has(match func(*Line) bool) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool { return match(&l) })
}

// Print writes the story for a person. Times are relative to the request's first
// line.
func (s *Story) Print(out io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(out, "no line tells of request %s\n", s.ID)
		return err
	}
	begin := s.Lines[0].Time
	if _, err := fmt.Fprintf(out, "request %s, first line at %s\n", s.ID, begin.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"what was learned before and meanwhile", s.StateChanges}, {"what became of it", s.Lines}} {
		if len(part.lines) == 0 {
			continue
		}
		if err := printLines(out, part.title, part.lines, begin); err != nil {
			return err
		}
	}
	if s.Dropped {
		_, err := fmt.Fprintln(out, "\nlog lines were dropped meanwhile: the story may have gaps")
		return err
	}
	return nil
}

func printLines(out io.Writer, title string, lines []Line, begin time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\n%s:\n", title)
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(w, "  %+.1f ms\t%s\t%s\t%s\n", float64(l.Time.Sub(begin).Microseconds())/1000, l.Process, l.Event, told(l))
	}
	return w.Flush()
}

// told joins the fields that say something.
func told(l *Line) string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Key == requestField || f.Value == "" || f.Value == "0s" || f.Value == "invalid AddrPort" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.Key + "=" + f.Value)
	}
	return b.String()
}
