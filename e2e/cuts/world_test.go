//go:build linux

package cuts_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack/platform"
	"teaseltack/platform/fake"
)

const (
	centreCount    = 3
	hostsPerCentre = 3
	peerPort       = 8004
	// maxBody is the size of a long body in bytes.
	maxBody = 32 << 10
	// shortPause and longPause are the pauses between two requests of one rule at one host.
	// The fewer requests, the fewer links lead out of a data centre.
	shortPause = 50 * time.Millisecond
	longPause  = 250 * time.Millisecond
	// requestDeadline is the deadline of each request.
	requestDeadline = time.Second
	startTimeout    = 15 * time.Second
	// discoveryTime is the time from the readiness of all hosts to the first request. Each
	// host then knows the servers of its own data centre and opens no links out of it.
	discoveryTime = 500 * time.Millisecond
)

// allServices has more services than a data centre has hosts.
var allServices = []string{"orders", "till", "stock", "mail"}

// world is a set of daemons that run as processes on a fake of the platform.
type world struct {
	t      *testing.T
	random *rand.Rand
	store  *fake.Store
	hosts  []*host
	// services are all services or, so that no request needs to leave its data centre, as
	// many as a data centre has hosts.
	services []string
	// body is the body of all requests; long ones fill the buffers of links to hosts that do
	// not read.
	body string
	// pausing is the pause between two requests.
	pausing time.Duration
	// read is the service of the rule that does not change.
	read string

	mu       sync.Mutex
	changes  []change
	requests []request
}

type host struct {
	name, centre, service           string
	ip                              string
	outer, ready, announce, peering string
	server                          *fake.Server
	front                           *front
	// links are the ways to the other hosts.
	links   map[*host]*way
	process *exec.Cmd
	log     string
	// away are the times in which the store did not serve the host, isolated those in
	// which nothing that knows the store's contents could reach it. world.mu guards them.
	away, isolated []span
}

// front serves the store to one host.
type front struct {
	store *fake.Store
	way   *way
	// addresses replaces the addresses of the other hosts by those of the host's links.
	addresses *strings.Replacer
	away      atomic.Bool
}

// randomIP returns an address of the loopback network that nothing else is likely to use, nor
// any outgoing connection.
func randomIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), 1+rand.IntN(254), 1+rand.IntN(254))
}

// newWorld starts the daemons and sends requests to them until the test ends.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 0)), store: fake.NewStore()}
	w.services = allServices[:hostsPerCentre+w.random.IntN(2)]
	w.body = strings.Repeat("b", 1+w.random.IntN(2)*maxBody)
	w.pausing = []time.Duration{shortPause, longPause}[w.random.IntN(2)]
	w.read = w.services[w.random.IntN(len(w.services))]
	w.change()
	for i := range centreCount * hostsPerCentre {
		w.addHost(i)
	}
	for _, from := range w.hosts {
		w.link(from)
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	w.awaitAll("readiness", (*host).isReady)
	time.Sleep(discoveryTime)
	w.awaitAll("service", w.isServed)
	ctx, cancel := context.WithCancel(context.Background())
	var requests sync.WaitGroup
	for _, h := range w.hosts {
		requests.Go(func() { w.sendRequests(ctx, h, http.MethodGet, "/read/x") })
		requests.Go(func() { w.sendRequests(ctx, h, http.MethodPost, "/write/x") })
	}
	t.Cleanup(func() {
		cancel()
		requests.Wait()
	})
	time.Sleep(*warmUp)
	return w
}

func (w *world) addHost(i int) {
	ip := randomIP()
	h := &host{
		name: fmt.Sprintf("host-%d", i), centre: fmt.Sprintf("centre-%d", i/hostsPerCentre), service: w.services[i%len(w.services)],
		ip: ip, outer: ip + ":8001", ready: ip + ":8002", announce: ip + ":8003", peering: fmt.Sprintf("%s:%d", ip, peerPort),
		links: map[*host]*way{},
	}
	server, err := fake.NewServer(fake.ServerConfig{
		Service: h.service, Address: ip + ":8005", Instance: "i-" + h.name, Slots: 16, Work: 2 * time.Millisecond, HeartbeatPeriod: 200 * time.Millisecond,
	})
	assert.NilError(w.t, err)
	w.t.Cleanup(server.Close)
	h.server = server
	w.hosts = append(w.hosts, h)
}

// link opens the host's ways to the store and to the other hosts.
func (w *world) link(h *host) {
	var addresses []string
	for _, to := range w.hosts {
		if to == h {
			continue
		}
		link := newWay(w.t)
		go link.forwardTo(to.peering)
		h.links[to] = link
		addresses = append(addresses, to.peering, link.address)
	}
	h.front = &front{store: w.store, way: newWay(w.t), addresses: strings.NewReplacer(addresses...)}
	server := &http.Server{Handler: h.front, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(h.front.way) }()
	w.t.Cleanup(func() {
		_ = h.front.way.Close()
		_ = server.Close()
	})
}

