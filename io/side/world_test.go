package side_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"teaseltack/io/config"
	"teaseltack/io/side"
	"teaseltack/platform"
	"teaseltack/platform/fake"
)

// patience bounds every wait of these tests; none measures time.
const patience = 20 * time.Second

// world is a platform with hosts, each a daemon and its backend server.
type world struct {
	t       *testing.T
	store   *fake.Store
	http    *httptest.Server
	hosts   []*host
	version int
	numbers atomic.Int64
	// log gets the lines of all daemons; nil drops them.
	log io.Writer
}

type host struct {
	name    string
	service string
	side    *side.Sidecar
	server  *fake.Server
	stop    context.CancelFunc
	done    chan error
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: fake.NewStore()}
	w.http = httptest.NewServer(w.store)
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.stop()
	}
	for _, h := range w.hosts {
		if err := <-h.done; err != nil {
			w.t.Logf("%s stopped: %v", h.name, err)
		}
		h.server.Close()
	}
	w.http.CloseClientConnections()
	w.http.Close()
}

// route is one route of the operators' configuration.
type route struct {
	prefix, service, kind string
	timeout               float64
}

func (w *world) configure(routes ...route) {
	w.version++
	services := map[string]bool{}
	var rules, clusters []string
	for i, r := range routes {
		rules = append(rules, fmt.Sprintf(`{"name":"r-%d","kind":%q,"target_latency_s":1,"priority":%d,"match":{"prefix":%q},"action":{"service":%q,"timeout_s":%v,"max_attempts":2}}`,
			i, r.kind, i%3, r.prefix, r.service, r.timeout))
		services[r.service] = true
	}
	for name := range services {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":100}`, name))
	}
	w.store.PutAsOperator(platform.ConfigKey, fmt.Appendf(nil, `{"version":"%08x","limits":{"max_header_bytes":4096,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"listeners":[{"host":"a.example","rules":[%s]}],"clusters":[%s]}`,
		w.version, strings.Join(rules, ","), strings.Join(clusters, ",")))
}

// add starts a host whose server runs the service.
func (w *world) add(service string, cfg fake.ServerConfig) *host {
	w.t.Helper()
	h := &host{name: fmt.Sprintf("host-%d", len(w.hosts)), service: service, done: make(chan error, 1)}
	cfg.Service, cfg.Address, cfg.Instance = service, "127.0.0.1:0", "i-"+h.name
	cfg.Slots, cfg.HeartbeatPeriod = max(cfg.Slots, 4), 200*time.Millisecond
	server, err := fake.NewServer(cfg)
	assert.NilError(w.t, err)
	h.server = server
	w.start(h)
	w.hosts = append(w.hosts, h)
	return h
}

// start runs a daemon beside the host's server.
func (w *world) start(h *host) {
	w.t.Helper()
	daemon, err := side.New(&config.Sidecar{
		Host: h.name, DataCentre: "a", Region: "r", IP: "127.0.0.1", Service: h.service,
		OuterAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", AnnounceAddress: "127.0.0.1:0",
		ServerAddress: h.server.Address(), PlatformAddress: strings.TrimPrefix(w.http.URL, "http://"),
		MemoryMB: 200, HeartbeatS: 5, GraceS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 48,
		MaxWaitMs: 100, MaxBodyBytes: 1 << 20, MaxRemembered: 1000, LogLevel: "info",
	}, w.logger())
	assert.NilError(w.t, err)
	h.side = daemon
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.done <- daemon.Run(ctx, context.Background()) }()
	h.server.Announce(daemon.Addresses().Announce)
}

func (w *world) logger() hclog.Logger {
	if w.log == nil {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: "teaseltack", Output: w.log})
}

func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("%s did not come", what)
		}
	}
}

func (h *host) ready() bool {
	response, err := http.Get("http://" + h.side.Addresses().Ready + "/teaseltack/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// knows reports whether the daemon knows so many hosts.
func (h *host) knows(count int) bool {
	response, err := http.Get("http://" + h.side.Addresses().Metrics + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), fmt.Sprintf("teaseltack_hosts_known %d\n", count))
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// call sends one request to a host's daemon.
func (w *world) call(at *host, method, path string, body string) answer {
	id := fmt.Sprintf("attempt-%d", w.numbers.Add(1))
	request, err := http.NewRequest(method, "http://"+at.side.Addresses().Outer+path, strings.NewReader(body))
	assert.NilError(w.t, err)
	request.Host = "a.example"
	request.Header.Set("X-Teaseltack-Attempt-Id", id)
	request.Header.Set("X-Teaseltack-Deadline-Ms", "5000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{id: id, status: response.StatusCode, body: string(text), header: response.Header, err: err}
}

// serves reports whether a request to the path is answered well.
func (w *world) serves(at *host, path string) bool {
	return w.call(at, http.MethodGet, path, "").status == http.StatusOK
}

// runs sums the runs of an attempt over all servers.
func (w *world) runs(id string) int {
	total := 0
	for _, h := range w.hosts {
		total += h.server.Runs()[id]
	}
	return total
}
