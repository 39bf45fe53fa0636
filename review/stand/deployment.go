package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/toucanwell/toucanwell/platform/standin"
)

const (
	meshPort, callerPort, readyPort, enginePort = 17340, 18782, 18789, 18785
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// silentHeartbeats is the number of missed heartbeats after which the platform removes a listing.
	silentHeartbeats = 3
)

// deployment is the platform and all processes of one script.
type deployment struct {
	dir, root string
	record    *record
	store     *standin.Store
	seeds     []string

	mu        sync.Mutex
	processes []*process
	// closing is set once the script ends: nothing is started again.
	closing bool
}

// started holds all processes that were started, so that none outlives a script that is stopped.
var started startedProcesses

type startedProcesses struct {
	mu  sync.Mutex
	all []*os.Process
}

func (s *startedProcesses) add(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, p)
}

// kill ends all processes; those that have ended are left out by their handles.
func (s *startedProcesses) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		_ = p.Kill()
	}
}

// process is a process that the script has started. Entries and sidecars are started again.
type process struct {
	name string
	cmd  *exec.Cmd
	// ended is closed when it has ended.
	ended chan struct{}
}

func startDeployment(root string, rec *record, manifest string, seeds ...string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, root: root, record: rec, seeds: seeds}
	if d.store, err = standin.StartStore(hostIP(1) + ":0"); err != nil {
		return nil, err
	}
	d.store.KeepNoEras()
	text, err := os.ReadFile(manifest)
	if err != nil {
		return nil, err
	}
	d.store.Put(wire["topic_operators"], "config", text)
	return d, nil
}

// hostIP returns the loopback address of a host. It depends on the process ID, so that scripts that run
// at the same time do not share addresses.
func hostIP(n int) string {
	const networks, groups = 200, 128
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/networks%groups, os.Getpid()%networks+1, n)
}

// close ends all processes.
func (d *deployment) close() {
	d.mu.Lock()
	d.closing = true
	all := d.processes
	d.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.ended
	}
	d.store.Close()
	_ = os.RemoveAll(d.dir)
}

// start starts a process. onLine gets each line of its output, onEnd is called when it has ended.
func (d *deployment) start(name string, cmd *exec.Cmd, onLine func(string), onEnd func()) (*process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil, os.ErrClosed
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	d.processes = append(d.processes, p)
	started.add(cmd.Process)
	go func() {
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadString('\n')
			if line != "" {
				onLine(strings.TrimSpace(line))
			}
			if err != nil {
				break
			}
		}
		_ = cmd.Wait()
		close(p.ended)
		onEnd()
	}()
	return p, nil
}

// startEngine starts a target at a host.
func (d *deployment) startEngine(host int, instance, service string, args ...string) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args = append([]string{"engine", "-address", engineAddress(host), "-store", d.store.Address(), "-instance", instance, "-service", service}, args...)
	return d.start(instance, exec.Command(program, args...), func(line string) { d.record.add("%s: %s", instance, line) }, func() {
		d.record.add("%s has ended", instance)
		time.Sleep(silentHeartbeats * heartbeatInterval)
		d.store.Put(wire["topic_targets"], instance, nil)
	})
}

func engineAddress(host int) string { return fmt.Sprintf("%s:%d", hostIP(host), enginePort) }

// startSidecar starts the sidecar of the engine at a host.
func (d *deployment) startSidecar(host int, service string) error {
	fields := d.fields(fmt.Sprintf("side-%d", host), host)
	fields["Role"], fields["Listen"], fields["app"], fields["Service"] = "sidecar", map[string]any{}, engineAddress(host), service
	_, err := d.startDaemon(fields, func(*process) {})
	return err
}

// startEntry starts an entry. onStart is called with its process at each start.
func (d *deployment) startEntry(host int, onStart func(*process)) error {
	ip := hostIP(host)
	fields := d.fields(fmt.Sprintf("entry-%d", host), host)
	fields["Role"] = "entry"
	fields["Listen"] = map[string]any{"Front": fmt.Sprintf("%s:%d", ip, callerPort), "Ready": fmt.Sprintf("%s:%d", ip, readyPort), "Control": ip + ":18783"}
	_, err := d.startDaemon(fields, onStart)
	return err
}

// fields returns the platform's settings of a process, with the bounds of the small deployments.
func (d *deployment) fields(name string, host int) map[string]any {
	return map[string]any{
		"NodeName": name, "BindIp": hostIP(host), "Zone": "a", "Region": "r", "InternalPorts": []any{meshPort, meshPort + 5},
		"SeedNodes": d.seeds, "Bootstrap": true, "Guarantees": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"Limits": map[string]any{"MemoryMb": 284}, "Provider": map[string]any{"Address": d.store.Address()},
		"Bounds": map[string]any{"GracePeriodS": 8, "VersionMs": 8000, "RetryBudgetRatio": 0.2, "RetryBudgetSlack": 54},
	}
}

// startDaemon starts a process of the router with the command of the deploy file, and starts it again
// whenever it ends.
func (d *deployment) startDaemon(fields map[string]any, onStart func(*process)) (*process, error) {
	name := fields["NodeName"].(string)
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", "settings.toml"))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(path, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(d.root, "target", "toucanwelld"), "gateway")
	cmd.Dir = d.root
	cmd.Env = append(os.Environ(), wire["settings_variable"]+"="+path)
	p, err := d.start(name, cmd, func(line string) { d.record.addLog(name, line) }, func() {
		d.record.add("%s has ended", name)
		time.Sleep(restartDelay)
		fields["Bootstrap"] = nil
		if _, err := d.startDaemon(fields, onStart); err == nil {
			d.record.add("%s is started again", name)
		}
	})
	if err == nil {
		onStart(p)
	}
	return p, err
}

// render fills in the template of the settings as the platform does, as far as that template needs it.
func render(template string, fields map[string]any) string {
	for {
		start := strings.Index(template, "{{#")
		if start < 0 {
			break
		}
		nameEnd := start + strings.Index(template[start:], "}}")
		name := template[start+3 : nameEnd]
		closing := "{{/" + name + "}}"
		end := strings.Index(template, closing)
		body := ""
		if value := lookUp(fields, name); value != nil {
			body = strings.ReplaceAll(template[nameEnd+2:end], "{{.|json}}", encode(value))
		}
		template = template[:start] + body + template[end+len(closing):]
	}
	for {
		start := strings.Index(template, "{{")
		if start < 0 {
			return template
		}
		end := start + strings.Index(template[start:], "}}")
		name, form, _ := strings.Cut(template[start+2:end], "|")
		value := fmt.Sprint(lookUp(fields, name))
		if form == "json" {
			value = encode(lookUp(fields, name))
		}
		template = template[:start] + value + template[end+2:]
	}
}

func encode(value any) string {
	text, _ := json.Marshal(value) // only maps, lists and plain values
	return string(text)
}

func lookUp(fields any, path string) any {
	name, rest, nested := strings.Cut(path, ".")
	var value any
	switch f := fields.(type) {
	case map[string]any:
		value = f[name]
	case []any:
		index := 0
		_, _ = fmt.Sscan(name, &index)
		if index < len(f) {
			value = f[index]
		}
	}
	if nested {
		return lookUp(value, rest)
	}
	return value
}

// awaitReady waits until the entry at a host is ready.
func (d *deployment) awaitReady(host int) error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		if isReady(host) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the entry at host %d is not ready", host)
}

// isReady makes the platform's readiness check.
func isReady(host int) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", hostIP(host), readyPort, wire["path_ready"]))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }
