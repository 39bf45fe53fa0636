package quarantine

import (
	"strings"
	"testing"
)

// Requests that differ in workspace, path, query or body, or in the boundary between these, must
// have different fingerprints; equal requests must have the same.
func TestFingerprintsDistinguishRequests(t *testing.T) {
	body := []byte(strings.Repeat("prompt ", 9000))
	modified := append([]byte(nil), body...)
	modified[len(modified)-1]++
	seen := map[Fingerprint]string{}
	for name, fp := range map[string]Fingerprint{
		"first":             FingerprintOf("town", "/check/1?q=2", body),
		"another workspace": FingerprintOf("fort", "/check/1?q=2", body),
		"another path":      FingerprintOf("town", "/check/2?q=2", body),
		"another query":     FingerprintOf("town", "/check/1?q=3", body),
		"another body":      FingerprintOf("town", "/check/1?q=2", modified),
		"no body":           FingerprintOf("town", "/check/1?q=2", nil),
		"moved boundary":    FingerprintOf("town/check", "/1?q=2", body),
		"no workspace":      FingerprintOf("", "/check/1?q=2", body),
	} {
		if previous, ok := seen[fp]; ok {
			t.Errorf("%q and %q have the same fingerprint", name, previous)
		}
		seen[fp] = name
	}
	if again := FingerprintOf("town", "/check/1?q=2", append([]byte(nil), body...)); seen[again] != "first" {
		t.Errorf("the same request has another fingerprint: %s", again)
	}
}

// BenchmarkFingerprint measures the overhead per request for a prompt of about 12,000 tokens.
func BenchmarkFingerprint(b *testing.B) {
	body := []byte(strings.Repeat("prompt ", 7000))
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("town", "/check/1", body)
	}
}
