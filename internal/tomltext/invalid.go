package tomltext

import (
	"fmt"
	"strings"
)

// Problem is a key whose value is missing or not allowed.
type Problem struct {
	Key string
	// Line is the line of the key, or zero if it is unknown.
	Line int
	// Detail says what is wrong, in the form "3 found; allowed is 1 to 2".
	Detail string
}

// InvalidError reports the problems of a text that has the right types.
type InvalidError struct {
	Name     string
	Problems []Problem
}

// Error implements error. It has one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		position := e.Name
		if p.Line > 0 {
			position = fmt.Sprintf("%s:%d", e.Name, p.Line)
		}
		lines[i] = fmt.Sprintf("%s: %s: %s", position, p.Key, p.Detail)
	}
	return strings.Join(lines, "\n")
}

// Found returns the detail of a problem with a value.
func Found(value any, allowed string) string {
	if text, ok := value.(string); ok {
		value = `"` + text + `"`
	}
	return fmt.Sprintf("%v found; allowed is %s", value, allowed)
}
