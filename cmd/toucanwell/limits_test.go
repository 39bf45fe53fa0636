package main

import (
	"strings"
	"testing"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

// Each entry knows the usage only of the workspaces that it coordinates. The merged table must
// show the usage that any entry knows, and question marks for the rest.
func TestMergeLimitsOfSeveralEntries(t *testing.T) {
	row := func(workspace string, refused int64) oas.WorkspaceLimit {
		r := oas.WorkspaceLimit{Workspace: workspace, Unit: oas.WorkspaceLimitUnitTokens, PerSecond: 36_000, Burst: 72_000, Coordinator: "10.0.0.1:7"}
		if refused >= 0 {
			r.Use = oas.NewOptLimitUse(oas.LimitUse{Level: 500, Refused: refused, Share: 1})
		}
		return r
	}
	all := mergeLimits([]oas.WorkspaceLimit{row("town", -1), row("fort", 3), row("town", 7), row("fort", -1), row("mill", -1)})
	var out strings.Builder
	if err := printLimits(&out, all, "text"); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 {
		t.Fatalf("%q", lines)
	}
	for i, want := range [][]string{{"fort", "36000 tokens/s", "72000", "500", "3"}, {"mill", "?"}, {"town", "7"}} {
		for _, field := range want {
			if !strings.Contains(lines[1+i], field) {
				t.Errorf("%q lacks %q", lines[1+i], field)
			}
		}
	}
}
