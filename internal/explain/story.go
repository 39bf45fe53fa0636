package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"
)

const (
	// requestField holds the ID of one attempt; fingerprintField identifies the request across
	// its caller's retries.
	requestField     = "request_id"
	fingerprintField = "print"
	// resumesField holds the ID of the attempt that began the stream which another one resumes.
	resumesField = "resumes"
	// droppedEvent reports lines that were dropped, droppedField the requests of some of them.
	droppedEvent = "log_lines_dropped"
	droppedField = "requests"
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// Lookback is how long before a request's first line state changes are included.
	Lookback = 5 * time.Second
)

// stateChangeEvents are the events that record a change in what a process knows of targets,
// or in the availability of a dependency.
var stateChangeEvents = []string{
	"estate_in_force", "weights_wanted", "weights_wanted_since", "target_listed", "target_unlisted", "target_gone", "engine_reported", "engine_reported_unresponsive", "target_rested",
	"target_limited", "target_limit_ended", "target_leaving", "target_wants_rest", "target_rest_over", "target_statement_refused",
	"store_lost", "store_regained", "list_regained", "feed_trimmed", "snapshot_ignored", "store_era_refused", "store_restored", "era_followed", "quarantine_reconciled", "fetch_failed", "control_late", "configuration_outdated", "readiness", "peer_live", "peer_silent", "host_woke", "declaration_refused",
	"settings_reloaded", "settings_refused", "started", "stopping", "stopped", "stop_cut_requests", droppedEvent,
	"weights_ordered", "weights_loaded", "engine_silent", "engine_heard", "engine_started_anew", "target_listing_delayed", "target_refused", "target_is_entry",
	"cache_reported", "cache_feed_lost", "cache_feed_regained", "cache_feed_broken", "cache_listed", "store_followed", "store_left",
}

// quarantineEvents are the events that record a request's quarantine status. They concern all
// attempts with the same fingerprint, so they may precede the attempt in question.
var quarantineEvents = []string{"request_suspected", "suspicion_dismissed", "request_blamed", "request_crash_reported", "request_held", "request_quarantined", "request_not_quarantined", "request_cleared", "request_released", "quarantine_kept"}

// Story is what the logs contain about one request.
type Story struct {
	// ID is the ID of one attempt, or the fingerprint that all attempts share.
	ID string `json:"id"`
	// Lines are the request's own lines, ordered by time.
	Lines []Line `json:"lines"`
	// StateChanges are the relevant state changes in the processes that handled the request,
	// from Lookback before its first line until its last one.
	StateChanges []Line `json:"beliefs"`
	// Dropped is set when one of the processes dropped log lines during that time.
	Dropped bool `json:"dropped"`
}

// Read collects a request's story from logs.
func Read(id string, logs ...io.Reader) (*Story, error) {
	s := &Story{ID: id, Lines: []Line{}, StateChanges: []Line{}}
	var stateChanges, quarantineLines []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := Parse(scanner.Text())
			switch {
			case !ok:
			case l.Get(requestField) == id || l.Get(resumesField) == id || l.Get(requestField) != "" && l.Get(fingerprintField) == id:
				s.Lines = append(s.Lines, l)
			case l.Event == droppedEvent && slices.Contains(strings.Split(l.Get(droppedField), ","), id):
				s.Dropped = true
				s.Lines = append(s.Lines, l)
			case slices.Contains(quarantineEvents, l.Event):
				quarantineLines = append(quarantineLines, l)
			case slices.Contains(stateChangeEvents, l.Event):
				stateChanges = append(stateChanges, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	sortByTime(s.Lines)
	sortByTime(stateChanges)
	for _, l := range quarantineLines {
		if s.containsLine(func(own *Line) bool { return own.concernsSuspect(l.Get(fingerprintField)) }) {
			s.StateChanges = append(s.StateChanges, l)
		}
	}
	for _, l := range stateChanges {
		if s.isRelevant(&l) {
			s.StateChanges = append(s.StateChanges, l)
			s.Dropped = s.Dropped || l.Event == droppedEvent
		}
	}
	sortByTime(s.StateChanges)
	return s, nil
}

// concernsSuspect reports whether a request's line has a fingerprint, as the request's or as that of the
// part of its prompt that the quarantine restricts.
func (l *Line) concernsSuspect(fingerprint string) bool {
	return l.Get(fingerprintField) == fingerprint || l.Get("suspect") == fingerprint
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// isRelevant reports whether a state change may have influenced the request's handling.
func (s *Story) isRelevant(change *Line) bool {
	if len(s.Lines) == 0 {
		return false
	}
	from, to := s.Lines[0].Time.Add(-Lookback), s.Lines[len(s.Lines)-1].Time
	if change.Time.Before(from) || change.Time.After(to) {
		return false
	}
	return s.containsLine(func(own *Line) bool {
		return own.Process == change.Process && own.mayDependOn(targetOf(change))
	})
}

// mayDependOn reports whether a request's line may result from the state of a target; the empty target
// stands for changes that concern all. A line names the target of a send and those that were passed
// over.
func (l *Line) mayDependOn(target string) bool {
	return target == "" || target == l.Get("target") || target == l.Get("address") ||
		strings.Contains(l.Get("avoided"), target+":") || strings.Contains(l.Get("detail"), target+":")
}

// targetOf returns the instance or address of the target that a state change is about, or an
// empty string if it is not about one target.
func targetOf(l *Line) string {
	if t := l.Get("target"); t != "" {
		return t
	}
	if l.Event == "engine_reported_unresponsive" {
		return l.Get("address")
	}
	return ""
}

func (s *Story) containsLine(match func(*Line) bool) bool {
	return slices.ContainsFunc(s.Lines, func(l Line) bool { return match(&l) })
}

// Print writes the story as text, with times relative to the request's first line.
func (s *Story) Print(out io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(out, "no log line mentions request %s\n", s.ID)
		return err
	}
	begin := s.Lines[0].Time
	if _, err := fmt.Fprintf(out, "request %s, first line at %s\n", s.ID, begin.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, section := range []struct {
		title string
		lines []Line
	}{{"state changes before and during the request", s.StateChanges}, {"the request", s.Lines}} {
		if len(section.lines) == 0 {
			continue
		}
		if err := printLines(out, section.title, section.lines, begin); err != nil {
			return err
		}
	}
	if s.Dropped {
		_, err := fmt.Fprintln(out, "\nlog lines were dropped during this time; the account may be incomplete")
		return err
	}
	return nil
}

func printLines(out io.Writer, title string, lines []Line, begin time.Time) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\n%s:\n", title)
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(w, "  %+.1f ms\t%s\t%s\t%s\n", float64(l.Time.Sub(begin).Microseconds())/1000, l.Process, l.Event, formatFields(l))
	}
	return w.Flush()
}

// formatFields joins the fields whose values are not empty.
func formatFields(l *Line) string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Key == requestField || f.Value == "" || f.Value == "0s" || f.Value == "invalid AddrPort" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.Key + "=" + oneLine(f.Value))
	}
	return b.String()
}

// oneLine returns a value as it is, or quoted if it contains line ends or other control characters.
func oneLine(value string) string {
	if strings.ContainsFunc(value, unicode.IsControl) {
		return strconv.Quote(value)
	}
	return value
}
