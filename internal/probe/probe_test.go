package probe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// crossing answers each question only after the next one came, repeats old
// answers, and lets a stranger answer first.
type crossing struct {
	conn     *net.UDPConn
	stranger *net.UDPConn
}

func (c *crossing) serve() {
	var held []byte
	var heldFrom netip.AddrPort
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		request := &peerv1.ProbeRequest{}
		if proto.Unmarshal(buffer[:n], request) != nil {
			continue
		}
		wrong, _ := proto.Marshal(&peerv1.ProbeResponse{Id: request.Id, WaitMs: 999_999})
		_, _ = c.stranger.WriteToUDPAddrPort(wrong, from)
		right, _ := proto.Marshal(&peerv1.ProbeResponse{Id: request.Id, WaitMs: request.PromptTokens})
		_, _ = c.conn.WriteToUDPAddrPort(right, from)
		if held != nil {
			_, _ = c.conn.WriteToUDPAddrPort(held, heldFrom)
		}
		held, heldFrom = right, from
	}
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Answers come late, twice, crossed and from a stranger. Each question gets its
// own answer or none.
func TestEachQuestionGetsItsOwnAnswer(t *testing.T) {
	c := &crossing{conn: listen(t), stranger: listen(t)}
	go c.serve()
	client, err := NewClient("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	to := c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	to = netip.AddrPortFrom(to.Addr().Unmap(), to.Port())
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			answer, err := client.Probe(ctx, to, &peerv1.ProbeRequest{PromptTokens: uint32(i)})
			if err != nil || answer.WaitMs != uint32(i) {
				t.Errorf("question %d: %v %v", i, answer, err)
			}
		}()
	}
	wg.Wait()
	if n := len(client.pending); n != 0 {
		t.Errorf("%d questions are left pending", n)
	}
}

func BenchmarkProbe(b *testing.B) {
	server, err := NewServer("127.0.0.1:0", func(m *peerv1.ProbeRequest) *peerv1.ProbeResponse {
		return &peerv1.ProbeResponse{Id: m.Id, ConfigVersion: 1, WaitMs: 20, MatchedTokens: 9000, PrefillMs: 30, BusyPermille: 600}
	})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client, err := NewClient("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	to := server.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	to = netip.AddrPortFrom(to.Addr().Unmap(), to.Port())
	request := sample()
	data, _ := proto.Marshal(request)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Probe(context.Background(), to, sample()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "request-B")
}

func sample() *peerv1.ProbeRequest {
	return &peerv1.ProbeRequest{
		Id: 1 << 30, Workspace: 1 << 30, Class: 1, PromptTokens: 11_000,
		Points: []uint32{1 << 30, 2 << 30, 3 << 30}, PointTokens: []uint32{6144, 9216, 10240},
	}
}
