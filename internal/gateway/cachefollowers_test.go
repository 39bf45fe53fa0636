package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/holdings"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
)

func cachedParts(n int) []holdings.Held {
	var held []holdings.Held
	for i := range n {
		held = append(held, holdings.Held{Part: parts.KeyOf("1.m.7.town", fmt.Sprintf("part-%d", i)), Tokens: 3000 + i})
	}
	return held
}

// A heartbeat that is longer than a datagram is not sent at all. One that tells of as
// many parts as it may, of the largest size, fits beside the rest of it.
func TestToldPartsFitIntoADatagram(t *testing.T) {
	held := cachedParts(maxPartsPerDatagram)
	for i := range held {
		held[i].Tokens = 1 << 20
	}
	beat := &peerv1.Beat{Name: "side-availability-zone-12", Zone: "availability-zone-12", Cache: cacheState(&holdings.Follower{Name: "i-1@1700000000123"}, held)}
	const room = 1200 // of 1,400 bytes, beside the engine's state, topics and members
	if size := proto.Size(beat); size > room {
		t.Errorf("%d bytes", size)
	}
}

// What an entry is told of a cache is what the sidecar knows of it, and of work what the
// other entry has.
func TestToldStateIsHeardAlike(t *testing.T) {
	e := &entry{parts: parts.NewBook(), cacheReportedAt: map[fleet.ID]time.Time{fleet.IDOf("c"): time.Unix(1000, 0)}}
	held := cachedParts(3)
	now := time.Unix(1000, 0)
	e.applyCacheReport(&mesh.Member{Beat: &peerv1.Beat{Cache: cacheState(&holdings.Follower{Name: "c"}, held)}}, now)
	for _, h := range held {
		if got := e.parts.At(h.Part, h.Tokens, fleet.IDOf("c"), now); got != parts.Held {
			t.Errorf("part %d: state %v", h.Part, got)
		}
	}
	work := ledger.Work{Running: 3, Reading: ledger.Lane(7, 250*time.Millisecond), Memory: ledger.Lane(2, 90_000)}
	work.Reading[0] = time.Second
	if got := probe.WorkIn(probe.LoadOut(1, work)); got != work {
		t.Errorf("%+v, want %+v", got, work)
	}
}

// BenchmarkLearnCache is what it costs an entry to take in one part of a cache's word.
func BenchmarkLearnCache(b *testing.B) {
	e := &entry{parts: parts.NewBook(), cacheReportedAt: map[fleet.ID]time.Time{fleet.IDOf("c"): time.Unix(1000, 0)}}
	member := &mesh.Member{Beat: &peerv1.Beat{Cache: cacheState(&holdings.Follower{Name: "c"}, cachedParts(maxPartsPerDatagram))}}
	b.ReportMetric(float64(proto.Size(member.Beat))/maxPartsPerDatagram, "bytes/part")
	for b.Loop() {
		e.applyCacheReport(member, time.Unix(1000, 0))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/maxPartsPerDatagram, "ns/part")
}

// BenchmarkApplyChanges is what it costs a sidecar to take in one change of a cache.
func BenchmarkApplyChanges(b *testing.B) {
	page := holdings.Page{Epoch: "1"}
	for i := range 200 {
		page.Changes = append(page.Changes, holdings.Change{Scope: "1.m.7.town", Part: fmt.Sprintf("part-%d", i), Tokens: 3000})
	}
	cache := holdings.NewCache(0)
	for b.Loop() {
		cache.Apply(page)
		cache.TakeChanged(len(page.Changes))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(page.Changes)), "ns/change")
}
