package quarantine

import (
	"strings"
	"testing"
)

// Two callers send the same bytes, one caller sends bytes that differ in one place, and
// one moves the border between path and body: each is a request of its own. The same
// request is the same whatever is sent beside it.
func TestPrintsTellRequestsApart(t *testing.T) {
	body := []byte(strings.Repeat("prompt ", 9000))
	other := append([]byte(nil), body...)
	other[len(other)-1]++
	prints := map[Fingerprint]string{}
	for name, p := range map[string]Fingerprint{
		"first":             FingerprintOf("town", "/check/1?q=2", body),
		"another workspace": FingerprintOf("fort", "/check/1?q=2", body),
		"another path":      FingerprintOf("town", "/check/2?q=2", body),
		"another query":     FingerprintOf("town", "/check/1?q=3", body),
		"one byte":          FingerprintOf("town", "/check/1?q=2", other),
		"no body":           FingerprintOf("town", "/check/1?q=2", nil),
		"moved border":      FingerprintOf("town/check", "/1?q=2", body),
		"no workspace":      FingerprintOf("", "/check/1?q=2", body),
	} {
		if with, taken := prints[p]; taken {
			t.Errorf("%q and %q have the same print", name, with)
		}
		prints[p] = name
	}
	if again := FingerprintOf("town", "/check/1?q=2", append([]byte(nil), body...)); prints[again] != "first" {
		t.Errorf("the same request has the print %s", again)
	}
}

// What the name of a request costs each one that is sent: 48 KB are a prompt of 12,000
// tokens.
func BenchmarkPrint(b *testing.B) {
	body := []byte(strings.Repeat("prompt ", 7000))
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("town", "/check/1", body)
	}
}
