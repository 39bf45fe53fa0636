// Package testseed fixes the seed of property tests, so that CI gives the same
// verdict on every run. Another seed is given by -rapid.seed.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

const seedFlag = "rapid.seed"

// Main runs a package's tests.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == seedFlag })
	if !given {
		if err := flag.Set(seedFlag, "20261202"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
