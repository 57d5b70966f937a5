package soak_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/platform"
	"teaseltack/platform/fake"
)

const (
	hostCount = 6
	// keptVersions is the number of versions whose routes a configuration has.
	keptVersions = 3
	// leaveTime is the time after the word that a server leaves in which work may
	// still come.
	leaveTime = 2 * time.Second
)

var services = []string{"orders", "till"}

// world is a fleet of real daemons as processes on a stand-in of the platform.
type world struct {
	t       *testing.T
	program string
	folder  string
	store   *fake.Store
	http    *httptest.Server
	hosts   []*host
	mu      sync.Mutex
	version int
}

type host struct {
	name       string
	service    string
	outer      string
	announce   string
	settings   string
	storeProxy *proxy
	peerProxy  *proxy
	// busy is held while the process is stopped or frozen, leaving while its
	// server leaves.
	busy, leaving sync.Mutex
	mu            sync.Mutex
	server        *fake.Server
	servers       []*fake.Server
	life          int
	process       *exec.Cmd
	log           *os.File
	exited        chan error
	leftAt        map[*fake.Server]time.Time
	runsWhenLeft  map[*fake.Server]map[string]int
}

// givenPorts are those that freePort has returned.
var givenPorts sync.Map

// freePort returns a free port below those that the kernel gives to outgoing
// connections: a daemon takes it some time later.
func freePort(t *testing.T) int {
	t.Helper()
	const lowest, count = 10_000, 20_000
	for range 100 {
		port := lowest + rand.IntN(count)
		if _, taken := givenPorts.LoadOrStore(port, true); taken {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

func newWorld(t *testing.T, program string) *world {
	w := &world{t: t, program: program, folder: t.TempDir(), store: fake.NewStore()}
	w.http = httptest.NewServer(w.store)
	w.configure()
	for i := range hostCount {
		w.addHost(i)
	}
	return w
}

// configure brings the next version into the store: it adds the routes of its
// number and drops the oldest.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var rules bytes.Buffer
	rule := func(name, kind, prefix, service string) {
		if rules.Len() > 0 {
			rules.WriteByte(',')
		}
		fmt.Fprintf(&rules, `{"name":%q,"kind":%q,"target_latency_s":1,"priority":0,"match":{"prefix":%q},"action":{"service":%q,"timeout_s":2,"max_attempts":2}}`, name, kind, prefix, service)
	}
	rule("read", "idempotent", "/read/", "orders")
	rule("write", "non_idempotent", "/write/", "till")
	for v := max(w.version-keptVersions+1, 1); v <= w.version; v++ {
		rule(fmt.Sprintf("v%d", v), "idempotent", fmt.Sprintf("/v%d/", v), services[v%2])
	}
	w.store.PutAsOperator(platform.ConfigKey, fmt.Appendf(nil,
		`{"version":"%08x","limits":{"max_header_bytes":4096,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"listeners":[{"host":"a.example","rules":[%s]}],"clusters":[{"name":"orders","health_path":"/h","max_conns":100},{"name":"till","health_path":"/h","max_conns":100}]}`,
		w.version, rules.String()))
}

func (w *world) currentVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) addHost(i int) {
	t := w.t
	h := &host{
		name: fmt.Sprintf("host-%d", i), service: services[i%len(services)],
		leftAt: map[*fake.Server]time.Time{}, runsWhenLeft: map[*fake.Server]map[string]int{},
	}
	h.outer = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	h.announce = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	peer := freePort(t)
	h.peerProxy = newProxy(t, fmt.Sprintf("127.0.0.1:%d", peer))
	h.storeProxy = newProxy(t, strings.TrimPrefix(w.http.URL, "http://"))
	w.startServer(h, "127.0.0.1:0")
	h.settings = filepath.Join(w.folder, h.name+".hujson")
	text := fmt.Sprintf(`{"host": %q, "data-centre": "dc-%d", "region": "r", "ip": "127.0.0.1", "service": %q,
"outer-address": %q, "ready-address": "127.0.0.1:%d", "announce-address": %q, "server-address": %q,
"peer-port": %d, "peer-address": %q, "metrics-port": 0, "platform-address": %q, "memory-mb": 200, "heartbeat-s": 0.5, "grace-s": 6,
"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48}`,
		h.name, i%2, h.service, h.outer, freePort(t), h.announce, h.server.Address(), peer, h.peerProxy.address(), h.storeProxy.address())
	assert.NilError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(w.folder, h.name+".log"))
	assert.NilError(t, err)
	h.log = log
	w.startProcess(h)
	w.hosts = append(w.hosts, h)
}

// startServer starts the host's next backend server at the address.
func (w *world) startServer(h *host, address string) {
	server, err := fake.NewServer(fake.ServerConfig{
		Service: h.service, Address: address, Instance: fmt.Sprintf("i-%s-%d", h.name, len(h.servers)), Slots: 8,
		Work: 5 * time.Millisecond, HeartbeatPeriod: 200 * time.Millisecond,
	})
	assert.NilError(w.t, err)
	h.mu.Lock()
	h.server = server
	h.servers = append(h.servers, server)
	h.mu.Unlock()
	server.Announce(h.announce)
}

func (w *world) startProcess(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	process := exec.Command(w.program, "sidecar", "--settings", h.settings)
	process.Stdout, process.Stderr = h.log, h.log
	assert.NilError(w.t, process.Start())
	h.life++
	exited := make(chan error, 1)
	h.process, h.exited = process, exited
	go func() { exited <- process.Wait() }()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s)
}

// stop ends the process with the signal and returns how it exited.
func (h *host) stop(s syscall.Signal) error {
	h.signal(s)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	return <-exited
}

// drain makes the host's server leave and starts the next one at its address
// once that has ended.
func (w *world) drain(h *host) {
	h.mu.Lock()
	old := h.server
	h.mu.Unlock()
	if err := old.Drain(); err != nil {
		return
	}
	time.Sleep(leaveTime)
	h.mu.Lock()
	h.leftAt[old] = time.Now()
	h.runsWhenLeft[old] = old.Runs()
	h.mu.Unlock()
	time.Sleep(leaveTime / 2)
	address := old.Address()
	old.Close()
	w.startServer(h, address)
}

// logTails returns the last lines of every daemon's log.
func (w *world) logTails() string {
	const most = 1500
	var tails strings.Builder
	for _, h := range w.hosts {
		text, err := os.ReadFile(h.log.Name())
		if err != nil {
			continue
		}
		fmt.Fprintf(&tails, "%s:\n%s\n", h.name, text[max(0, len(text)-most):])
	}
	return tails.String()
}

// runs sums the runs of every attempt over all servers.
func (w *world) runs() map[string]int {
	total := map[string]int{}
	for _, h := range w.hosts {
		for _, s := range h.servers {
			for id, n := range s.Runs() {
				total[id] += n
			}
		}
	}
	return total
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		_ = h.stop(syscall.SIGKILL)
		h.server.Close()
		_ = h.log.Close()
	}
	w.http.CloseClientConnections()
	w.http.Close()
}
