package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// entryMemoryMB is MemoryMb of the front machines.
	entryMemoryMB = 134
	memoryEntries = 2
	// usualClients is the number of clients that send to each entry, burstClients that in a burst.
	usualClients = 18
	burstClients = 30
	burstFor     = 3 * time.Second
	bursts       = 3
	betweenBurst = 6 * time.Second
	// bodyBytes is MaxBodyBytes of the manifest.
	bodyBytes = 4 << 20
	// uploadBytesPerSecond is how fast a client sends: all clients of an entry stay below its link's rate.
	uploadBytesPerSecond = 3 << 20
	memoryPollPeriod     = 10 * time.Millisecond
	restartDelay         = 500 * time.Millisecond
	minEnds              = 3
)

// pacedBody is a body that is sent at a bounded rate.
type pacedBody struct{ left int }

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	const step = 64 << 10
	n := min(len(p), b.left, step)
	time.Sleep(time.Second * time.Duration(n) / uploadBytesPerSecond)
	for i := range p[:n] {
		p[i] = 'a'
	}
	b.left -= n
	return n, nil
}

// watchedEntry is an entry that the platform kills when it exceeds its memory, and restarts.
type watchedEntry struct {
	d     *deployment
	index int
	mu    sync.Mutex
	ends  int
	peak  int
}

// watch plays the platform for one entry until stop is closed.
func (w *watchedEntry) watch(p *daemon, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPollPeriod):
		}
		mb := residentMB(p.pid())
		w.mu.Lock()
		w.peak = max(w.peak, mb)
		w.mu.Unlock()
		if mb <= entryMemoryMB {
			continue
		}
		p.kill()
		w.mu.Lock()
		w.ends++
		w.mu.Unlock()
		w.d.rec.note("%s has %d MB, over its limit of %d MB, and is killed by the platform", p.name, mb, entryMemoryMB)
		time.Sleep(restartDelay)
		next, err := w.d.startEntry(w.index, meshPort)
		if err != nil {
			w.d.rec.note("restart: %v", err)
			return
		}
		p = next
	}
}

// residentMB returns the resident memory of a process; zero if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// runMemory sends prompts with long bodies and multiplies the number of clients for some seconds. It checks
// whether the entries stay within their memory.
func runMemory(d *deployment, trouble bool) ([]string, error) {
	d.memoryMB = entryMemoryMB
	const events, interval = 76, 40 * time.Millisecond
	if _, err := d.startEngines(4, events, interval); err != nil {
		return nil, err
	}
	if err := d.declare(1, nil); err != nil {
		return nil, err
	}
	started, err := d.start(memoryEntries, 4)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	watched := make([]*watchedEntry, memoryEntries)
	c := newClients(d)
	usual := make(chan struct{})
	for i := range memoryEntries {
		watched[i] = &watchedEntry{d: d, index: i}
		running.Go(func() { watched[i].watch(started[i], stop) })
		for range usualClients {
			running.Go(func() { c.repeat(i, usual) })
		}
	}
	for range bursts {
		time.Sleep(betweenBurst)
		if !trouble {
			time.Sleep(burstFor)
			continue
		}
		d.rec.note("burst: %d clients for each entry instead of %d", burstClients, usualClients)
		end := make(chan struct{})
		for i := range memoryEntries {
			for range burstClients - usualClients {
				running.Go(func() { c.repeat(i, end) })
			}
		}
		time.Sleep(burstFor)
		close(end)
	}
	time.Sleep(betweenBurst)
	close(usual)
	close(stop)
	running.Wait()
	ended, ends := 0, 0
	for _, w := range watched {
		d.rec.note("front-%d: at most %d MB of %d MB, killed %d times", w.index+1, w.peak, entryMemoryMB, w.ends)
		ends += w.ends
		if w.ends >= minEnds {
			ended++
		}
	}
	d.rec.note("%d requests were served", c.served)
	if c.served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if ended < memoryEntries {
		return nil, nil
	}
	return []string{fmt.Sprintf("processes ended by themselves (memory over the limit) three times or more on %d machines, %d times in all", ended, ends)}, nil
}

// repeat sends one prompt after the other until end is closed.
func (c *clients) repeat(entry int, end <-chan struct{}) {
	client := &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		default:
		}
		if _, _, err := c.send(client, request{entry: entry, path: "/review/1", key: "town-key", deadline: 15 * time.Second, body: &pacedBody{bodyBytes}, length: bodyBytes, headers: promptHeaders(n)}); err != nil {
			time.Sleep(restartDelay)
		}
	}
}
