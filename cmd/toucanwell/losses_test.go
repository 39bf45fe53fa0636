package main

import (
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/losses"
)

func TestAimsAreRead(t *testing.T) {
	o, err := lossesOptions(time.Second, []string{"review=600ms", "1s"})
	if err != nil || o.Objectives["review"] != 600*time.Millisecond || o.DefaultObjective != time.Second {
		t.Errorf("%+v, %v", o, err)
	}
	for _, bad := range []string{"review=", "soon", "review=-1s", "=x"} {
		if o, err := lossesOptions(time.Second, []string{bad}); err == nil {
			t.Errorf("%q: taken as %+v", bad, o)
		}
	}
	if _, err := lossesOptions(0, nil); err == nil {
		t.Error("a window of no length is taken")
	}
}

func TestRowsNameTheirMainReasons(t *testing.T) {
	var out strings.Builder
	rows := []losses.Row{{Route: "review", Start: 4, Requests: 9, InTime: 2, Late: 6, Cancelled: 1, SharedTokens: 200, CachedTokens: 50, Reasons: map[string]int{"a": 1, "b": 3, "c": 2, "d": 2}}}
	if err := printLosses(&out, rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"review", "0.25", "0.00", "3 b, 2 c, 2 d"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
}
