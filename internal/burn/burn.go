// Package burn counts good and bad requests per minute and computes burn rates of
// the error budgets of service-level objectives.
package burn

import (
	"sort"
	"sync"
	"time"
)

const (
	// Minutes is the number of minutes that a counter covers.
	Minutes = 60
	// maxKeys limits the rows of a counter. Further workspaces are counted as
	// OtherWorkspaces.
	maxKeys = 2000
	// OtherWorkspaces is the name for workspaces beyond the limit.
	OtherWorkspaces = "other"
)

// Key identifies a row of a counter.
type Key struct {
	Service   string
	Class     string
	Workspace string
}

// Count is the number of requests in a minute.
type Count struct {
	Key
	// Minute is the Unix time in minutes.
	Minute int64
	Good   int64
	Bad    int64
}

type cell struct {
	minute    int64
	good, bad int64
}

// Counter counts the requests of a process. It is safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	now   func() time.Time
	since time.Time
	rows  map[Key]*[Minutes]cell
}

// NewCounter returns an empty counter.
func NewCounter(now func() time.Time) *Counter {
	return &Counter{now: now, since: now(), rows: map[Key]*[Minutes]cell{}}
}

// Since returns when the counter started.
func (c *Counter) Since() time.Time { return c.since }

// Add counts a request.
func (c *Counter) Add(key Key, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.rows[key]
	if !ok && len(c.rows) >= maxKeys {
		key.Workspace = OtherWorkspaces
		row, ok = c.rows[key]
	}
	if !ok {
		row = &[Minutes]cell{}
		c.rows[key] = row
	}
	minute := c.now().Unix() / 60
	current := &row[minute%Minutes]
	if current.minute != minute {
		*current = cell{minute: minute}
	}
	if good {
		current.good++
		return
	}
	current.bad++
}

// Counts returns the counts of the last Minutes minutes, sorted.
func (c *Counter) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.now().Unix()/60 - Minutes
	var counts []Count
	for key, row := range c.rows {
		for _, m := range row {
			if m.minute > oldest && m.good+m.bad > 0 {
				counts = append(counts, Count{key, m.minute, m.good, m.bad})
			}
		}
	}
	sort.Slice(counts, func(i, j int) bool { return less(counts[i], counts[j]) })
	return counts
}

func less(a, b Count) bool {
	switch {
	case a.Service != b.Service:
		return a.Service < b.Service
	case a.Class != b.Class:
		return a.Class < b.Class
	case a.Workspace != b.Workspace:
		return a.Workspace < b.Workspace
	default:
		return a.Minute < b.Minute
	}
}
