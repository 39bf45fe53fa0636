package tomltext

import "testing"

// An operator must be sent to the line of the wrong value: in tables, arrays of tables, tables below
// these, dotted keys and inline tables over several lines.
func TestLocate(t *testing.T) {
	lines := Locate(`name = "a"
seeds = [
  "x", # comment
  "y",
]
[queue]
max_mb = 1
[[queue.workspaces]]
name = "town"
[[queue.workspaces]]
weight = 2.0
[queue.workspaces.more]
a.b = 1
[other]
list = [{name = "p"}, {name = "q",
  floor = 1}]
`)
	for key, want := range map[string]int{
		"name": 1, "seeds": 2, "seeds[0]": 3, "seeds[1]": 4, "queue": 6, "queue.max_mb": 7, "queue.workspaces": 8, "queue.workspaces[0].name": 9,
		"queue.workspaces[1]": 10, "queue.workspaces[1].weight": 11, "queue.workspaces[1].more": 12, "queue.workspaces[1].more.a.b": 13,
		"other.list[0].name": 15, "other.list[1].floor": 16,
		// Missing keys are reported at their table.
		"queue.workspaces[1].name": 10, "queue.enabled": 6, "bounds.weights": 0, "region": 0,
	} {
		if got := lines.Line(key); got != want {
			t.Errorf("%s: line %d, want %d", key, got, want)
		}
	}
	if lines.Has("queue.workspaces[0].weight") || !lines.Has("queue.workspaces[1].weight") {
		t.Error("Has doesn't tell which of the workspaces has a weight")
	}
}
