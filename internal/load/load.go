// Package load sends a trace's requests to entries in real time and compares
// each answer with the engine stand-in's own transcript.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/prefix"
	"github.com/toucanwell/toucanwell/internal/sleep"
	"github.com/toucanwell/toucanwell/internal/standin"
	"github.com/toucanwell/toucanwell/internal/trace"
)

// Options of a run.
type Options struct {
	// Entries are the base URLs, used in turn.
	Entries []string
	Model   string
	// Token returns the token of a workspace.
	Token func(workspace string) string
	// MaxOpen bounds the requests in flight.
	MaxOpen int
}

// Outcome of one request.
type Outcome struct {
	Class string
	// TTFT is the time to the first piece of text.
	TTFT time.Duration
	// Whole is set when the answer equals the transcript.
	Correct        bool
	Prompt, Cached int
	// Problem says what went wrong, like "429 overloaded".
	Failure string
}

// Run sends the requests at their times and returns when all have ended.
func Run(ctx context.Context, o Options, records iter.Seq[trace.Record]) []Outcome {
	var mu sync.Mutex
	var outcomes []Outcome
	var wg sync.WaitGroup
	slots := make(chan struct{}, o.MaxOpen)
	start := time.Now()
	n := 0
	for r := range records {
		if !sleep.For(ctx, time.Until(start.Add(time.Duration(r.Timestamp)*time.Millisecond))) {
			break
		}
		base := o.Entries[n%len(o.Entries)]
		n++
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			out := send(ctx, base, &o, &r)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, out)
		}()
	}
	wg.Wait()
	return outcomes
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Messages makes a text of the right length for each part of a record, so that
// two records share a text exactly where they share ids.
func Messages(r *trace.Record) []message {
	var messages []message
	from := 0
	for i, to := range append(append([]int(nil), r.PrefixLevels...), len(r.HashIDs)) {
		role := "system"
		if i == len(r.PrefixLevels) {
			role = "user"
		}
		var text strings.Builder
		for _, id := range r.HashIDs[from:to] {
			word := fmt.Sprintf("%016x ", id)
			text.WriteString(strings.Repeat(word, r.BlockTokens*prefix.BytesPerToken/len(word)+1)[:r.BlockTokens*prefix.BytesPerToken])
		}
		messages = append(messages, message{role, text.String()})
		from = to
	}
	return messages
}

func promptOf(messages []message) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString("<" + m.Role + ">" + m.Content + "\n")
	}
	return text.String()
}

func send(ctx context.Context, base string, o *Options, r *trace.Record) Outcome {
	out := Outcome{Class: r.Class}
	messages := Messages(r)
	body, err := json.Marshal(map[string]any{"model": o.Model, "messages": messages, "max_tokens": r.OutputLength, "stream": true})
	if err != nil {
		out.Failure = err.Error()
		return out
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		out.Failure = err.Error()
		return out
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+o.Token(r.Workspace))
	req.Header.Set("Toucanwell-Class", r.Class)
	req.Header.Set("Toucanwell-Deadline-Ms", fmt.Sprint(r.DeadlineMs))
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		out.Failure = err.Error()
		return out
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		out.Failure = fmt.Sprintf("%d %s", resp.StatusCode, text)
		return out
	}
	out.readStream(resp.Body, start, standin.Transcript(promptOf(messages), r.OutputLength))
	return out
}

type chunk struct {
	Choices []struct{ Delta message }
	Usage   struct {
		PromptTokens int `json:"prompt_tokens"`
		CachedTokens int `json:"cached_tokens"`
	}
}

var errNoEnd = errors.New("stream without its end mark")

// readStream reads the events up to the end mark and compares the text.
func (out *Outcome) readStream(body io.Reader, start time.Time, want string) {
	var text strings.Builder
	dec := newEventReader(body)
	for {
		data, err := dec.next()
		if err != nil {
			out.Failure = errNoEnd.Error()
			return
		}
		if out.TTFT == 0 {
			out.TTFT = time.Since(start)
		}
		if data == "[DONE]" {
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			out.Failure = data
			return
		}
		text.WriteString(c.Choices[0].Delta.Content)
		if c.Usage.PromptTokens > 0 {
			out.Prompt, out.Cached = c.Usage.PromptTokens, c.Usage.CachedTokens
		}
	}
	out.Correct = text.String() == want
	if !out.Correct {
		out.Failure = "the answer differs from the transcript"
	}
}
