// Command mutate switches off one guard at a time in a copy of the tree and
// shows that its test fails without it. It reads mutations.toml.
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

// Mutation is one guard, the change that switches it off, and its test.
type Mutation struct {
	// Point of the guarantees that the guard serves.
	Point string `toml:"point"`
	// Guard in a few words.
	Guard string `toml:"guard"`
	File  string `toml:"file"`
	// Old is replaced by New; it must stand in the file once.
	Old string `toml:"old"`
	New string `toml:"new"`
	// Package and Test name the test that must fail.
	Package string `toml:"package"`
	Test    string `toml:"test"`
}

func main() {
	only := flag.String("only", "", "run only mutations whose test or guard holds this")
	flag.Parse()
	missed, err := run(*only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(2)
	}
	if missed > 0 {
		fmt.Printf("%d guards can be switched off unseen\n", missed)
		os.Exit(1)
	}
}

func run(only string) (missed int, err error) {
	text, err := os.ReadFile("mutate/mutations.toml")
	if err != nil {
		return 0, err
	}
	var list struct {
		Mutations []Mutation `toml:"mutation"`
	}
	if err := toml.Unmarshal(text, &list); err != nil {
		return 0, err
	}
	for _, m := range list.Mutations {
		if !strings.Contains(m.Test+m.Guard, only) {
			continue
		}
		line, failed, err := m.try()
		if err != nil {
			return missed, fmt.Errorf("%s: %w", m.Guard, err)
		}
		verdict := "RED"
		if !failed {
			verdict = "UNSEEN"
			missed++
		}
		fmt.Printf("%s  point %s  %s  [%s]  %s\n", verdict, m.Point, m.Guard, m.Test, line)
	}
	return missed, nil
}

// try runs the test in a mutated copy and returns its first telling line.
func (m *Mutation) try() (line string, failed bool, err error) {
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
		return "", false, fmt.Errorf("the old text stands %d times in %s", n, m.File)
	}
	changed := bytes.Replace(source, []byte(m.Old), []byte(m.New), 1)
	if err := os.WriteFile(path, changed, 0o644); err != nil {
		return "", false, err
	}
	cmd := exec.Command("go", "test", "-count=1", "-timeout", "180s", "-run", "^"+m.Test+"$", m.Package)
	cmd.Dir = dir
	out, testErr := cmd.CombinedOutput()
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("[setup failed]")) {
		return "", false, fmt.Errorf("does not build:\n%s", out)
	}
	return telling(string(out)), testErr != nil, nil
}

// telling is the line of a failing test's output that says what was seen.
func telling(out string) string {
	for _, line := range strings.Split(out, "\n") {
		trimmed := strings.TrimSpace(line)
		if strings.Contains(trimmed, "_test.go:") && !strings.Contains(trimmed, "Traceback") {
			return cut(trimmed)
		}
	}
	for _, line := range strings.Split(out, "\n") {
		if strings.HasPrefix(line, "panic:") || strings.Contains(line, "FAIL") {
			return cut(line)
		}
	}
	return ""
}

func cut(line string) string {
	const longest = 160
	if len(line) > longest {
		return line[:longest] + "..."
	}
	return line
}
