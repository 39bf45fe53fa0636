// Package losses tells from the logs of entries which requests were not served in time,
// when, and for what reason.
//
// It goes by what an entry knew: what it expected of a send, and what came. What other
// processes did to a request shows as "beyond what was expected".
package losses

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/explain"
)

// maxLine is the longest log line that is read; longer ones are no lines of ours.
const maxLine = 1 << 20

// Reasons for an answer that was late, by what took the most time of it.
const (
	ReasonEntryWait  = "kept before the send"
	ReasonEngineWait = "expected wait at the engine"
	ReasonPrefill    = "expected reading"
	ReasonFetch      = "expected fetch of parts"
	ReasonUnexpected = "beyond what was expected"
	ReasonResend     = "another send"
)

// Row counts the requests of one route in one window of time.
type Row struct {
	Route string `json:"route"`
	// From is when the window begins, in seconds from the first line.
	Start float64 `json:"from_s"`
	// Requests are all that ended in the window; InTime those whose first event came
	// within the route's aim, Late those after it, Gone those whose callers left.
	Requests  int `json:"requests"`
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Cancelled int `json:"gone"`
	// Shared, Held and Fetched are tokens of the shared parts of prompts: in all, those
	// that the engine was expected to hold, and to fetch.
	SharedTokens  int `json:"shared_tokens"`
	CachedTokens  int `json:"held_tokens"`
	FetchedTokens int `json:"fetched_tokens"`
	// Reasons are why requests were late, refused or failed, with how many.
	Reasons map[string]int `json:"reasons"`
}

// Options say how requests are judged.
type Options struct {
	// Window is the length of a row's time.
	Window time.Duration
	// Aim is the time within which the first event of a route is of full use, by the
	// route's name. Routes that are not named have DefaultAim.
	Objectives       map[string]time.Duration
	DefaultObjective time.Duration
}

// sent is what a request's sends were expected to take.
type sent struct {
	wait, read, fetch, kept time.Duration
	shared, held, fetched   int
	sends                   int
}

// Read makes the table of the logs, in the order of time and routes.
func Read(o Options, logs ...io.Reader) ([]Row, error) {
	lines, err := readLines(logs)
	if err != nil || len(lines) == 0 {
		return nil, err
	}
	table := &table{options: o, start: lines[0].Time, sends: map[string]*sent{}, rows: map[key]*Row{}}
	for i := range lines {
		table.take(&lines[i])
	}
	return table.sorted(), nil
}

func readLines(logs []io.Reader) ([]explain.Line, error) {
	var lines []explain.Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
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

type key struct {
	route  string
	window int
}

type table struct {
	options Options
	start   time.Time
	sends   map[string]*sent
	rows    map[key]*Row
}

func (t *table) take(l *explain.Line) {
	id := l.Process + "\x00" + l.Get("request_id")
	if l.Event == "request_sent" {
		s := &sent{
			wait: duration(l, "wait"), read: duration(l, "read"), fetch: duration(l, "fetch"), kept: duration(l, "kept"),
			shared: number(l, "shared"), held: number(l, "held"), fetched: number(l, "fetched"), sends: number(l, "send"),
		}
		t.sends[id] = s
		return
	}
	t.done(l, t.sends[id])
	delete(t.sends, id)
}

// done counts a request that has ended; s is nil for one that was never sent.
func (t *table) done(l *explain.Line, s *sent) {
	row := t.row(l)
	row.Requests++
	if s != nil {
		row.SharedTokens += s.shared
		row.CachedTokens += s.held
		row.FetchedTokens += s.fetched
	}
	switch outcome := l.Get("outcome"); {
	case outcome == "cancelled":
		row.Cancelled++
	case outcome != "answered":
		row.Reasons[outcome]++
	case duration(l, "first") <= t.aim(row.Route):
		row.InTime++
	default:
		row.Late++
		row.Reasons["late: "+reason(duration(l, "first"), s)]++
	}
}

// reason names what took the most of the time until the first event.
func reason(first time.Duration, s *sent) string {
	if s == nil {
		return ReasonUnexpected
	}
	if s.sends > 1 {
		return ReasonResend
	}
	parts := map[string]time.Duration{
		ReasonEntryWait: s.kept, ReasonEngineWait: s.wait, ReasonPrefill: s.read, ReasonFetch: s.fetch,
		ReasonUnexpected: first - s.kept - s.wait - s.read - s.fetch,
	}
	names := slices.Sorted(maps.Keys(parts))
	return slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(parts[a], parts[b]) })
}

func (t *table) row(l *explain.Line) *Row {
	k := key{route: l.Get("route"), window: int(l.Time.Sub(t.start) / t.options.Window)}
	row := t.rows[k]
	if row == nil {
		row = &Row{Route: k.route, Start: (time.Duration(k.window) * t.options.Window).Seconds(), Reasons: map[string]int{}}
		t.rows[k] = row
	}
	return row
}

func (t *table) aim(route string) time.Duration {
	if aim, ok := t.options.Objectives[route]; ok {
		return aim
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

// duration reads a field of a line; one that is missing or no duration counts as none,
// as for requests without a prompt.
func duration(l *explain.Line, field string) time.Duration {
	d, err := time.ParseDuration(l.Get(field))
	if err != nil {
		return 0
	}
	return d
}

// number reads a field of a line; one that is missing or no number counts as none.
func number(l *explain.Line, field string) int {
	n, err := strconv.Atoi(l.Get(field))
	if err != nil {
		return 0
	}
	return n
}
