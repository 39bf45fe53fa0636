package cluster_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// logBuffer collects the logs of daemons. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) count(s string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), s)
}

// hidingRequest returns a request that states its length in two ways and has another request in its body.
func hidingRequest(version string) string {
	const prompt = `{"model":"pruefer-lm","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	const head = "Host: h\r\nAuthorization: Bearer muenchen-token\r\nContent-Type: application/json\r\n"
	hidden := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", head, len(prompt), prompt)
	body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n%s", len(prompt), prompt, hidden)
	return fmt.Sprintf("POST /v1/chat/completions %s\r\n%sConnection: keep-alive\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", version, head, len(body), body)
}

// Guards against callers who hide a request in the body of another one, which states its length in two
// ways: a proxy in front of the entry that goes by the other length has not seen it.
func TestHiddenRequestIsNotServed(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	var trusted *tls.Config
	logs := &logBuffer{}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		ConfigText: examples.Marktlizenz, Entries: 2, EngineCosts: cluster.DefaultEngineCosts, LogOutput: logs,
		AdjustSettings: func(s *settings.Settings) {
			if s.Role == settings.RoleEntry && trusted == nil {
				trusted = &tls.Config{RootCAs: writeCertificate(t, s.Listen, certFile, keyFile)}
				s.TLS = settings.TLS{CertFile: certFile, KeyFile: keyFile}
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	overTLS := func() (net.Conn, error) { return tls.Dial("tcp", c.EntrySettings[0].Listen, trusted) }
	plain := func() (net.Conn, error) { return net.Dial("tcp", c.EntrySettings[1].Listen) }
	admin := func() (net.Conn, error) { return net.Dial("tcp", c.EntrySettings[1].AdminListen) }
	for name, test := range map[string]struct {
		dial    func() (net.Conn, error)
		version string
		most    int
	}{
		"plain": {plain, "HTTP/1.1", 0}, "plain, HTTP/1.0": {plain, "HTTP/1.0", 0}, "administration": {admin, "HTTP/1.1", 0}, "TLS": {overTLS, "HTTP/1.1", 1},
	} {
		before := logs.count("msg=request_done")
		conn, err := test.dial()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, hidingRequest(test.version))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		text, err := io.ReadAll(conn)
		if n := strings.Count(string(text), "HTTP/1."); err != nil || n != 1 {
			t.Errorf("%s: %d responses, then %v: %s", name, n, err, text)
		}
		if n := logs.count("msg=request_done") - before; n > test.most {
			t.Errorf("%s: %d requests were served, want at most %d", name, n, test.most)
		}
		_ = conn.Close()
	}
}

// Guards against requests to the administration server that fill the memory of a process.
func TestAdminRequestsAreBounded(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 1)
	const size = 2 << 20
	resp, err := http.Post("http://"+c.EntrySettings[0].AdminListen+peerv1.PeerSyncProcedure, "application/proto", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusTooManyRequests { // resource_exhausted
		t.Errorf("a request of %d bytes got status %d", size, resp.StatusCode)
	}
}
