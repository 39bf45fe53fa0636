package main

import (
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/losses"
)

func TestLossesOptionsParsesAims(t *testing.T) {
	o, err := lossesOptions(time.Second, []string{"review=600ms", "1s"})
	if err != nil || o.Objectives["review"] != 600*time.Millisecond || o.DefaultObjective != time.Second {
		t.Errorf("%+v, %v", o, err)
	}
	for _, bad := range []string{"review=", "soon", "review=-1s", "=x"} {
		if o, err := lossesOptions(time.Second, []string{bad}); err == nil {
			t.Errorf("lossesOptions(%q) = %+v, want an error", bad, o)
		}
	}
	if _, err := lossesOptions(0, nil); err == nil {
		t.Error("a window of zero length is accepted")
	}
}

func TestPrintLossesShowsMainReasons(t *testing.T) {
	var out strings.Builder
	rows := []losses.Row{{Route: "review", Start: 4, Requests: 9, InTime: 2, Late: 6, Cancelled: 1, SharedTokens: 200, CachedTokens: 50, Reasons: map[string]int{"a": 1, "b": 3, "c": 2, "d": 2}, Detours: map[string]int{"rest": 5}}}
	if err := printLosses(&out, rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"review", "0.25", "0.00", "3 b, 2 c, 2 d", "5 rest"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}
