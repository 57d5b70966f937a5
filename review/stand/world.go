// Package stand holds what the scripts of the review share: it starts the project's
// sidecars as separate processes on loopback addresses, with stand-ins for the store,
// the backend servers and the network, and records what was sent, answered and run.
package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"teaseltack/platform"
	"teaseltack/platform/fake"
)

// The exit codes of a script.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// World is one run of a script.
type World struct {
	// Trouble is false if the run leaves out the disruption.
	Trouble bool
	Store   *Store

	mu       sync.Mutex
	started  time.Time
	record   *os.File
	dir      string
	sidecars []*Sidecar
	closers  []func()
}

// Run runs a script and exits. It writes record.txt to the working directory and ends
// all processes that the script started.
func Run(script func(w *World) bool) {
	os.Exit(run(script))
}

func run(script func(w *World) bool) (code int) {
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CantRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CantRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &World{Trouble: os.Getenv("TROUBLE") != "0", record: record, dir: dir, started: time.Now()}
	defer func() {
		if problem := recover(); problem != nil {
			w.Log("the case could not run: %v", problem)
			code = CantRun
		}
		w.end()
	}()
	w.Log("disruption: %t", w.Trouble)
	w.Store = &Store{fake: fake.NewStore(), silent: map[string]bool{}}
	if script(w) {
		w.Log("RESULT: the rule was broken")
		return Broken
	}
	w.Log("RESULT: the rule held")
	return Held
}

// end ends all processes and listeners.
func (w *World) end() {
	for _, s := range w.sidecars {
		s.Kill()
	}
	for _, closeOne := range w.closers {
		closeOne()
	}
}

func (w *World) onEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// Log writes a line with the time since the start to record.txt and to the standard
// output.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// must ends the run with CantRun if err is set.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// firstPort and ports are the range of the ports that the scripts use. It is below the
// range from which Linux takes the ports of outgoing connections.
const (
	firstPort = 15_000
	ports     = 16_000
)

// handedOut holds the addresses that FreeAddress returned.
var handedOut sync.Map

// Listen opens a listener on a free port of the loopback address.
func Listen() net.Listener {
	listener, err := net.Listen("tcp", FreeAddress())
	must(err)
	return listener
}

// FreeAddress returns an address with a port that was free a moment ago, and that it has
// not returned before.
func FreeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if _, known := handedOut.LoadOrStore(address, true); known {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// WaitFor waits until the condition holds, for at most the given time; without it the
// case could not run.
func WaitFor(what string, timeout time.Duration, condition func() bool) {
	for end := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic("gave up waiting: " + what)
		}
	}
}

// Route is one route of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	Idempotent                  bool
	TimeoutS                    float64
	MaxAttempts                 int
}

// Configure writes a configuration as the operator does.
func (w *World) Configure(version int, routes ...Route) {
	type object = map[string]any
	var listeners, clusters []object
	services := map[string]bool{}
	for _, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		listeners = append(listeners, object{"host": r.Host, "rules": []object{{
			"name": r.Name, "kind": kind, "target_latency_s": 1.5, "priority": 0, "match": object{"prefix": r.Prefix},
			"action": object{"service": r.Service, "timeout_s": r.TimeoutS, "max_attempts": max(r.MaxAttempts, 2)},
		}}})
		if !services[r.Service] {
			services[r.Service] = true
			clusters = append(clusters, object{"name": r.Service, "health_path": "/health", "max_conns": 490, "protocol": "h1", "tls": false})
		}
	}
	document, err := json.Marshal(object{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": listeners, "clusters": clusters,
	})
	must(err)
	w.Store.fake.PutAsOperator(platform.ConfigKey, document)
	w.Log("operator: configuration %d is confirmed", version)
}

// Store is a stand-in of the platform's store: the project's own, behind a switch for
// the impairments that the pages name.
type Store struct {
	fake *fake.Store

	mu sync.Mutex
	// silent holds the hosts that get no response.
	silent map[string]bool
}

// open opens an address of the store for one host.
func (s *Store) open(w *World, host string) string {
	listener := Listen()
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if s.isSilent(host) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.fake.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	w.onEnd(func() { _ = server.Close() })
	return listener.Addr().String()
}

// SetSilent makes the store give no response to the calls of a host that arrive from now
// on, or serves new calls again. A connection on which a response was lost returns nothing
// further.
func (s *Store) SetSilent(host string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[host] = silent
}

