package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id, path string
	budget   time.Duration
	// prompt is the value of the header with the token counts; empty for a request without a prompt.
	prompt string
	model  string
}

// answer is what a caller got.
type answer struct {
	status int
	// complete is set if the answer ended as the protocol says.
	complete bool
	err      error
	body     []byte
	took     time.Duration
	sentAt   time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to the entry at a host on a new connection and reads the answer.
func send(host int, r *request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.budget)
	defer cancel()
	start := time.Now()
	a := answer{sentAt: start}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", hostIP(host), callerPort, r.path), strings.NewReader("body of "+r.id))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "desk.example"
	req.Header.Set(wire["request_id"], r.id)
	req.Header.Set(wire["key"], "town-key")
	req.Header.Set(wire["deadline"], strconv.FormatInt(r.budget.Milliseconds(), 10))
	if r.prompt != "" {
		req.Header.Set(wire["model"], r.model)
		req.Header.Set(wire["tokens"], r.prompt)
		req.Header.Set(wire["parts"], "aa:300,bb:200,"+r.id+":500")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(start)
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete, a.took = a.err == nil, time.Since(start)
	return a
}

// event is one event of a stream as a caller reads it.
type event struct {
	id   string
	data []string
}

// events parses a stream of events: a blank line ends an event, the last id of an event counts, and an
// event that no blank line ends is dropped.
func events(body []byte) []event {
	var all []event
	var e event
	lines := bytes.Split(body, []byte("\n"))
	for _, line := range lines[:len(lines)-1] {
		name, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case len(line) == 0 && len(e.data) > 0:
			all = append(all, e)
			e = event{}
		case name == "id":
			e.id = value
		case name == "data":
			e.data = append(e.data, value)
		}
	}
	return all
}
