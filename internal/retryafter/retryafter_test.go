package retryafter

import (
	"net/http"
	"testing"
	"time"
)

const date = "Thu, 03 Dec 2026 10:00:00 GMT"

// Guards against a malformed time that keeps a target out of use, and against one that is not observed.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		values  []string
		want    time.Duration
		invalid bool
	}{
		{nil, 0, false},
		{[]string{"3"}, 3 * time.Second, false},
		{[]string{"0.25"}, 250 * time.Millisecond, false},
		{[]string{"1.5470000000000002"}, 1547 * time.Millisecond, false},
		{[]string{"1e-1"}, 100 * time.Millisecond, false},
		{[]string{"0"}, 0, false},
		{[]string{"-1"}, 0, true},
		{[]string{""}, 0, true},
		{[]string{"NaN"}, 0, true},
		{[]string{"Inf"}, 0, true},
		{[]string{"soon"}, 0, true},
		{[]string{"3", "4"}, 0, true},
		{[]string{"259200"}, Max, true},
		{[]string{"Thu, 03 Dec 2026 10:00:07 GMT"}, 7 * time.Second, false},
		{[]string{"Thu, 03 Dec 2026 09:59:00 GMT"}, 0, true},
		{[]string{"Thu, 10 Dec 2026 10:00:00 GMT"}, Max, true},
	} {
		h := http.Header{"Date": {date}}
		if c.values != nil {
			h[header] = c.values
		}
		if got, err := Decode(h); got.Round(time.Microsecond) != c.want || (err != nil) != c.invalid {
			t.Errorf("%q: %v, %v", c.values, got, err)
		}
	}
}

// Guards against a header that makes the decoder panic or return a time out of bounds.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"3", "0.5", "-1", "1e9", "", date, "999999999999"} {
		f.Add(seed, date)
	}
	f.Fuzz(func(t *testing.T, value, responseDate string) {
		if got, _ := Decode(http.Header{header: {value}, "Date": {responseDate}}); got < 0 || got > Max {
			t.Errorf("%q at %q: %v", value, responseDate, got)
		}
	})
}
