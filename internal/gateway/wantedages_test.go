package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// Guards against heartbeats that do not fit into a datagram, so that a process looks dead, because operators
// name many models, and against versions that are never announced.
func TestManyWantedVersionsFitIntoHeartbeats(t *testing.T) {
	c := stateForHeartbeats(t)
	c.announceWantedUntil = c.clock.Now().Add(time.Hour)
	const models = 200
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		if i == 7 {
			name = fmt.Sprintf("%0*d", 2*maxWantedBytes, i) // fits into none
		}
		c.wantedWeights[name] = c.wantedWeights[name].Add(weights.WantedVersion{Version: 2, Since: time.Now()})
	}
	announced := map[string]bool{}
	for range models {
		b := &peerv1.Beat{}
		c.announceWanted(b)
		if size := proto.Size(b); size > maxWantedBytes {
			t.Fatalf("%d bytes", size)
		}
		for _, w := range b.Wanted {
			announced[w.Model] = true
		}
	}
	if len(announced) != models-1 {
		t.Errorf("%d of %d models were announced", len(announced), models-1)
	}
}
