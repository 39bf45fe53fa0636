// Package logging writes structured logs: one line of key=value pairs per event.
package logging

import (
	"io"
	"log/slog"

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
