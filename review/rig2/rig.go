package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/teaseltack"
	// beatInterval, drainTime, graceTime, stableWindow and memoryMB are those of the
	// users' small sites.
	beatInterval = 1500 * time.Millisecond
	drainTime    = 2 * time.Second
	graceTime    = 6 * time.Second
	stableWindow = 3 * time.Second
	memoryMB     = 284
)

// rig is one small deployment.
type rig struct {
	started   time.Time
	trouble   bool
	dir       string
	store     *store
	storeHTTP *http.Server
	storeAddr string
	machines  []*machine
	endpoints []*endpoint

	mu  sync.Mutex
	out io.Writer
}

// machine is a machine with its daemon.
type machine struct {
	rig                              *rig
	name, service                    string
	outer, ready, announce, endpoint string
	settings                         string
	mu                               sync.Mutex
	process                          *exec.Cmd
	exited                           chan struct{}
}

func newRig(out io.Writer) *rig {
	dir, err := os.MkdirTemp("", "review2-")
	check(err)
	r := &rig{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: newStore(), out: out}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.storeAddr = listener.Addr().String()
	r.storeHTTP = &http.Server{Handler: r.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.storeHTTP.Serve(listener) }()
	r.note("trouble: %v", r.trouble)
	return r
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// now returns the time since the start of the case in seconds.
func (r *rig) now() float64 {
	return time.Since(r.started).Seconds()
}

func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.now(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (r *rig) close() {
	for _, m := range r.machines {
		m.kill()
	}
	for _, e := range r.endpoints {
		e.close()
	}
	_ = r.storeHTTP.Close()
	_ = os.RemoveAll(r.dir)
}

// usedPorts holds the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns an address with a free port below those of outgoing connections,
// so that none of them can take the port before a daemon listens at it.
func freeAddress() string {
	const lowest, count = 10_000, 20_000
	for range 1000 {
		port := lowest + rand.IntN(count)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			usedPorts[port] = true
			return address
		}
	}
	panic("found no free port")
}

func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	check(err)
	return port
}

// addMachine adds a machine of the service and starts its daemon.
func (r *rig) addMachine(name, service string) *machine {
	m := &machine{rig: r, name: name, service: service, outer: freeAddress(), ready: freeAddress(), announce: freeAddress(), endpoint: freeAddress()}
	m.settings = filepath.Join(r.dir, name+".hujson")
	text := fmt.Sprintf(`{
  "host": %q, "data-centre": "zone-a", "region": "region-a", "ip": "127.0.0.1", "service": %q,
  "outer-address": %q, "ready-address": %q, "announce-address": %q, "server-address": %q,
  "peer-port": %s, "metrics-port": %s, "platform-address": %q,
  "memory-mb": %d, "max-descriptors": 4100, "heartbeat-s": 1.5, "grace-s": 6,
  "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48, "log-level": "info",
}`, name, service, m.outer, m.ready, m.announce, m.endpoint, portOf(freeAddress()), portOf(freeAddress()), r.storeAddr, memoryMB)
	check(os.WriteFile(m.settings, []byte(text), 0o600))
	r.machines = append(r.machines, m)
	m.start()
	return m
}

// start starts the daemon.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.rig.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.process = exec.Command(program, "sidecar")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.rig.dir, "TEASELTACK_SETTINGS=" + m.settings}
	m.process.Stdout, m.process.Stderr = log, log
	check(m.process.Start())
	m.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}(m.process, m.exited)
	m.rig.note("daemon of %s started", m.name)
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s)
	m.rig.note("daemon of %s gets the signal %v", m.name, s)
}

func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Kill()
	<-m.exited
}

// stop sends SIGTERM, waits for the exit and sends SIGKILL after the grace time.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.rig.note("daemon of %s has ended", m.name)
}

// awaitReady waits until all daemons are ready.
func (r *rig) awaitReady() {
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range r.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				panic("a daemon is not ready after 10 s")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The daemons learn of each other's endpoints within this time.
	time.Sleep(4 * time.Second)
	r.note("all daemons are ready")
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/teaseltack/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// rule is a route of the operator's configuration.
type rule struct {
	name, kind, prefix, service string
	timeout                     float64
}

// configure writes the configuration to the store, as the operator does.
func (r *rig) configure(rules ...rule) {
	var list []any
	clusters := map[string]any{}
	for _, u := range rules {
		list = append(list, map[string]any{
			"name": u.name, "kind": u.kind, "target_latency_s": 1.5, "priority": 0, "match": map[string]any{"prefix": u.prefix},
			"action": map[string]any{"service": u.service, "timeout_s": u.timeout, "max_attempts": 2},
		})
		clusters[u.service] = map[string]any{"name": u.service, "health_path": "/health", "max_conns": 490, "protocol": "h1", "tls": false}
	}
	var clusterList []any
	for _, c := range clusters {
		clusterList = append(clusterList, c)
	}
	document, err := json.Marshal(map[string]any{
		"version":   "00000001",
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"host": "a.example", "rules": list}}, "clusters": clusterList,
	})
	check(err)
	r.store.putAsOperator("op/config", document)
	r.note("the configuration is confirmed")
}
