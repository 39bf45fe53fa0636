package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// clients sends requests to the entries.
type clients struct {
	d      *deployment
	mu     sync.Mutex
	nextID int
	served int
}

func newClients(d *deployment) *clients { return &clients{d: d} }

func (c *clients) requestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("%016x", c.nextID)
}

// request is a client's request.
type request struct {
	entry    int
	path     string
	key      string
	deadline time.Duration
	body     io.Reader
	length   int64
	headers  map[string]string
}

// send sends a request and returns its ID, the status and the error of the response.
func (c *clients) send(client *http.Client, q request) (string, int, error) {
	id := c.requestID()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", entryIP(q.entry), frontPort, q.path), q.body)
	if err != nil {
		return id, 0, err
	}
	req.Host, req.ContentLength = "desk.example", q.length
	req.Header.Set(names["request_id"], id)
	req.Header.Set(names["key"], q.key)
	req.Header.Set(names["deadline"], fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.headers {
		req.Header.Set(names[name], value)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.d.rec.event("client: request %s to front-%d: %v", id, q.entry+1, err)
		return id, 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	c.d.rec.event("client: request %s to front-%d: status %d, seal %q, %d bytes, error %v", id, q.entry+1, resp.StatusCode, resp.Header.Get(names["seal"]), n, err)
	if err == nil && resp.StatusCode == http.StatusOK {
		c.mu.Lock()
		c.served++
		c.mu.Unlock()
	}
	return id, resp.StatusCode, err
}

// promptHeaders returns the headers of a prompt whose last part is its own.
func promptHeaders(own int) map[string]string {
	return map[string]string{"model": modelName, "sizes": "1460,80", "parts": fmt.Sprintf(sharedParts, own+1)}
}

// prompt sends a prompt on a new connection and waits for its answer.
func (c *clients) prompt(entry int, key string, own int) {
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := []byte("review")
	_, _, _ = c.send(client, request{entry: entry, path: "/review/1", key: key, deadline: 15 * time.Second, body: bytes.NewReader(body), length: int64(len(body)), headers: promptHeaders(own)})
}

// repeatPrompts sends one prompt after the other until end is closed.
func (c *clients) repeatPrompts(entry int, end <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		default:
		}
		c.prompt(entry, "town-key", n)
		time.Sleep(probePeriod)
	}
}
