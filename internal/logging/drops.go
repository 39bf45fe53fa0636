package logging

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// drops are lines that were dropped. It is not safe for concurrent use.
type drops struct {
	// lines counts all, routine and audit those of these classes.
	lines, routine, audit uint64
	// first and last are when the first and the last one was dropped.
	first, last time.Time
	// requests are the requests that dropped audit lines name; further ones are only counted.
	requests []string
}

const (
	// maxRequests bounds the requests of dropped audit lines that are named.
	maxRequests = 32
	// requestKey precedes the ID of a request in a line.
	requestKey = " request_id="
)

func (d *drops) add(line []byte, c class) {
	now := time.Now()
	if d.lines == 0 {
		d.first = now
	}
	d.last = now
	d.lines++
	switch c {
	case routine:
		d.routine++
	case audit:
		d.audit++
		if len(d.requests) < maxRequests {
			d.requests = append(d.requests, requestOf(line))
		}
	}
}

// requestOf returns the ID of the request that a line names; empty if it names none.
func requestOf(line []byte) string {
	_, after, _ := bytes.Cut(line, []byte(requestKey))
	id, _, _ := bytes.Cut(after, []byte(" "))
	return string(bytes.TrimSpace(id))
}

// line formats the report of the drops.
func (d *drops) line(process string) string {
	const layout = time.RFC3339Nano
	return fmt.Sprintf("time=%s level=WARN msg=log_lines_dropped process=%q lines=%d routine=%d audit=%d first=%s last=%s requests=%q\n",
		time.Now().UTC().Format(layout), process, d.lines, d.routine, d.audit, d.first.UTC().Format(layout), d.last.UTC().Format(layout), strings.Join(d.requests, ","))
}
