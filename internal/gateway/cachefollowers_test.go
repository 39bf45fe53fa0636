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

func cachedParts(n int) []holdings.CachedPart {
	var cached []holdings.CachedPart
	for i := range n {
		cached = append(cached, holdings.CachedPart{Part: parts.KeyOf("1.m.7.town", fmt.Sprintf("part-%d", i)), Tokens: 3000 + i})
	}
	return cached
}

// Heartbeats that exceed a datagram are not sent, so a report of the most parts, at their
// largest encoding, must leave space for the rest of the heartbeat.
func TestCacheReportFitsIntoDatagram(t *testing.T) {
	cached := cachedParts(maxPartsPerDatagram)
	for i := range cached {
		cached[i].Tokens = 1 << 20
	}
	heartbeat := &peerv1.Beat{Name: "side-availability-zone-12", Zone: "availability-zone-12", Cache: cacheState(&holdings.Follower{Name: "i-1@1700000000123"}, cached)}
	const maxSize = 1200 // leaves space in mesh.MaxDatagram for the engine state, topics and members
	if size := proto.Size(heartbeat); size > maxSize {
		t.Errorf("heartbeat takes %d bytes", size)
	}
}

// Cache reports and work must survive encoding and decoding.
func TestAnnouncedStateRoundTrips(t *testing.T) {
	e := &entry{parts: parts.NewIndex(), cacheReportedAt: map[fleet.ID]time.Time{fleet.IDOf("c"): time.Unix(1000, 0)}}
	cached := cachedParts(3)
	now := time.Unix(1000, 0)
	e.applyCacheReport(&mesh.Member{Heartbeat: &peerv1.Beat{Cache: cacheState(&holdings.Follower{Name: "c"}, cached)}}, now)
	for _, part := range cached {
		if got := e.parts.StateAt(part.Part, part.Tokens, fleet.IDOf("c"), now); got != parts.Cached {
			t.Errorf("part %d: state %v, want Held", part.Part, got)
		}
	}
	work := ledger.Work{Running: 3, Prefill: ledger.AtPriority(7, 250*time.Millisecond), Memory: ledger.AtPriority(2, 90_000)}
	work.Prefill[0] = time.Second
	if got := probe.DecodeLoad(probe.EncodeLoad(1, work)); got != work {
		t.Errorf("work %+v, want %+v", got, work)
	}
}

// BenchmarkApplyCacheReport measures the cost per part of applying a cache report at an entry.
func BenchmarkApplyCacheReport(b *testing.B) {
	e := &entry{parts: parts.NewIndex(), cacheReportedAt: map[fleet.ID]time.Time{fleet.IDOf("c"): time.Unix(1000, 0)}}
	member := &mesh.Member{Heartbeat: &peerv1.Beat{Cache: cacheState(&holdings.Follower{Name: "c"}, cachedParts(maxPartsPerDatagram))}}
	b.ReportMetric(float64(proto.Size(member.Heartbeat))/maxPartsPerDatagram, "bytes/part")
	for b.Loop() {
		e.applyCacheReport(member, time.Unix(1000, 0))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/maxPartsPerDatagram, "ns/part")
}

// BenchmarkApplyChanges measures the cost per change of applying cache changes at a
// sidecar.
func BenchmarkApplyChanges(b *testing.B) {
	page := holdings.Page{Epoch: "1"}
	for i := range 200 {
		page.Changes = append(page.Changes, holdings.Change{Scope: "1.m.7.town", Part: fmt.Sprintf("part-%d", i), Tokens: 3000})
	}
	cache := holdings.NewContents(0)
	for b.Loop() {
		cache.Apply(page)
		cache.TakeUpdates(len(page.Changes))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(page.Changes)), "ns/change")
}
