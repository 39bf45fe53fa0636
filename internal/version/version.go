// Package version identifies the build.
package version

import "runtime/debug"

// Number is the release number.
const Number = "0.1.0"

// String returns the release number and, if known, the revision of the build.
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
