package cluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/toucanwell/toucanwell/examples"
	"github.com/toucanwell/toucanwell/internal/cluster"
	"github.com/toucanwell/toucanwell/internal/standin"
)

func startCluster(t *testing.T, text string, entries int) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{ConfigText: text, Entries: entries, EngineCosts: cluster.DefaultEngineCosts, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func (b completionBody) prompt() string {
	var text strings.Builder
	for _, m := range b.Messages {
		fmt.Fprintf(&text, "<%s>%s\n", m.Role, m.Content)
	}
	return text.String()
}

func nested(town, question int) []message {
	return []message{
		{"system", strings.Repeat("The rulebook says that each stall needs a permit. ", 60)},
		{"system", strings.Repeat(fmt.Sprintf("Town %d has its own pitches and hours. ", town), 40)},
		{"user", fmt.Sprintf("Question %d: may the stall stay open?", question)},
	}
}

func post(ctx context.Context, url, token string, header map[string]string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

// complete returns the text of a completion, whole or streamed. A stream
// without its end mark is an error.
func complete(ctx context.Context, base, token string, b completionBody) (string, error) {
	data, _ := json.Marshal(b)
	resp, err := post(ctx, base+"/v1/chat/completions", token, nil, data)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	if b.Stream {
		return streamText(string(body))
	}
	var whole struct {
		Choices []struct{ Message message }
	}
	if err := json.Unmarshal(body, &whole); err != nil {
		return "", err
	}
	return whole.Choices[0].Message.Content, nil
}

func streamText(body string) (string, error) {
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		return "", fmt.Errorf("stream without its end mark: %q", body)
	}
	var text strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var ev struct {
			Choices []struct{ Delta message }
		}
		if err := json.Unmarshal([]byte("{"+data), &ev); err != nil {
			return "", err
		}
		text.WriteString(ev.Choices[0].Delta.Content)
	}
	return text.String(), nil
}

// Two hundred requests of both deployments' shapes go through two entries;
// every answer is compared with the engine's own transcript.
func TestPathAnswersWholeAndInOrder(t *testing.T) {
	for _, d := range []struct{ name, text, model, token string }{
		{"marktlizenz", examples.Marktlizenz, "pruefer-lm", "muenchen-token"},
		{"olaje", examples.Olaje, "oleaje-lm", "escuela-norte-token"},
	} {
		t.Run(d.name, func(t *testing.T) {
			c := startCluster(t, d.text, 2)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var wg sync.WaitGroup
			slots := make(chan struct{}, 16)
			for i := range 100 {
				wg.Add(1)
				slots <- struct{}{}
				go func() {
					defer wg.Done()
					defer func() { <-slots }()
					b := completionBody{Model: d.model, Messages: nested(i%5, i), MaxTokens: 5 + i%11, Stream: i%2 == 0}
					text, err := complete(ctx, c.EntryURL(i%2), d.token, b)
					if want := standin.Transcript(b.prompt(), b.MaxTokens); err != nil || text != want {
						t.Errorf("request %d: %v: got %q, want %q", i, err, text, want)
					}
				}()
			}
			wg.Wait()
		})
	}
}

func TestPathPlainCallRunsOnceAndReplays(t *testing.T) {
	c := startCluster(t, examples.Marktlizenz, 2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	key := uuid.Must(uuid.NewV7()).String()
	for try := range 3 {
		resp, err := post(ctx, c.EntryURL(try%2)+"/v1/services/marktportal/call?path=/renewals", "muenchen-token",
			map[string]string{"Idempotency-Key": key, "Content-Type": "application/octet-stream"}, []byte("renew pitch 7"))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || string(body) != "done: renew pitch 7" {
			t.Fatalf("try %d: status %d, body %q", try, resp.StatusCode, body)
		}
		if replayed := resp.Header.Get("Toucanwell-Replayed") == "true"; replayed != (try > 0) {
			t.Errorf("try %d: replayed %v", try, replayed)
		}
	}
	runs := 0
	for _, p := range c.PlainTargets {
		runs += p.Runs()[key]
	}
	if runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}

// problemKind is the kind that a refusal names, or "" for another answer.
func problemKind(resp *http.Response) string {
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return ""
	}
	var p struct{ Type string }
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return err.Error()
	}
	return strings.TrimPrefix(p.Type, "urn:toucanwell:error:")
}
