package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/toucanwell/toucanwell/api/admin/oas"
)

// The table must show the sums of all entries, the share by what each entry places, and entries whose
// settings differ or that don't respond.
func TestQueueOfSeveralEntries(t *testing.T) {
	entry := func(rate float64, rows ...oas.QueueWorkspace) response[*oas.Queue] {
		return response[*oas.Queue]{address: "10.0.0.1:1", value: &oas.Queue{Enabled: true, Services: []oas.QueueService{{Service: "s", CostPerSecond: rate, Workspaces: rows}}}}
	}
	town := func(waiting int, share, weight float64, wait int64) oas.QueueWorkspace {
		return oas.QueueWorkspace{Workspace: "town", Waiting: waiting, Placed: 10, Refused: 2, Share: share, Weight: weight, LongestWaitMs: wait}
	}
	fort := oas.QueueWorkspace{Workspace: "fort", Waiting: 1, Share: 0.5, Weight: 1, Floor: 0.1}
	responses := []response[*oas.Queue]{
		entry(300, town(3, 0.8, 2, 250)), entry(100, town(4, 0.4, 2, 1250), fort), entry(0, fort),
		{address: "10.0.0.2:1", value: &oas.Queue{}}, {address: "10.0.0.3:1", err: errors.New("no response")},
	}
	var out, notes strings.Builder
	if err := reportQueue(&out, &notes, responses, "text"); err == nil || !strings.Contains(err.Error(), "1 of 5") {
		t.Errorf("error %v", err)
	}
	var rows []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	// town: (0.8*300 + 0.4*100) / 400; fort: 0.5*100 / 400.
	if want := []string{"s town 7 20 4 0.70 2 0 1.25s", "s fort 2 0 0 0.12 1 0.1 0s"}; strings.Join(rows, "\n") != strings.Join(want, "\n") {
		t.Errorf("got %q", rows)
	}
	for _, want := range []string{"10.0.0.2:1: the queue is disabled", "10.0.0.3:1: no response"} {
		if !strings.Contains(notes.String(), want) {
			t.Errorf("%q lacks %q", notes.String(), want)
		}
	}
	out.Reset()
	if err := reportQueue(&out, &notes, []response[*oas.Queue]{entry(1, town(1, 1, 2, 0)), entry(1, town(1, 1, 3, 0))}, "text"); err != nil || !strings.Contains(out.String(), "differs") {
		t.Errorf("different weights: %v, %s", err, out.String())
	}
}
