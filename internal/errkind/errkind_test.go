package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Each kind has one answer, and the operators' page says the same.
func TestEveryKindHasItsAnswerAndItsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, kind := range All() {
		row, ok := table[kind]
		if !ok {
			t.Errorf("kind %d has no row", kind)
			continue
		}
		if names[row.Name] {
			t.Errorf("the name %q stands twice", row.Name)
		}
		names[row.Name] = true
		if want := fmt.Sprintf("| `%s` | %d |", row.Name, row.Status); !strings.Contains(string(page), want) {
			t.Errorf("docs/OPERATIONS.md lacks %q", want)
		}
	}
	if len(names) != len(table) {
		t.Errorf("%d kinds, %d rows", len(names), len(table))
	}
}
