package burn

import (
	"sort"
	"time"
)

// Windows of a report.
const (
	FastWindow = 5 * time.Minute
	SlowWindow = time.Hour
)

// Goal is the fraction of good requests that an objective requires.
type Goal struct {
	Service string
	Class   string
	Goal    float64
}

// Row is a row of a report.
type Row struct {
	Key
	Goal float64 `json:"goal"`
	// Good and Bad requests in the slow window.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// FastBurn and SlowBurn are the burn rates in the two windows. A rate of 1 uses
	// up the error budget exactly.
	FastBurn float64 `json:"fast_burn"`
	SlowBurn float64 `json:"slow_burn"`
	// BudgetLeft is the remaining fraction of the error budget of the slow window.
	// It is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
}

// AllWorkspaces is the workspace of a row that sums over all workspaces.
const AllWorkspaces = "*"

// Report returns the rows for each goal: one for all workspaces together and one
// for each workspace.
func Report(goals []Goal, counts []Count, now time.Time) []Row {
	sums := map[Key]*windowCounts{}
	for _, c := range counts {
		for _, workspace := range []string{AllWorkspaces, c.Workspace} {
			key := Key{c.Service, c.Class, workspace}
			if sums[key] == nil {
				sums[key] = &windowCounts{}
			}
			sums[key].add(c, now)
		}
	}
	var rows []Row
	for _, g := range goals {
		for key, s := range sums {
			if key.Service == g.Service && key.Class == g.Class {
				rows = append(rows, s.row(key, g.Goal))
			}
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		return less(Count{Key: rows[i].Key}, Count{Key: rows[j].Key})
	})
	return rows
}

type windowCounts struct {
	fastGood, fastBad int64
	slowGood, slowBad int64
}

func (s *windowCounts) add(c Count, now time.Time) {
	age := now.Sub(time.Unix(c.Minute*60, 0))
	if age < SlowWindow {
		s.slowGood += c.Good
		s.slowBad += c.Bad
	}
	if age < FastWindow {
		s.fastGood += c.Good
		s.fastBad += c.Bad
	}
}

func (s *windowCounts) row(key Key, goal float64) Row {
	slow := burnRate(s.slowGood, s.slowBad, goal)
	return Row{
		Key: key, Goal: goal, Good: s.slowGood, Bad: s.slowBad,
		FastBurn: burnRate(s.fastGood, s.fastBad, goal), SlowBurn: slow, BudgetLeft: 1 - slow,
	}
}

func burnRate(good, bad int64, goal float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - goal)
}
