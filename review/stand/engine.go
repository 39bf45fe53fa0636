package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeatInterval is the time between two writes of a target's listing.
const heartbeatInterval = 1200 * time.Millisecond

// engine is one target: an engine that answers with streams if model is set, else a plain target.
type engine struct {
	address, store, instance, service, zone, model string
	// work is the time to the first event or to the whole answer, gap that between two events.
	work, gap time.Duration
	// events is the number of events of a stream; lineBytes is the length of the data line of each
	// but the last, without its line feed; zero for a short one.
	events, lineBytes int
	born              int64
	running           atomic.Int64
	outMu             sync.Mutex
}

// runEngine runs a target until a signal.
func runEngine(args []string) {
	e := &engine{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	flags.StringVar(&e.address, "address", "", "address to listen on")
	flags.StringVar(&e.store, "store", "", "address of the store")
	flags.StringVar(&e.instance, "instance", "", "name")
	flags.StringVar(&e.service, "service", "", "service")
	flags.StringVar(&e.zone, "zone", "a", "availability zone")
	flags.StringVar(&e.model, "model", "", "model of an engine; empty for a plain target")
	flags.DurationVar(&e.work, "work", 15*time.Millisecond, "time to the first event or the answer")
	flags.DurationVar(&e.gap, "gap", 100*time.Millisecond, "time between two events")
	flags.IntVar(&e.events, "events", 3, "events of a stream")
	flags.IntVar(&e.lineBytes, "line", 0, "length of the data line of each event but the last; 0 for a short one")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		log.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(wire["path_report"], e.serveText("report"))
	mux.HandleFunc(wire["path_list"], e.serveText("list"))
	mux.HandleFunc(wire["path_events"], e.serveEvents)
	mux.HandleFunc(wire["path_order"], func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(wire["instance"], e.instance) })
	mux.HandleFunc("/", e.serveRequest)
	go func() { log.Fatal(http.Serve(listener, mux)) }()
	go e.register()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	<-ended
}

func (e *engine) text(name string, more ...string) string {
	pairs := append([]string{
		"@service", e.service, "@address", e.address, "@zone", e.zone, "@model", e.model,
		"@born", strconv.FormatInt(e.born, 10), "@running", strconv.FormatInt(e.running.Load(), 10),
	}, more...)
	return strings.NewReplacer(pairs...).Replace(wire[name])
}

func (e *engine) serveText(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, e.text(name))
	}
}

// serveEvents holds a question for cache events for as long as the caller allows: this cache tells none.
func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get(wire["wait"]))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	e.serveText("events")(w, r)
}

// register writes the target's listing to the store, again and again.
func (e *engine) register() {
	for count := 1; ; count++ {
		models := ""
		if e.model != "" {
			models = e.text("listing_models")
		}
		value := e.text("listing", "@count", strconv.Itoa(count), "@extra", models)
		if err := appendRecord(e.store, wire["topic_targets"], e.instance, value); err != nil {
			e.say("listing not written: %v", err)
		}
		time.Sleep(heartbeatInterval)
	}
}

// appendRecord appends a record of a keyed topic to the store.
func appendRecord(store, topic, key, value string) error {
	content := append([]byte{byte(len(key))}, key+value...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + store + wire["path_append"] + "?Topic=" + topic + "&part=0"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// say writes a line for the record.
func (e *engine) say(format string, args ...any) {
	e.outMu.Lock()
	defer e.outMu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, expected, version := r.Header.Get(wire["request_id"]), r.Header.Get(wire["expect_instance"]), r.Header.Get(wire["expect_version"])
	if expected != "" && expected != e.instance || version != "" && version != "1" {
		w.Header().Set(wire["instance"], e.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(wire["request_id"], id)
	if id == "" {
		w.Header().Set(wire["not_run"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set(wire["seal"], "seal."+e.instance)
	last, _ := strconv.Atoi(r.Header.Get(wire["last_event"]))
	e.say("runs %s %s %s after event %d", id, r.Method, r.URL.Path, last)
	if !pause(r.Context(), e.work) {
		e.say("%s cut off by the router", id)
		return
	}
	if e.model == "" {
		_, _ = fmt.Fprintf(w, "%s of %s, %d bytes", id, r.URL.Path, len(body))
		e.say("%s answered", id)
		return
	}
	e.stream(w, r, id, last)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// stream answers with the events after the given one.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= e.events; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n, e.events, e.lineBytes))
		if err == nil {
			err = flusher.Flush()
		}
		if err != nil || n < e.events && !pause(r.Context(), e.gap) {
			e.say("%s cut off by the router after event %d", id, n)
			return
		}
	}
	e.say("%s answered", id)
}

// eventText returns the text of an event. Each engine gives the same text for an event.
func eventText(id string, n, events, lineBytes int) string {
	text := fmt.Sprintf("event %d of %s", n, id)
	if fill := lineBytes - len("data: ") - len(text); fill > 0 && n < events {
		text += strings.Repeat(".", fill)
	}
	return text
}
