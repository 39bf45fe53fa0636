package main

import (
	"strings"
	"testing"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

// The quarantine table must show each request's fingerprint, owner and remaining time. The JSON
// output must contain the same data.
func TestPrintQuarantine(t *testing.T) {
	q := &oas.Quarantine{Requests: []oas.QuarantinedRequest{
		{Print: "00000000000000ab", Verdict: oas.QuarantinedRequestVerdictRefused, Ends: 3, Targets: []string{"1", "2", "3"}, Workspace: "town", Route: "check", ChangedMsAgo: 4000, HeldMs: oas.NewOptInt64(86_000_000)},
		{Print: "00000000000000cd", Verdict: oas.QuarantinedRequestVerdictApart, Ends: 1, Targets: []string{"1"}, Workspace: "fort", Route: "review", Part: oas.NewOptString("5c1e07a2"), ChangedMsAgo: 1000},
	}}
	var table, text strings.Builder
	if err := printQuarantine(&table, q, "table"); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(table.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("%q", lines)
	}
	for _, want := range []string{"00000000000000ab", "refused", "town", "check", "4s ago", "23h53m20s"} {
		if !strings.Contains(lines[1], want) {
			t.Errorf("%q lacks %q", lines[1], want)
		}
	}
	if !strings.Contains(lines[2], "5c1e07a2") {
		t.Errorf("%q lacks the part", lines[2])
	}
	if err := printQuarantine(&text, q, "json"); err != nil || !strings.Contains(text.String(), `"verdict":"apart"`) {
		t.Errorf("%v: %s", err, text.String())
	}
}
