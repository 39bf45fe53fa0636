package forward

import (
	"net/http"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Guards against an operator who cannot tell a target's statement from what is inferred from a status.
func TestEvidenceTellsStatementsFromInferences(t *testing.T) {
	cases := []struct {
		status int
		reply  wire.Reply
		want   evidence
	}{
		{http.StatusServiceUnavailable, wire.Reply{NotRun: true}, statedNotRun},
		{http.StatusMisdirectedRequest, wire.Reply{NotRun: true, Instance: "i-2"}, statedNotRun},
		{http.StatusMisdirectedRequest, wire.Reply{Instance: "i-2"}, misdirected},
		{http.StatusServiceUnavailable, wire.Reply{}, hasResponse},
		{http.StatusOK, wire.Reply{Sealed: true}, hasResponse},
	}
	for _, c := range cases {
		if got := evidenceOfReply(c.status, &c.reply); got != c.want {
			t.Errorf("status %d, %+v: %s, want %s", c.status, c.reply, got, c.want)
		}
	}
}
