// Package losses computes from the logs of entries how many requests missed their latency
// objective, when, and why.
//
// It compares an entry's estimate for a send with the outcome, so delays in other processes
// are reported as unexpected.
package losses

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/explain"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Reasons for a late response: the largest component of its time to first event.
const (
	ReasonEntryWait  = "kept before the send"
	ReasonEngineWait = "expected wait at the engine"
	ReasonPrefill    = "expected reading"
	ReasonFetch      = "expected fetch of parts"
	ReasonUnexpected = "beyond what was expected"
	ReasonResend     = "another send"
)

// Row counts the requests of one route in one time window.
type Row struct {
	Route string `json:"route"`
	// Start is the start of the window, in seconds since the first log line.
	Start float64 `json:"from_s"`
	// Requests counts the requests that ended in the window. InTime counts those whose first
	// event met the route's objective, Late those that missed it, and Cancelled those whose
	// callers disconnected.
	Requests  int `json:"requests"`
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Cancelled int `json:"gone"`
	// SharedTokens counts the tokens of prompts' shared parts, CachedTokens those expected to
	// be cached at the engine, and FetchedTokens those that it was expected to fetch.
	SharedTokens  int `json:"shared_tokens"`
	CachedTokens  int `json:"held_tokens"`
	FetchedTokens int `json:"fetched_tokens"`
	// Reasons counts the late, refused and failed requests by reason.
	Reasons map[string]int `json:"reasons"`
	// Detours counts the requests that were sent past targets that had asked for fewer requests, by
	// what these had stated.
	Detours map[string]int `json:"detours"`
}

// Options configures the evaluation.
type Options struct {
	// Window is the length of the time window of a row.
	Window time.Duration
	// Objectives maps a route's name to its objective for the time to first event. Other
	// routes have DefaultObjective.
	Objectives       map[string]time.Duration
	DefaultObjective time.Duration
}

// sendEstimate is the entry's estimate for the latest send of a request.
type sendEstimate struct {
	engineWait, prefill, fetch, entryWait     time.Duration
	sharedTokens, cachedTokens, fetchedTokens int
	sends                                     int
	// avoided are the targets that were passed over, as in [statedReasons].
	avoided string
}

// Read computes the rows of the logs, ordered by route and time.
func Read(o Options, logs ...io.Reader) ([]Row, error) {
	lines, err := readLines(logs)
	if err != nil || len(lines) == 0 {
		return nil, err
	}
	table := &table{options: o, start: lines[0].Time, sends: map[string]*sendEstimate{}, rows: map[rowKey]*Row{}}
	for i := range lines {
		table.add(&lines[i])
	}
	return table.sorted(), nil
}

func readLines(logs []io.Reader) ([]explain.Line, error) {
	var lines []explain.Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := explain.Parse(scanner.Text())
			if ok && (l.Event == "request_sent" || l.Event == "request_done") {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, func(a, b explain.Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

type rowKey struct {
	route  string
	window int
}

type table struct {
	options Options
	start   time.Time
	sends   map[string]*sendEstimate
	rows    map[rowKey]*Row
}

func (t *table) add(l *explain.Line) {
	id := l.Process + "\x00" + l.Get("request_id")
	if l.Event == "request_sent" {
		s := &sendEstimate{
			engineWait: durationField(l, "wait"), prefill: durationField(l, "read"), fetch: durationField(l, "fetch"), entryWait: durationField(l, "kept"),
			sharedTokens: intField(l, "shared"), cachedTokens: intField(l, "held"), fetchedTokens: intField(l, "fetched"), sends: intField(l, "send"),
			avoided: l.Get("avoided"),
		}
		t.sends[id] = s
		return
	}
	t.countDone(l, t.sends[id])
	delete(t.sends, id)
}

// countDone counts a completed request; s is nil if it was never sent.
func (t *table) countDone(l *explain.Line, s *sendEstimate) {
	row := t.rowFor(l)
	row.Requests++
	if s != nil {
		row.SharedTokens += s.sharedTokens
		row.CachedTokens += s.cachedTokens
		row.FetchedTokens += s.fetchedTokens
		for _, reason := range statedReasons(s.avoided) {
			row.Detours[reason]++
		}
	}
	switch outcome := l.Get("outcome"); {
	case outcome == "cancelled":
		row.Cancelled++
	case outcome == throttled:
		row.Reasons[throttledReason(l.Get("detail"))]++
	case outcome != "answered":
		row.Reasons[outcome]++
	case durationField(l, "first") <= t.objective(row.Route):
		row.InTime++
	default:
		row.Late++
		row.Reasons["late: "+lateReason(durationField(l, "first"), s)]++
	}
}

// throttled is the outcome of requests that were refused because all targets of a service had asked for
// fewer requests.
var throttled = errkind.Throttled.String()

// throttledReason returns the reason of a refusal, with what the targets had stated if its detail ends
// with a list of them.
func throttledReason(detail string) string {
	_, avoided, _ := lastCut(detail, ": ")
	reasons := statedReasons(avoided)
	if len(reasons) == 0 {
		return throttled
	}
	return throttled + ": " + strings.Join(reasons, " and ")
}

// statedReasons returns the distinct reasons in a list of TARGET:REASON, in alphabetical order.
func statedReasons(avoided string) []string {
	var reasons []string
	for item := range strings.SplitSeq(avoided, ",") {
		if _, reason, ok := lastCut(item, ":"); ok {
			reasons = append(reasons, reason)
		}
	}
	slices.Sort(reasons)
	return slices.Compact(reasons)
}

// lastCut is strings.Cut at the last separator.
func lastCut(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}

// lateReason returns the largest component of the time to first event.
func lateReason(first time.Duration, s *sendEstimate) string {
	if s == nil {
		return ReasonUnexpected
	}
	if s.sends > 1 {
		return ReasonResend
	}
	components := map[string]time.Duration{
		ReasonEntryWait: s.entryWait, ReasonEngineWait: s.engineWait, ReasonPrefill: s.prefill, ReasonFetch: s.fetch,
		ReasonUnexpected: first - s.entryWait - s.engineWait - s.prefill - s.fetch,
	}
	names := slices.Sorted(maps.Keys(components))
	return slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(components[a], components[b]) })
}

func (t *table) rowFor(l *explain.Line) *Row {
	k := rowKey{route: l.Get("route"), window: int(l.Time.Sub(t.start) / t.options.Window)}
	row := t.rows[k]
	if row == nil {
		row = &Row{Route: k.route, Start: (time.Duration(k.window) * t.options.Window).Seconds(), Reasons: map[string]int{}, Detours: map[string]int{}}
		t.rows[k] = row
	}
	return row
}

func (t *table) objective(route string) time.Duration {
	if objective, ok := t.options.Objectives[route]; ok {
		return objective
	}
	return t.options.DefaultObjective
}

func (t *table) sorted() []Row {
	var all []Row
	for _, row := range t.rows {
		all = append(all, *row)
	}
	slices.SortFunc(all, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Start, b.Start)) })
	return all
}

// durationField returns a field's duration, or 0 if the field is missing or invalid, as for
// requests without a prompt.
func durationField(l *explain.Line, field string) time.Duration {
	d, err := time.ParseDuration(l.Get(field))
	if err != nil {
		return 0
	}
	return d
}

// intField returns a field's number, or 0 if the field is missing or invalid.
func intField(l *explain.Line, field string) int {
	n, err := strconv.Atoi(l.Get(field))
	if err != nil {
		return 0
	}
	return n
}
