package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the text of what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// add adds a line.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// loggedEvents are the lines of the router's logs that the record shows.
var loggedEvents = []string{"msg=stopping", "msg=stopped", "msg=stop_cut_requests", "msg=started", "msg=target_broke_off"}

// addLog adds a line of a process's log if it tells of one of loggedEvents.
func (r *record) addLog(name, line string) {
	for _, event := range loggedEvents {
		if strings.Contains(line, event+" ") {
			_, text, _ := strings.Cut(line, "msg=")
			r.add("%s logs: %s", name, text)
		}
	}
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// has reports whether a line contains a text.
func (r *record) has(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}
