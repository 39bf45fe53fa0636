package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Every kind must have a unique name and a documented status.
func TestEveryKindIsSpecifiedAndDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, kind := range All() {
		spec, ok := table[kind]
		if !ok {
			t.Errorf("kind %d is missing from the table", kind)
			continue
		}
		if names[spec.Name] {
			t.Errorf("the name %q is used twice", spec.Name)
		}
		names[spec.Name] = true
		if want := fmt.Sprintf("| `%s` | %d |", spec.Name, spec.Status); !strings.Contains(string(page), want) {
			t.Errorf("docs/OPERATIONS.md lacks %q", want)
		}
	}
	if len(names) != len(table) {
		t.Errorf("%d kinds, %d table entries", len(names), len(table))
	}
}
