// Command mutate checks that tests cover the code's guards. For each entry of mutations.toml it
// disables a guard in a copy of the source tree and runs a test that must then fail.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Mutation is a change that disables a guard, and the test that must detect it.
type Mutation struct {
	// Point is the number of the guarantee that the guard supports.
	Point string `toml:"point"`
	// Guard is a short description of the guard.
	Guard string `toml:"guard"`
	File  string `toml:"file"`
	// Old is replaced by New; it must occur in the file exactly once.
	Old string `toml:"old"`
	New string `toml:"new"`
	// Package and Test identify the test that must fail.
	Package string `toml:"package"`
	Test    string `toml:"test"`
}

func main() {
	only := flag.String("only", "", "run only the mutations whose test or guard contains this text")
	flag.Parse()
	undetected, err := run(*only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(2)
	}
	if undetected > 0 {
		fmt.Printf("%d mutations were not detected\n", undetected)
		os.Exit(1)
	}
}

// load reads a list of mutations.
func load(path string) ([]Mutation, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list struct {
		Mutations []Mutation `toml:"mutation"`
	}
	if err := toml.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	return list.Mutations, nil
}

func run(only string) (undetected int, err error) {
	mutations, err := load("mutate/mutations.toml")
	if err != nil {
		return 0, err
	}
	for _, m := range mutations {
		if !strings.Contains(m.Test+m.Guard, only) {
			continue
		}
		line, failed, err := m.test()
		if err != nil {
			return undetected, fmt.Errorf("%s: %w", m.Guard, err)
		}
		verdict := "RED"
		if !failed {
			verdict = "UNSEEN"
			undetected++
		}
		fmt.Printf("%s  point %s  %s  [%s]  %s\n", verdict, m.Point, m.Guard, m.Test, line)
	}
	return undetected, nil
}

// test runs the test in a mutated copy of the tree. It reports whether the test failed, with the
// line of output that shows why.
func (m *Mutation) test() (line string, failed bool, err error) {
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return "", false, err
	}
	defer os.RemoveAll(dir)
	if err := os.CopyFS(dir, os.DirFS("..")); err != nil {
		return "", false, err
	}
	path := filepath.Join(dir, m.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", false, err
	}
	if n := bytes.Count(source, []byte(m.Old)); n != 1 {
		return "", false, fmt.Errorf("the old text occurs %d times in %s, want 1", n, m.File)
	}
	changed := bytes.Replace(source, []byte(m.Old), []byte(m.New), 1)
	if err := os.WriteFile(path, changed, 0o644); err != nil {
		return "", false, err
	}
	cmd := exec.Command("go", "test", "-count=1", "-timeout", "180s", "-run", "^"+m.Test+"$", m.Package)
	cmd.Dir = dir
	out, testErr := cmd.CombinedOutput()
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("[setup failed]")) {
		return "", false, fmt.Errorf("the mutated tree does not build:\n%s", out)
	}
	return failureLine(string(out)), testErr != nil, nil
}

// failureLine returns the line of a failing test's output that describes the failure.
func failureLine(out string) string {
	for _, line := range strings.Split(out, "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.Contains(trimmed, "_test.go:") && !strings.Contains(trimmed, "Traceback") {
			return truncate(trimmed)
		}
	}
	for _, line := range strings.Split(out, "\n") {
		if strings.HasPrefix(line, "panic:") || strings.Contains(line, "FAIL") {
			return truncate(line)
		}
	}
	return ""
}

// truncate limits the length of a line.
func truncate(line string) string {
	const maxLength = 160
	if len(line) > maxLength {
		return line[:maxLength] + "..."
	}
	return line
}
