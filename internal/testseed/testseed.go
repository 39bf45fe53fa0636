// Package testseed sets a fixed seed for property tests, so that CI runs are
// reproducible. The flag -rapid.seed overrides it.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

const seedFlag = "rapid.seed"

// Main runs the tests of a package.
func Main(m *testing.M) {
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == seedFlag })
	if !isSet {
		if err := flag.Set(seedFlag, "20261202"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
