// Package burn counts good and bad requests against the service-level
// objectives, minute by minute, and works out how fast each error budget burns.
package burn

import (
	"sort"
	"sync"
	"time"
)

const (
	// Minutes is how many minutes a counter keeps.
	Minutes = 60
	// maxKeys bounds a counter's rows; further workspaces count as Other.
	maxKeys = 2000
	// Other stands for workspaces beyond the bound.
	OtherWorkspaces = "other"
)

// Key names what is counted.
type Key struct {
	Service   string
	Class     string
	Workspace string
}

// Count holds the requests of one minute.
type Count struct {
	Key
	// Minute is Unix time in minutes.
	Minute int64
	Good   int64
	Bad    int64
}

type cell struct {
	minute    int64
	good, bad int64
}

// Counter counts the requests of one process. It is safe for concurrent use.
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

// Since is when the counter began; what came before is not in it.
func (c *Counter) Since() time.Time { return c.since }

// Add counts one request.
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
	at := &row[minute%Minutes]
	if at.minute != minute {
		*at = cell{minute: minute}
	}
	if good {
		at.good++
		return
	}
	at.bad++
}

// Counts returns the counts of the minutes kept, in a fixed order.
func (c *Counter) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.now().Unix()/60 - Minutes
	var counts []Count
	for key, row := range c.rows {
		for _, at := range row {
			if at.minute > oldest && at.good+at.bad > 0 {
				counts = append(counts, Count{key, at.minute, at.good, at.bad})
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
