package side_test

import (
	"cmp"
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

// waitTimeout bounds every wait of these tests. It is generous, since none of them
// measures time.
const waitTimeout = 20 * time.Second

// testbed is a fake platform with hosts, each with a daemon and its backend server.
type testbed struct {
	t       *testing.T
	store   *fake.Store
	hosts   []*host
	version int
	// maxConnections is max_conns of the configuration; 0 stands for 100.
	maxConnections int
	numbers        atomic.Int64
	// log receives the log lines of all daemons; nil discards them.
	log io.Writer
}

type host struct {
	name       string
	dataCentre string
	service    string
	side       *side.Sidecar
	// settings are those of the daemon's start.
	settings *config.SidecarSettings
	server   *fake.Server
	// front is this host's way to the store.
	front *storeFront
	stop  context.CancelFunc
	// abort makes a stop cut what is in progress.
	abort context.CancelFunc
	done  chan error
}

func newTestbed(t *testing.T) *testbed {
	tb := &testbed{t: t, store: fake.NewStore()}
	t.Cleanup(tb.close)
	return tb
}

func (tb *testbed) close() {
	for _, h := range tb.hosts {
		h.stop()
	}
	for _, h := range tb.hosts {
		if err := <-h.done; err != nil {
			tb.t.Logf("%s stopped: %v", h.name, err)
		}
		h.server.Close()
	}
}

// rule is a rule of the operators' configuration.
type rule struct {
	prefix, service, kind string
	timeout               float64
}

// configure makes the rules the operators' configuration.
func (tb *testbed) configure(rules ...rule) {
	tb.store.PutAsOperator(platform.ConfigKey, tb.nextDocument(rules...))
}

// nextDocument returns the rules as the document of the next version.
func (tb *testbed) nextDocument(rules ...rule) []byte {
	tb.version++
	services := map[string]bool{}
	var encoded, clusters []string
	for i, r := range rules {
		encoded = append(encoded, fmt.Sprintf(`{"name":"r-%d","kind":%q,"target_latency_s":1,"priority":%d,"match":{"prefix":%q},"action":{"service":%q,"timeout_s":%v,"max_attempts":2}}`,
			i, r.kind, i%3, r.prefix, r.service, r.timeout))
		services[r.service] = true
	}
	for name := range services {
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":%d}`, name, cmp.Or(tb.maxConnections, 100)))
	}
	return fmt.Appendf(nil, `{"version":"%08x","limits":{"max_header_bytes":4096,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"listeners":[{"host":"a.example","rules":[%s]}],"clusters":[%s]}`,
		tb.version, strings.Join(encoded, ","), strings.Join(clusters, ","))
}

// storeFront passes the calls of one host on to the store, unless the store turns the host
// away.
type storeFront struct {
	store *fake.Store
	http  *httptest.Server
	away  atomic.Bool
}

func newStoreFront(t *testing.T, store *fake.Store) *storeFront {
	f := &storeFront{store: store}
	f.http = httptest.NewServer(f)
	t.Cleanup(func() {
		f.http.CloseClientConnections()
		f.http.Close()
	})
	return f
}

// ServeHTTP serves one call of the host.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.away.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.store.ServeHTTP(w, r)
}

// turnAway makes the store answer 503 to the host from now on and cuts its open calls.
func (f *storeFront) turnAway() {
	f.away.Store(true)
	f.http.CloseClientConnections()
}

// add starts a host with a backend server of the service.
func (tb *testbed) add(service string, cfg fake.ServerConfig) *host {
	tb.t.Helper()
	return tb.addIn("a", service, cfg)
}

func (tb *testbed) addIn(dataCentre, service string, cfg fake.ServerConfig) *host {
	tb.t.Helper()
	h := &host{name: fmt.Sprintf("host-%d", len(tb.hosts)), dataCentre: dataCentre, service: service, front: newStoreFront(tb.t, tb.store), done: make(chan error, 1)}
	cfg.Service, cfg.Address, cfg.Instance = service, "127.0.0.1:0", "i-"+h.name
	cfg.Slots, cfg.HeartbeatPeriod = max(cfg.Slots, 4), 200*time.Millisecond
	server, err := fake.NewServer(cfg)
	assert.NilError(tb.t, err)
	h.server = server
	tb.start(h)
	tb.hosts = append(tb.hosts, h)
	return h
}

// start runs a daemon on the host and announces the server to it.
func (tb *testbed) start(h *host) {
	tb.t.Helper()
	h.settings = &config.SidecarSettings{
		Host: h.name, DataCentre: h.dataCentre, Region: "r", IP: "127.0.0.1", Service: h.service,
		OuterAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", AnnounceAddress: "127.0.0.1:0",
		ServerAddress: h.server.Address(), PlatformAddress: strings.TrimPrefix(h.front.http.URL, "http://"),
		MemoryMB: 200, HeartbeatS: 5, GraceS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 48,
		MaxWaitMs: 100, MaxBodyBytes: 1 << 20, MaxRemembered: 1000, LogLevel: "info",
	}
	daemon, err := side.New(h.settings, tb.logger())
	assert.NilError(tb.t, err)
	h.side = daemon
	ctx, stop := context.WithCancel(context.Background())
	abort, cut := context.WithCancel(context.Background())
	h.stop, h.abort = stop, cut
	go func() { h.done <- daemon.Run(ctx, abort) }()
	h.server.Announce(daemon.Addresses().Announce)
}

func (tb *testbed) logger() hclog.Logger {
	if tb.log == nil {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: "teaseltack", Output: tb.log})
}

func (tb *testbed) waitFor(what string, done func() bool) {
	tb.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			tb.t.Fatalf("timed out waiting for %s", what)
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

// knowsHosts reports whether the daemon knows exactly count hosts.
func (h *host) knowsHosts(count int) bool {
	response, err := http.Get("http://" + h.side.Addresses().Metrics + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(text), fmt.Sprintf("teaseltack_hosts_known %d\n", count))
}

// answer is the response to a call, or its error.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// call sends one request with a new attempt id to a host's daemon.
func (tb *testbed) call(at *host, method, path string, body string) answer {
	id := fmt.Sprintf("attempt-%d", tb.numbers.Add(1))
	request, err := http.NewRequest(method, "http://"+at.side.Addresses().Outer+path, strings.NewReader(body))
	assert.NilError(tb.t, err)
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

// serves reports whether a GET request to the path is answered with 200.
func (tb *testbed) serves(at *host, path string) bool {
	return tb.call(at, http.MethodGet, path, "").status == http.StatusOK
}

// runs returns the number of runs of an attempt, summed over all servers.
func (tb *testbed) runs(id string) int {
	total := 0
	for _, h := range tb.hosts {
		total += h.server.Runs()[id]
	}
	return total
}
