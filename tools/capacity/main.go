// Command capacity computes the tables of docs/CAPACITY.md from the output of the benchmarks in
// internal/capacity, which it reads from standard input:
//
//	go test -run '^$' -bench . ./internal/capacity | (cd tools && go run ./capacity)
package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// The deployment size that the tables are computed for.
const (
	entries           = 420.0
	engines           = 600.0
	requestsPerSecond = 5700.0
	tokensPerSecond   = 1.5e6
	blocks            = 34e6
	eventsPerSecond   = 120_000.0
	workspaces        = 5900.0
	models            = 5.0
	changesPerDay     = 860.0
	secondsPerDay     = 86_400.0
	// levels is the number of nested prefixes in a probe.
	levels = 3.0
	// probesPerRequest is the mean in the replay with 288 engines; see docs/MEASUREMENTS.md.
	probesPerRequest = 6.5
	// onceShare is the assumed fraction of at-most-once calls.
	onceShare = 0.05
	// claimStreams is the number of claim streams per service, and keyLifetime the validity of
	// an idempotency key in seconds.
	claimStreams = 16.0
	keyLifetime  = 1800.0
	// syncSeconds is the interval at which a process queries a peer for its version.
	syncSeconds = 2.0
	logPolls    = 20.0
)

// linearFit is the fit y = intercept + slope*x.
type linearFit struct {
	intercept, slope float64
	// residual is the largest absolute deviation of a point, relative to the largest value.
	residual float64
	points   int
}

// at evaluates the fit.
func (l linearFit) at(x float64) float64 { return l.intercept + l.slope*x }

type point struct{ x, y float64 }

// fit computes the least-squares fit.
func fit(points []point) linearFit {
	var n, sx, sy, sxx, sxy, top float64
	for _, p := range points {
		n++
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
		top = math.Max(top, math.Abs(p.y))
	}
	l := linearFit{points: len(points)}
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.intercept = (sy - l.slope*sx) / math.Max(n, 1)
	for _, p := range points {
		l.residual = math.Max(l.residual, math.Abs(p.y-l.at(p.x))/math.Max(top, 1e-9))
	}
	return l
}

// result matches a line of benchmark output: name, parameter and measurements.
var result = regexp.MustCompile(`^Benchmark(\w+)/\w+=(\d+)-\d+\s+\d+\s+(.*)$`)

// read collects the data points of each benchmark and unit.
func read(in io.Reader) (map[string][]point, error) {
	points := map[string][]point{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		m := result.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		x, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return nil, err
		}
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, err
			}
			key := m[1] + " " + fields[i+1]
			points[key] = append(points[key], point{x, y})
		}
	}
	return points, lines.Err()
}

