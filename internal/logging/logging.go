// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w and names the process on each line.
func New(w io.Writer, process string) logr.Logger {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: errorAsText})
	return logr.FromSlogHandler(handler).WithValues("process", process)
}

// plainErrors writes an error as its message: the long form would put a stack
// trace into the line.
func errorAsText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

func droppedLine(process string, n uint64) string {
	return "time=" + time.Now().UTC().Format(time.RFC3339Nano) + " level=WARN msg=log_lines_dropped process=" + strconv.Quote(process) + " lines=" + strconv.FormatUint(n, 10) + "\n"
}
