package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against mutations whose old text no longer stands in its file: the list would end there and
// the guards after it would go unchecked.
func TestMutationsStandInTheirFiles(t *testing.T) {
	mutations, err := load("mutations.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range mutations {
		source, err := os.ReadFile(filepath.Join("..", "..", m.File))
		if err != nil {
			t.Errorf("%s: %v", m.Guard, err)
			continue
		}
		if n := strings.Count(string(source), m.Old); n != 1 {
			t.Errorf("%s: the old text occurs %d times in %s, want 1", m.Guard, n, m.File)
		}
	}
}
