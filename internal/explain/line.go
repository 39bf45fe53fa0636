// Package explain reconstructs the handling of one request from the logs of several
// processes: the decisions about it, and the state changes that preceded them.
package explain

import (
	"strconv"
	"strings"
	"time"
)

// Field is a key-value pair of a log line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a parsed log line.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	// Event is the line's message, which names the logged event.
	Event string `json:"event"`
	// Fields holds the remaining pairs in the order of the line.
	Fields []Field `json:"fields"`
}

// Get returns the value of a field, or an empty string if the line lacks it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Parse parses a line of key=value pairs. It skips everything before "time=", such as a log
// collector's prefix, and reports whether the line has the format of package logging.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	var l Line
	rest := text[start:]
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

// setField stores a pair and reports whether its value is valid.
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

// cutField splits the first pair off text and returns the remainder.
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
