package forward

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// recordPushback records what a response to a request sent at sentAt states about the load that
// its target takes.
func (fl *flow) recordPushback(dst *destination, reply *wire.Reply, sentAt time.Time) {
	fl.Pushback.Record(pushback.Response{
		Target: dst.target.ID, Incarnation: dst.target.Incarnation, Pushback: reply.Pushback, RequestID: fl.request.ID, SentAt: sentAt,
	}, fl.Now())
}
