package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// smuggleRequests is the number of requests with a hidden one in their bodies.
	smuggleRequests = 10
	// smuggleWait is how long a client waits for answers on its connection.
	smuggleWait = time.Second
)

// head returns the head of a request that may run once.
func head(id, framing string) string {
	return "POST /submit/1 HTTP/1.1\r\nHost: desk.example\r\n" + framing + names["request_id"] + ": " + id + "\r\n" +
		names["key"] + ": town-key\r\n" + names["deadline"] + ": 1000\r\n\r\n"
}

// runSmuggle sends requests whose bodies, as long as their Content-Length says, contain the text of another
// request. The disruption is a Transfer-Encoding header beside the Content-Length. It checks whether a server runs a
// request that no client sent.
func runSmuggle(d *deployment, trouble bool) ([]string, error) {
	servers, err := d.startPlainServers()
	if err != nil {
		return nil, err
	}
	if _, err := d.startEngines(1, 10, 20*time.Millisecond); err != nil {
		return nil, err
	}
	if err := d.declare(1, nil); err != nil {
		return nil, err
	}
	if _, err := d.start(1, 1); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	sent := map[string]bool{}
	for n := range smuggleRequests {
		id := fmt.Sprintf("%016x", n+1)
		sent[id] = true
		if err := d.sendHidden(id, fmt.Sprintf("hidden-%d", n+1), trouble); err != nil {
			return nil, err
		}
	}
	var violations []string
	ran := 0
	for _, s := range servers {
		s.mu.Lock()
		for _, id := range s.runs {
			ran++
			if !sent[id] {
				violations = append(violations, fmt.Sprintf("UNASKED: %s ran request %s, which no client sent", s.id, id))
			}
		}
		s.mu.Unlock()
	}
	d.rec.note("%d requests were sent, %d ran", len(sent), ran)
	if !trouble && ran != len(sent) {
		return nil, fmt.Errorf("%d of %d requests ran", ran, len(sent))
	}
	return violations, nil
}

// sendHidden sends one request on a connection of its own and reads what comes back.
func (d *deployment) sendHidden(id, hidden string, trouble bool) error {
	body := "0\r\n\r\n" + head(hidden, "Content-Length: 2\r\n") + "hi"
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if trouble {
		framing += "Transfer-Encoding: chunked\r\n"
	}
	conn, err := net.Dial("tcp", net.JoinHostPort(entryIP(0), fmt.Sprint(frontPort)))
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, head(id, framing)+body); err != nil {
		return err
	}
	d.rec.event("client: sent request %s, whose body of %d bytes contains the text of a request %s", id, len(body), hidden)
	_ = conn.SetReadDeadline(time.Now().Add(smuggleWait))
	answers, _ := io.ReadAll(conn) // ends with the deadline, or when the entry closes the connection
	for _, line := range strings.Split(string(answers), "\r\n") {
		if strings.HasPrefix(line, "HTTP/") || strings.HasPrefix(line, names["request_id"]) || strings.HasPrefix(line, "Connection") {
			d.rec.event("client: %s", line)
		}
	}
	return nil
}