func (w *world) start(h *host) {
	dir := w.t.TempDir()
	settings := filepath.Join(dir, "settings.hujson")
	text := fmt.Sprintf(`{"host": %q, "data-centre": %q, "region": "r", "ip": %q, "service": %q,
"outer-address": %q, "ready-address": %q, "announce-address": %q, "server-address": %q,
"peer-port": %d, "peer-address": %q, "metrics-port": 0, "platform-address": %q, "memory-mb": 200, "heartbeat-s": 0.5, "grace-s": 6,
"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 48}`,
		h.name, h.centre, h.ip, h.service, h.outer, h.ready, h.announce, h.server.Address(), peerPort, h.peering, h.front.way.address)
	assert.NilError(w.t, os.WriteFile(settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(w.t, err)
	h.log = log.Name()
	h.process = exec.Command(*program, "sidecar", "--settings", settings)
	h.process.Stdout, h.process.Stderr = log, log
	assert.NilError(w.t, h.process.Start())
	w.t.Cleanup(func() {
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
		_ = log.Close()
	})
	h.server.Announce(h.announce)
}

// ServeHTTP serves one call of the host.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.away.Load() {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, r)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(f.readdress(answer.Body.Bytes()))
}

// readdress replaces the addresses in the values of an answer's items and events.
func (f *front) readdress(body []byte) []byte {
	var answer map[string]json.RawMessage
	if json.Unmarshal(body, &answer) != nil {
		return body
	}
	for _, list := range []string{"items", "events"} {
		var items []map[string]any
		if json.Unmarshal(answer[list], &items) != nil {
			continue
		}
		for _, item := range items {
			value, _ := json.Marshal(item["value"])
			var text []byte
			if json.Unmarshal(value, &text) == nil && text != nil {
				item["value"] = []byte(f.addresses.Replace(string(text)))
			}
		}
		answer[list], _ = json.Marshal(items)
	}
	body, _ = json.Marshal(answer)
	return body
}

// turnAway makes the store answer 503 to the host from now on and resets its open calls.
func (f *front) turnAway() {
	f.away.Store(true)
	f.way.reset()
}

// change writes a configuration in which another service runs the writes.
func (w *world) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.random.IntN(len(w.services))
	if n := len(w.changes); n > 0 && w.services[next] == w.changes[n-1].service {
		next = (next + 1) % len(w.services)
	}
	service := w.services[next]
	var clusters []string
	for _, s := range w.services {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":100}`, s))
	}
	const rule = `{"name":%q,"kind":%q,"target_latency_s":1,"priority":0,"match":{"prefix":%q},"action":{"service":%q,"timeout_s":1,"max_attempts":2}}`
	w.store.PutAsOperator(platform.ConfigKey, fmt.Appendf(nil,
		`{"version":"%08x","limits":{"max_header_bytes":4096,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"listeners":[{"host":"a.example","rules":[%s,%s]}],"clusters":[%s]}`,
		len(w.changes)+1, fmt.Sprintf(rule, "read", "idempotent", "/read/", w.read), fmt.Sprintf(rule, "write", "non_idempotent", "/write/", service), strings.Join(clusters, ",")))
	w.changes = append(w.changes, change{confirmed: time.Now(), service: service})
}

var attempts atomic.Int64

// awaitAll waits until all hosts fulfil the condition.
func (w *world) awaitAll(what string, done func(*host) bool) {
	end := time.Now().Add(startTimeout)
	for _, h := range w.hosts {
		for !done(h) {
			if time.Now().After(end) {
				w.t.Fatalf("no %s at %s within %v\n%s", what, h.name, startTimeout, w.logs())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (h *host) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/teaseltack/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isServed reports whether the host serves requests of both rules.
func (w *world) isServed(h *host) bool {
	client := &http.Client{Timeout: requestDeadline}
	return w.send(client, h, http.MethodGet, "/read/x").status == http.StatusOK && w.send(client, h, http.MethodPost, "/write/x").status == http.StatusOK
}

func (w *world) sendRequests(ctx context.Context, h *host, method, path string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestDeadline + requestDeadline/2}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		r := w.send(client, h, method, path)
		if method == http.MethodPost {
			w.mu.Lock()
			w.requests = append(w.requests, r)
			w.mu.Unlock()
		}
		time.Sleep(w.pausing)
	}
}

func (w *world) send(client *http.Client, h *host, method, path string) request {
	r := request{host: h, id: fmt.Sprintf("attempt-%d", attempts.Add(1)), sent: time.Now()}
	message, err := http.NewRequest(method, "http://"+h.outer+path, strings.NewReader(w.body))
	if err != nil {
		return r
	}
	message.Host = "a.example"
	message.Header.Set("X-Teaseltack-Attempt-Id", r.id)
	message.Header.Set("X-Teaseltack-Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	response, err := client.Do(message)
	if err == nil {
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		r.status = response.StatusCode
	}
	r.done = time.Now()
	return r
}

// freeze stops the process of the host.
func (w *world) freeze(h *host) {
	w.begin(&h.isolated)
	assert.NilError(w.t, h.process.Process.Signal(syscall.SIGSTOP))
}

// thaw continues the process of the host.
func (w *world) thaw(h *host) {
	assert.NilError(w.t, h.process.Process.Signal(syscall.SIGCONT))
	w.end(&h.isolated)
}
