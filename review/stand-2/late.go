package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// submitsPerSecond is the rate of requests that may run once.
	submitsPerSecond = 97
	// workTime is how long a plain server works on a request.
	workTime = 15 * time.Millisecond
	// The disruption: a share of the servers sends further bytes after a share of its complete answers.
	spoiledShare = 0.03
	spoilFor     = 5 * time.Second
	// maxByteDelay is how long after an answer the further bytes come.
	maxByteDelay = 30 * time.Millisecond
	plainServers = 3
	// faultyServers is at most 0.6 of the servers.
	faultyServers = 1
	windows       = 4
	submitSlots   = 6
	submitQueue   = 24
)

// plainServer plays a server of the plain application. It speaks HTTP on raw connections, so that it can
// send bytes that belong to no answer.
type plainServer struct {
	d        *deployment
	id       string
	address  string
	listener net.Listener
	stop     chan struct{}
	slots    chan struct{}
	mu       sync.Mutex
	spoils   bool
	waiting  int
	beats    int64
	// runs holds the IDs of the requests that it ran.
	runs []string
	sent int
}

func (d *deployment) startPlainServers() ([]*plainServer, error) {
	var all []*plainServer
	for i := range plainServers {
		s := &plainServer{d: d, id: fmt.Sprintf("i-plain-%d", i+1), address: fmt.Sprintf("%s:%d", hostIP(firstPlain+i), plainPort), stop: make(chan struct{}), slots: make(chan struct{}, submitSlots)}
		var err error
		if s.listener, err = net.Listen("tcp", s.address); err != nil {
			return nil, err
		}
		go s.accept()
		go s.beat()
		all = append(all, s)
		d.servers = append(d.servers, s)
	}
	return all, nil
}

func (s *plainServer) close() {
	close(s.stop)
	_ = s.listener.Close()
}

func (s *plainServer) beat() {
	for {
		s.beats++
		s.d.store.PutJSON(names["topic_targets"], s.id, map[string]any{
			"Service": "plain", "Address": s.address, "Zone": "a", "Version": "v1", names["slots"]: submitSlots, "State": "ready", names["cold"]: 0, "Sequence": s.beats,
		})
		select {
		case <-time.After(heartbeatPeriod):
		case <-s.stop:
			return
		}
	}
}

func (s *plainServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of a connection one after the other.
func (s *plainServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var mu sync.Mutex // serializes what is written
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		status, text := s.answer(r)
		mu.Lock()
		_, err = conn.Write(s.encode(r, status, text))
		mu.Unlock()
		if err != nil {
			return
		}
		if status == http.StatusOK && r.URL.Path != "/healthz" && s.takeSpoil() {
			time.AfterFunc(time.Duration(rand.Int64N(int64(maxByteDelay))), func() {
				mu.Lock()
				defer mu.Unlock()
				_, err := conn.Write(furtherBytes())
				s.d.rec.event("%s: further bytes after the complete answer to request %s, error %v", s.id, r.Header.Get(names["request_id"]), err)
			})
		}
	}
}

// answer runs a request, or states that it did not.
func (s *plainServer) answer(r *http.Request) (int, string) {
	if r.URL.Path == "/healthz" {
		return http.StatusOK, ""
	}
	if expected := r.Header.Get(names["expect_instance"]); expected != "" && expected != s.id {
		return http.StatusMisdirectedRequest, ""
	}
	s.mu.Lock()
	full := s.waiting >= submitSlots+submitQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return http.StatusServiceUnavailable, ""
	}
	s.slots <- struct{}{}
	id := r.Header.Get(names["request_id"])
	s.d.rec.event("%s: runs request %s", s.id, id)
	time.Sleep(workTime)
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.runs = append(s.runs, id)
	return http.StatusOK, "filed by " + s.id
}

// encode returns an answer with the headers that all answers of a server have.
func (s *plainServer) encode(r *http.Request, status int, text string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), names["request_id"], r.Header.Get(names["request_id"]))
	if status == http.StatusOK {
		fmt.Fprintf(&b, "%s: seal.%s\r\n", names["seal"], s.id)
	} else {
		fmt.Fprintf(&b, "%s: 1\r\n", names["not_run"])
	}
	if r.URL.Path == "/healthz" {
		fmt.Fprintf(&b, "%s: %s\r\n", names["instance_id"], s.id)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(text), text)
	return b.Bytes()
}

// furtherBytes are bytes that belong to no request: they bear the ID of none.
func furtherBytes() []byte {
	return []byte("HTTP/1.1 503 Service Unavailable\r\n" + names["not_run"] + ": 1\r\nContent-Length: 0\r\n\r\n")
}

// takeSpoil reports whether further bytes follow the present answer.
func (s *plainServer) takeSpoil() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.spoils || rand.Float64() >= spoiledShare {
		return false
	}
	s.sent++
	return true
}

func (s *plainServer) setSpoils(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoils = on
}

// runLate lets one server send bytes after complete answers, and checks whether a request that may run once
// runs twice, or has run although the client is told that it has not.
func runLate(d *deployment, trouble bool) ([]string, error) {
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
	c := newClients(d)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	var mu sync.Mutex
	statuses := map[string]int{}
	var sending sync.WaitGroup
	stop := make(chan struct{})
	sending.Go(func() {
		tick := time.NewTicker(time.Second / submitsPerSecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				sending.Go(func() {
					body := []byte("stall permit renewal")
					id, status, _ := c.send(client, request{path: "/submit/1", key: "town-key", deadline: time.Second, body: bytes.NewReader(body), length: int64(len(body))})
					mu.Lock()
					statuses[id] = status
					mu.Unlock()
				})
			case <-stop:
				return
			}
		}
	})
	for range windows {
		time.Sleep(time.Second)
		for i := range faultyServers {
			servers[i].setSpoils(trouble)
		}
		d.rec.note("window of %v, disruption %t", spoilFor, trouble)
		time.Sleep(spoilFor)
		for i := range faultyServers {
			servers[i].setSpoils(false)
		}
	}
	close(stop)
	sending.Wait()
	runs, spoiled := map[string][]string{}, 0
	for _, s := range servers {
		s.mu.Lock()
		for _, id := range s.runs {
			runs[id] = append(runs[id], s.id)
		}
		spoiled += s.sent
		s.mu.Unlock()
	}
	d.rec.note("%d requests, %d of them served; further bytes after %d answers", len(statuses), c.served, spoiled)
	if c.served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	var violations []string
	for id, by := range runs {
		if len(by) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s ran at %v, and the client got status %d", id, by, statuses[id]))
		}
		switch statuses[id] {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			violations = append(violations, fmt.Sprintf("REFUSED: request %s ran at %v, and the client got status %d", id, by, statuses[id]))
		}
	}
	return violations, nil
}
