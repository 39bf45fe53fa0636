package main

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/burn"
)

func sampleReport() *report {
	now := time.Unix(1_790_000_000, 0)
	r := &report{now: now, goals: []burn.Goal{{Service: "oleaje-llm", Class: "alert", Goal: 0.95}, {Service: "oleaje-llm", Class: "batch", Goal: 0.9}}}
	for i := range int64(40) {
		minute := now.Unix()/60 - i
		r.counts = append(r.counts,
			burn.Count{Key: burn.Key{Service: "oleaje-llm", Class: "alert", Workspace: "alertas"}, Minute: minute, Good: 95, Bad: i % 17},
			burn.Count{Key: burn.Key{Service: "oleaje-llm", Class: "batch", Workspace: "prensa"}, Minute: minute, Good: 20, Bad: i % 3})
	}
	return r
}

func TestReportWindowsAndBudget(t *testing.T) {
	now := time.Unix(60*1000, 0)
	key := burn.Key{Service: "s", Class: "alert", Workspace: "w"}
	rows := burn.Report([]burn.Goal{{Service: "s", Class: "alert", Goal: 0.9}}, []burn.Count{
		{Key: key, Minute: 1000, Good: 80, Bad: 20},
		{Key: key, Minute: 970, Good: 100},
		{Key: key, Minute: 900, Bad: 1000},
	}, now)
	if len(rows) != 2 {
		t.Fatalf("%+v", rows)
	}
	for _, row := range rows {
		if row.Good != 180 || row.Bad != 20 || row.FastBurn < 1.99 || row.FastBurn > 2.01 || row.SlowBurn < 0.99 || row.SlowBurn > 1.01 {
			t.Errorf("%+v", row)
		}
	}
}

func TestPlotWritesPNG(t *testing.T) {
	path := filepath.Join(t.TempDir(), "burn.png")
	if keepPath := os.Getenv("TOUCANWELL_KEEP_PLOT"); keepPath != "" {
		path = keepPath
	}
	if err := sampleReport().plot(path); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	picture, err := png.Decode(file)
	if err != nil {
		t.Fatal(err)
	}
	if picture.Bounds().Dx() != plotWidth {
		t.Errorf("the chart has the wrong bounds: %v", picture.Bounds())
	}
}
