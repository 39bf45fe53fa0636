package forward

import (
	"net/http"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Guards against a request that ran and counts as not run, because its target answered with a status 421 of its
// own; and against one that did not run and is not sent to the target it was meant for.
func TestEvidenceOfReplies(t *testing.T) {
	listing := fleet.Listing{}
	listing.Instance = "i-1"
	named, versioned, unnamed := &destination{target: fleet.NewTarget(listing)}, &destination{target: fleet.NewTarget(listing), weightsVersion: 2}, &destination{}
	const misdirectedStatus = http.StatusMisdirectedRequest
	cases := []struct {
		dst    *destination
		status int
		reply  wire.Reply
		want   evidence
	}{
		{named, http.StatusServiceUnavailable, wire.Reply{NotRun: true}, statedNotRun},
		{named, http.StatusServiceUnavailable, wire.Reply{}, hasResponse},
		{named, http.StatusServiceUnavailable, wire.Reply{Instance: "i-2"}, hasResponse},
		{named, http.StatusOK, wire.Reply{Sealed: true}, hasResponse},
		{named, misdirectedStatus, wire.Reply{NotRun: true}, statedNotRun},
		{named, misdirectedStatus, wire.Reply{Instance: "i-2"}, misdirected},
		{named, misdirectedStatus, wire.Reply{Instance: "i-2", Sealed: true}, hasResponse},
		{named, misdirectedStatus, wire.Reply{Instance: "i-1"}, hasResponse},
		{named, misdirectedStatus, wire.Reply{}, hasResponse},
		{named, misdirectedStatus, wire.Reply{Instance: "i-1", Weights: 3}, hasResponse},
		{versioned, misdirectedStatus, wire.Reply{Instance: "i-1", Weights: 3}, misdirected},
		{versioned, misdirectedStatus, wire.Reply{Weights: 3}, misdirected},
		{versioned, misdirectedStatus, wire.Reply{Weights: 3, Sealed: true}, hasResponse},
		{versioned, misdirectedStatus, wire.Reply{Instance: "i-1", Weights: 2}, hasResponse},
		{versioned, misdirectedStatus, wire.Reply{Instance: "i-2", Weights: 2}, misdirected},
		{versioned, misdirectedStatus, wire.Reply{Instance: "i-1"}, hasResponse},
		{unnamed, misdirectedStatus, wire.Reply{Instance: "i-2"}, hasResponse},
		{unnamed, misdirectedStatus, wire.Reply{}, hasResponse},
		{unnamed, misdirectedStatus, wire.Reply{NotRun: true}, statedNotRun},
	}
	for i, c := range cases {
		if got := evidenceOfReply(c.dst, c.status, &c.reply); got != c.want {
			t.Errorf("case %d: status %d, %+v: %s, want %s", i, c.status, c.reply, got, c.want)
		}
	}
}
