package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/toucanwell/toucanwell/examples"
)

// validConfig is the configuration that the cases in testdata/check modify.
const validConfig = `schema = 1
[[region]]
name = "r"
availability_zones = ["z1", "z2"]
[[service]]
name = "engines"
kind = "engine"
depends_on = ["store"]
[[service.target]]
name = "e1"
address = "127.0.0.1:1001"
availability_zone = "z1"
[[service]]
name = "store"
kind = "kv"
[[service]]
name = "portal"
kind = "plain"
at_most_once = true
[[model]]
name = "m"
service = "engines"
weights = "v1"
[[workspace]]
name = "w"
token_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
[[objective]]
service = "engines"
class = "alert"
ttft = "600ms"
goal = 0.95
[limits]
retry_share = 0.1
`

// Guards against invalid configurations that are accepted and against errors that do
// not show the problem.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		text := validConfig
		switch d.Cmd {
		case "replace":
			old, replacement, _ := strings.Cut(d.Input, "\n")
			if !strings.Contains(text, old) {
				t.Fatalf("%q is not in the text", old)
			}
			text = strings.Replace(text, old, replacement, 1)
		case "append":
			text += d.Input + "\n"
		}
		if _, err := Parse("text.toml", text); err != nil {
			return err.Error()
		}
		return "good"
	})
}

func TestExamplesAreValid(t *testing.T) {
	for name, text := range map[string]string{"marktlizenz": examples.Marktlizenz, "olaje": examples.Olaje} {
		if _, err := Parse(name, text); err != nil {
			t.Error(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validConfig)
	f.Add(examples.Olaje)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("text.toml", text)
		if err == nil && (c.Schema != 1 || len(c.Services) == 0) {
			t.Error("an invalid text was accepted")
		}
	})
}