func (s *Store) isSilent(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[host]
}

// SetBusy makes the store answer 503 to all calls.
func (s *Store) SetBusy(busy bool) {
	if busy {
		s.fake.SetFault(fake.Unavailable)
		return
	}
	s.fake.SetFault(fake.NoFault)
}

// Has reports whether the store holds a key with the prefix.
func (s *Store) Has(prefix string) bool {
	return len(s.fake.Keys(prefix)) > 0
}

// Machine is what the settings of a sidecar say of its machine.
type Machine struct {
	Host, Service string
	// PeerAddress is the address at which other daemons reach this one; empty stands
	// for the daemon's own listener.
	PeerAddress string
	MemoryMB    int
}

// Sidecar is one daemon process and the addresses of its machine.
type Sidecar struct {
	Machine
	Outbound, Ready, Control, App, Peer string

	world *World
	// store is the address of the store for this machine.
	store    string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// NewSidecar writes the settings of a machine; Start starts its daemon.
func (w *World) NewSidecar(m Machine) *Sidecar {
	s := &Sidecar{Machine: m, Outbound: FreeAddress(), Ready: FreeAddress(), Control: FreeAddress(), App: FreeAddress(), Peer: FreeAddress(), world: w}
	if s.MemoryMB == 0 {
		s.MemoryMB = 284
	}
	s.store = w.Store.open(w, m.Host)
	w.mu.Lock()
	w.sidecars = append(w.sidecars, s)
	w.mu.Unlock()
	s.WriteSettings()
	return s
}

// WriteSettings writes the settings file; the daemon reads it at its next start.
func (s *Sidecar) WriteSettings() {
	_, port, err := net.SplitHostPort(s.Peer)
	must(err)
	settings := map[string]any{
		"host": s.Host, "data-centre": "tz-north-a", "region": "tz-north", "ip": "127.0.0.1", "service": s.Service,
		"outer-address": s.Outbound, "ready-address": s.Ready, "announce-address": s.Control, "server-address": s.App,
		"peer-port": json.Number(port), "metrics-port": 0, "platform-address": s.store, "memory-mb": s.MemoryMB,
		"heartbeat-s": 1.5, "grace-s": 6, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48, "log-level": "info",
	}
	if s.PeerAddress != "" {
		settings["peer-address"] = s.PeerAddress
	}
	text, err := json.Marshal(settings)
	must(err)
	s.settings = filepath.Join(s.world.dir, s.Host+".hujson")
	must(os.WriteFile(s.settings, text, 0o600))
}

// root is the repository's root, seen from the folder of a case.
const root = "../.."

// Start starts the daemon with the command of the deploy file.
func (s *Sidecar) Start() {
	cmd := exec.Command("target/teaseltack", "sidecar")
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "TEASELTACK_SETTINGS="+s.settings)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	must(cmd.Start())
	done := make(chan struct{})
	s.mu.Lock()
	s.cmd, s.done = cmd, done
	s.mu.Unlock()
	s.world.Log("%s: daemon started, process %d", s.Host, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		s.world.Log("%s: daemon ended: %v", s.Host, err)
		if os.Getenv("LOGS") != "" {
			_ = os.WriteFile(filepath.Join(os.Getenv("LOGS"), fmt.Sprintf("%s-%d.log", s.Host, cmd.Process.Pid)), out.Bytes(), 0o600)
		}
		close(done)
	}()
}

// Running reports whether the daemon's process runs.
func (s *Sidecar) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return false
	}
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// Pid returns the daemon's process id.
func (s *Sidecar) Pid() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd.Process.Pid
}

// Signal sends a signal to the daemon.
func (s *Sidecar) Signal(signal syscall.Signal) {
	if s.Running() {
		s.world.Log("%s: daemon gets %s", s.Host, signal)
		_ = syscall.Kill(s.Pid(), signal)
	}
}

// Kill kills the daemon and waits for its end.
func (s *Sidecar) Kill() {
	if s.Running() {
		s.Signal(syscall.SIGKILL)
		<-s.done
	}
}

// IsReady makes one readiness probe.
func (s *Sidecar) IsReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.Ready + "/teaseltack/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the daemon is ready.
func (s *Sidecar) AwaitReady() {
	WaitFor(s.Host+" is ready", 15*time.Second, s.IsReady)
}
