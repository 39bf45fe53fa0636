// Package logging writes structured logs: one line of key=value pairs per event.
package logging

import (
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w and adds the process name to each line.
func New(w io.Writer, process string) logr.Logger {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: errorAsText})
	return logr.FromSlogHandler(handler).WithValues("process", process)
}

// errorAsText replaces an error with its message, which leaves out the stack trace.
func errorAsText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// droppedLine formats the report that n lines were dropped.
func droppedLine(process string, n uint64) string {
	return "time=" + time.Now().UTC().Format(time.RFC3339Nano) + " level=WARN msg=log_lines_dropped process=" + strconv.Quote(process) + " lines=" + strconv.FormatUint(n, 10) + "\n"
}
