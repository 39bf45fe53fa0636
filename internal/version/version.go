// Package version tells which build this is.
package version

import "runtime/debug"

// Number is the release.
const Number = "0.1.0"

// String returns the release and, when known, the revision it was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return Number + "+" + s.Value[:12]
		}
	}
	return Number
}
