package tomltext

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps the keys of a text to the lines on which they stand. The key of an array's element has
// its index, as in "workspaces[1].weight".
type Lines map[string]int

// Locate returns the lines of the keys in a text that Decode accepts.
func Locate(text string) Lines {
	l := locator{lines: Lines{}, elements: map[string]int{}}
	l.parser.Reset([]byte(text))
	table := ""
	for l.parser.NextExpression() {
		switch e := l.parser.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = l.addTable(e)
		case unstable.KeyValue:
			l.addValue(table, e)
		}
	}
	return l.lines
}

// Has reports whether the text has a key.
func (l Lines) Has(key string) bool { return l[key] > 0 }

// Line returns the line of a key or, if the text lacks it, of the nearest table that it belongs to. It
// is zero if the text has neither.
func (l Lines) Line(key string) int {
	for key != "" && !l.Has(key) {
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return l[key]
}

type locator struct {
	parser unstable.Parser
	lines  Lines
	// elements holds the number of elements of each array of tables so far.
	elements map[string]int
}

// addTable adds the header of a table and returns the table's key.
func (l *locator) addTable(e *unstable.Node) string {
	key, line := "", 0
	for it := e.Key(); it.Next(); {
		key, line = l.lastElement(key), l.lineOf(it.Node())
		key = join(key, string(it.Node().Data))
	}
	if e.Kind == unstable.ArrayTable {
		l.elements[key]++
		l.add(key, line)
		key = l.lastElement(key)
	}
	l.add(key, line)
	return key
}

// lastElement returns the key of the last element if the key is that of an array of tables: a header
// of a table below such an array belongs to its last element.
func (l *locator) lastElement(key string) string {
	if n := l.elements[key]; n > 0 {
		return fmt.Sprintf("%s[%d]", key, n-1)
	}
	return key
}

func (l *locator) addValue(table string, e *unstable.Node) {
	key := table
	for it := e.Key(); it.Next(); {
		key = join(key, string(it.Node().Data))
		l.add(key, l.lineOf(it.Node()))
	}
	l.addElements(key, e.Value())
}

// addElements adds the keys within a value.
func (l *locator) addElements(key string, value *unstable.Node) {
	for it, i := value.Children(), 0; it.Next(); {
		switch child := it.Node(); {
		case child.Kind == unstable.Comment:
			continue
		case value.Kind == unstable.InlineTable:
			l.addValue(key, child)
		case value.Kind == unstable.Array:
			element := fmt.Sprintf("%s[%d]", key, i)
			if child.Raw.Length > 0 {
				l.add(element, l.lineOf(child))
			}
			l.addElements(element, child)
		}
		i++
	}
}

func (l *locator) add(key string, line int) {
	if !l.lines.Has(key) {
		l.lines[key] = line
	}
}

func (l *locator) lineOf(n *unstable.Node) int { return l.parser.Shape(n.Raw).Start.Line }

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
