package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
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

//go:embed names.json
var namesFile []byte

//go:embed manifest.json
var manifestFile []byte

// names are the platform's names of headers, paths and fields.
var names = func() map[string]string {
	var decoded map[string]string
	if err := json.Unmarshal(namesFile, &decoded); err != nil {
		panic(err) // the file is embedded
	}
	return decoded
}()

const (
	daemonPath  = "target/toucanwelld"
	frontPort   = 18782
	readyPort   = 18789
	controlPort = 18783
	enginePort  = 18785
	plainPort   = 18786
	meshPort    = 17340
	// isolatedMeshPort is the mesh port of a process that is cut off from all other machines: what it
	// sends reaches nobody, and what others send does not reach it.
	isolatedMeshPort = 17440
	// probePortOffset separates the two internal ports of a process.
	probePortOffset = 5
	// probePeriod is the time between two checks whether a condition holds.
	probePeriod = 20 * time.Millisecond
	startTime   = 20 * time.Second
	// Hosts of the simulated machines.
	storeHost    = 1
	firstSidecar = 10
	firstPlain   = 30
	firstEntry   = 40
)

// hostIP returns the loopback address of a simulated machine. It depends on the process ID, so that runs
// at the same time do not share addresses.
func hostIP(n int) string {
	const networks, groups = 200, 60
	return fmt.Sprintf("127.%d.%d.%d", 192+os.Getpid()/networks%groups, os.Getpid()%networks+1, n)
}

// daemon is a process of the project.
type daemon struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (d *daemon) pid() int { return d.cmd.Process.Pid }

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	_ = d.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-d.done
}

// deployment runs the project's processes on a simulated platform.
type deployment struct {
	rec     *recorder
	dir     string
	store   *standin.Store
	mu      sync.Mutex
	daemons []*daemon
	servers []interface{ close() }
	// memoryMB is the memory limit of the entries.
	memoryMB int
	// entries is the number of entries, of which the first three are seeds.
	entries int
}

func newDeployment(rec *recorder) (*deployment, error) {
	if _, err := os.Stat(daemonPath); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore(hostIP(storeHost) + ":0")
	if err != nil {
		return nil, err
	}
	store.KeepNoEras()
	return &deployment{rec: rec, dir: dir, store: store, memoryMB: 284}, nil
}

func (d *deployment) close() {
	d.mu.Lock()
	daemons := d.daemons
	d.mu.Unlock()
	for _, p := range daemons {
		p.kill()
	}
	for _, s := range d.servers {
		s.close()
	}
	d.store.Close()
	_ = os.RemoveAll(d.dir)
}

// declare publishes the manifest after change has edited it.
func (d *deployment) declare(version int64, change func(*standin.Config)) error {
	var config standin.Config
	if err := json.Unmarshal(manifestFile, &config); err != nil {
		return err
	}
	config.Version = version
	if change != nil {
		change(&config)
	}
	d.store.Declare(config)
	d.rec.note("the store has acknowledged manifest %d", version)
	return nil
}

// settingsFormat is the text that deploy/settings.toml yields.
const settingsFormat = `name = %q
role = %q
region = "bayern-sued"
availability_zone = "a"
mesh_listen = "%[3]s:%[4]d"
metrics_listen = "%[3]s:9464"
probe_listen = "%[3]s:%[5]d"
limits_listen = "%[3]s:%[5]d"
admin_listen = "%[3]s:%[5]d"
seeds = [%[6]s]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"]
memory_mb = %[7]d
%[8]s
[store]
address = %[9]q

[bounds]
grace_period = "8s"
weights = "8000ms"
retry_ratio = 0.2
retry_slack = 54
`

// startProcess starts a process of the project with the command of the deploy file.
func (d *deployment) startProcess(name, role, ip string, mesh, memoryMB int, more string) (*daemon, error) {
	var seeds []string
	for i := range min(d.entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", hostIP(firstEntry+i), controlPort)))
	}
	text := fmt.Sprintf(settingsFormat, name, role, ip, mesh, mesh+probePortOffset, strings.Join(seeds, ", "), memoryMB, more, d.store.Address())
	path := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &daemon{name: name, cmd: exec.Command(daemonPath, "gateway"), done: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings_variable"] + "=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	d.mu.Lock()
	d.daemons = append(d.daemons, p)
	d.mu.Unlock()
	d.rec.event("%s starts at %s", name, ip)
	return p, nil
}

// entryIP returns the address of an entry's machine.
func entryIP(i int) string { return hostIP(firstEntry + i) }

func (d *deployment) startEntry(i, mesh int) (*daemon, error) {
	ip := entryIP(i)
	more := fmt.Sprintf("listen = \"%s:%d\"\nready_listen = \"%s:%d\"\n", ip, frontPort, ip, readyPort)
	return d.startProcess(fmt.Sprintf("front-%d", i+1), "entry", ip, mesh, d.memoryMB, more)
}

func (d *deployment) startSidecar(i int) error {
	ip := hostIP(firstSidecar + i)
	more := fmt.Sprintf("engine = \"%s:%d\"\nservice = \"engines\"\n", ip, enginePort)
	_, err := d.startProcess(fmt.Sprintf("side-%d", i+1), "sidecar", ip, meshPort, 216, more)
	return err
}

// start starts the entries, and a sidecar for each of the first engines.
func (d *deployment) start(entries, sidecars int) ([]*daemon, error) {
	d.entries = entries
	var started []*daemon
	for i := range sidecars {
		if err := d.startSidecar(i); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		p, err := d.startEntry(i, meshPort)
		if err != nil {
			return nil, err
		}
		started = append(started, p)
	}
	for i := range entries {
		if err := await(startTime, fmt.Sprintf("front-%d is ready", i+1), func() bool { return isReady(entryIP(i)) }); err != nil {
			return nil, err
		}
	}
	d.rec.note("%d entries and %d sidecars are ready", entries, sidecars)
	return started, nil
}

var checkClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func isReady(ip string) bool {
	resp, err := checkClient.Get("http://" + net.JoinHostPort(ip, fmt.Sprint(readyPort)) + names["path_ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(timeout time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s", timeout, what)
		}
		time.Sleep(probePeriod)
	}
	return nil
}
