package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run and the last lines to standard output. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// note writes a line with the time since the start, also to standard output.
func (r *recorder) note(format string, args ...any) {
	fmt.Println(r.write(fmt.Sprintf(format, args...)))
}

// event writes a line to the record only.
func (r *recorder) event(format string, args ...any) { r.write(fmt.Sprintf(format, args...)) }

func (r *recorder) write(text string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), text)
	fmt.Fprintln(r.file, line)
	return line
}

func (r *recorder) close() { _ = r.file.Close() }