func main() {
	points, err := read(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	t := &table{fits: map[string]linearFit{}}
	for key, p := range points {
		t.fits[key] = fit(p)
	}
	t.slopes()
	t.entry()
	t.sidecar()
	t.log()
	if len(t.missing) > 0 {
		fmt.Fprintln(os.Stderr, "capacity: no benchmark for", strings.Join(t.missing, ", "))
		os.Exit(1)
	}
}

// table holds the fits by benchmark and unit, and the keys of those that are missing.
type table struct {
	fits    map[string]linearFit
	missing []string
}

func (t *table) fit(key string) linearFit {
	l, ok := t.fits[key]
	if !ok {
		t.missing = append(t.missing, key)
	}
	return l
}

func (t *table) value(key string, x float64) float64 { return t.fit(key).at(x) }

func (t *table) slopes() {
	fmt.Print("### Slopes\n\n| benchmark | points | at 0 | slope | residual |\n|---|---|---|---|---|\n")
	for _, key := range []string{
		"Config ns/op", "Config heap-B", "Config wire-B", "Rank ns/op", "Rank heap-B", "IndexEvent ns/op", "IndexEvent heap-B",
		"Quote ns/op", "Sync ns/op", "Sync wire-B", "PeerConnection heap-B", "ProbeMessage ns/op", "ProbeMessage wire-B",
		"Claim ns/op", "Claim heap-B", "Burn ns/op", "Burn heap-B", "Frame ns/op", "Frame wire-B",
	} {
		l := t.fit(key)
		fmt.Printf("| %s | %d | %.4g | %.4g | %.0f%% |\n", key, l.points, l.intercept, l.slope, l.residual*100)
	}
}

// row is a row of a role's table.
type row struct {
	name      string
	memory    float64 // bytes
	bytes     float64 // per second, in and out
	micros    float64 // per event
	rate      float64 // events per second
	mechanism string
}

func printRows(title string, rows []row) {
	fmt.Printf("\n### %s\n\n| what | memory MB | KB/s | µs an event | events/s | core %% | mechanism |\n|---|---|---|---|---|---|---|\n", title)
	var memory, traffic, core float64
	for _, r := range rows {
		share := r.micros * r.rate / 1e4
		memory += r.memory
		traffic += r.bytes
		core += share
		fmt.Printf("| %s | %.2f | %.2f | %.1f | %.2f | %.3f | %s |\n", r.name, r.memory/1e6, r.bytes/1e3, r.micros, r.rate, share, r.mechanism)
	}
	fmt.Printf("| **sum** (budget 32 MB, 10 KB/s, 1.1%%) | **%.1f** | **%.1f** | | | **%.3f** | |\n", memory/1e6, traffic/1e3, core)
}

// configRow is the row for the configuration, which is the same for both roles.
func (t *table) configRow() row {
	rate := changesPerDay / secondsPerDay
	return row{"configuration in force, one change each 100 s", t.value("Config heap-B", workspaces),
		t.value("Config wire-B", workspaces) * rate, t.value("Config ns/op", workspaces) / 1e3, rate, "configlog.Follower"}
}

// syncRow is the row for version queries between peers.
func (t *table) syncRow() row {
	// A process sends and receives one query per interval. Four segments with 52 bytes of TCP
	// and IP headers each are added.
	const segments = 4 * 52
	rate := 2 / syncSeconds
	return row{"version questions between peers", 0, (t.value("Sync wire-B", 1) + segments) * rate, t.value("Sync ns/op", 1) / 1e3, rate, "configlog.Follower, PeerServer"}
}

func (t *table) entry() {
	perEntry := requestsPerSecond / entries
	perService := engines / models
	const idleSeconds = 10.0
	connections := math.Min(engines, perEntry*idleSeconds)
	printRows("Entry", []row{
		t.configRow(),
		t.syncRow(),
		{"targets and their states, rebuilt five times a second", t.value("Rank heap-B", engines), 0, t.value("Rank ns/op", engines) / 1e3 * 4, 5, "entry.View"},
		{"ranking", 0, 0, t.value("Rank ns/op", perService) / 1e3, perEntry, "routing.Rank"},
		{"probes, both ways", 0, t.value("ProbeMessage wire-B", levels) * probesPerRequest * perEntry, t.value("ProbeMessage ns/op", levels) / 2e3, probesPerRequest * perEntry, "probe.Client"},
		{"connections to sidecars, idle for 10 s at most", t.value("PeerConnection heap-B", connections) / 2, 0, 0, 0, "net/http"},
		{"burn counts, 2000 rows", t.value("Burn heap-B", 2000), 0, t.value("Burn ns/op", 2000) / 1e3, perEntry, "burn.Counter"},
		{"polls of the log", 0, 400 * logPolls / (entries + engines), 50, logPolls / (entries + engines), "configlog.Follower"},
	})
}

func (t *table) sidecar() {
	perEngine := eventsPerSecond / engines
	requests := requestsPerSecond / engines
	probes := probesPerRequest * requests
	printRows("Sidecar", []row{
		t.configRow(),
		t.syncRow(),
		{"index of the engine's blocks, and its events (13 KB/s on loopback, not counted)", t.value("IndexEvent heap-B", blocks/engines), 0, t.value("IndexEvent ns/op", blocks/engines)/1e3 + 1, perEngine, "prefix.Index"},
		{"probes, both ways", 0, t.value("ProbeMessage wire-B", levels) * probes, (t.value("ProbeMessage ns/op", levels)/2 + t.value("Quote ns/op", 16)) / 1e3, probes, "probe.Server, sidecar.Gate"},
		{"record of calls: 30 minutes of one claim stream", t.value("Claim heap-B", onceShare*requestsPerSecond/claimStreams*keyLifetime), 0, 0, 0, "once.Ledger"},
		{"connections from entries, idle for 10 s at most", t.value("PeerConnection heap-B", requests*10) / 2, 0, 0, 0, "net/http"},
		{"polls of the log", 0, 400 * logPolls / (entries + engines), 50, logPolls / (entries + engines), "configlog.Follower"},
	})
	fmt.Printf("\nTraffic at a sidecar: %.1f requests/s, %.0f tokens/s, %.2f KB/s of frames to entries, %.2f%% of a core for encoding frames.\n",
		requests, tokensPerSecond/engines, t.value("Frame wire-B", 5)*tokensPerSecond/engines/1e3, t.value("Frame ns/op", 5)*tokensPerSecond/engines/1e7)
	fmt.Printf("Traffic at an entry: %.1f requests/s, %.0f tokens/s, %.2f%% of a core for decoding frames.\n",
		requestsPerSecond/entries, tokensPerSecond/entries, t.value("Frame ns/op", 5)*tokensPerSecond/entries/1e7)
}

func (t *table) log() {
	claims := requestsPerSecond * onceShare
	const interval = 0.1
	batches := math.Min(2*claims, claimStreams/interval)
	fmt.Print("\n### Log\n\n| stream | appends/s | KB/s | note |\n|---|---|---|---|\n")
	fmt.Printf("| configuration | %.3f | %.2f | publishes, and a carry each 12 h |\n", changesPerDay/secondsPerDay, t.value("Config wire-B", workspaces)*3*changesPerDay/secondsPerDay/1e3)
	fmt.Printf("| claims and ends | %.0f | %.1f | %.0f calls/s, 16 slots, one append in 100 ms each |\n", batches, claims*523/1e3, claims)
	fmt.Printf("| loads of weights | %.2f | 0.1 | two records for each of 120 engines, 20 rolls a day |\n", 2*120*20/secondsPerDay)
}
