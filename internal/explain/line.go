// Package explain tells one request's story from the log lines of any number of
// processes: what was decided about it, and what the process that took it had
// learned shortly before.
package explain

import (
	"strconv"
	"strings"
	"time"
)

// Field is one key with its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one log line of a process.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	// Event is what happened: the line's message.
	Event string `json:"event"`
	// Fields are the rest, in their order.
	Fields []Field `json:"fields"`
}

// Get returns a field's value, or nothing.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse reads a line of key=value pairs. What stands before "time=", such as a
// collector's own prefix, is passed over. It reports whether the line is one of
// ours.
func Parse(text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	var l Line
	rest := text[at:]
	for rest != "" {
		var f Field
		var ok bool
		if f, rest, ok = cutField(rest); !ok {
			return Line{}, false
		}
		if !l.setField(f) {
			return Line{}, false
		}
	}
	return l, l.Event != ""
}

func (l *Line) setField(f Field) bool {
	var err error
	switch f.Key {
	case "time":
		l.Time, err = time.Parse(time.RFC3339Nano, f.Value)
	case "msg":
		l.Event = f.Value
	case "process":
		l.Process = f.Value
	case "level":
	default:
		l.Fields = append(l.Fields, f)
	}
	return err == nil
}

// next cuts the first pair off a line.
func cutField(text string) (Field, string, bool) {
	key, rest, ok := strings.Cut(text, "=")
	if !ok {
		return Field{}, "", false
	}
	key = strings.TrimSpace(key)
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ := strings.Cut(rest, " ")
		return Field{key, strings.TrimRight(value, "\r\n")}, strings.TrimLeft(rest, " \r\n"), true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return Field{}, "", false
	}
	value, err := strconv.Unquote(quoted)
	return Field{key, value}, strings.TrimLeft(rest[len(quoted):], " \r\n"), err == nil
}
