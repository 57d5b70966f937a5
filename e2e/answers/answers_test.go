// Package answers tests, through the listeners of both kinds of daemon, that a caller
// gets the answer to its own request.
package answers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack/io/config"
	"teaseltack/io/daemon"
	"teaseltack/io/side"
	"teaseltack/platform"
	"teaseltack/platform/fake"
)

const (
	anyAddress = "127.0.0.1:0"
	slots      = 16
	// callers is the number of requests in progress at once.
	callers = 4
	// maxLate bounds the delay of a late second copy.
	maxLate     = 12 * time.Millisecond
	waitTimeout = 30 * time.Second
	lifetime    = 100 * time.Millisecond
	// maxBody bounds the bodies of requests and answers in bytes.
	maxBody = 8 << 20
)

// numbers numbers the requests of all tests.
var numbers atomic.Int64

// path is the way through one kind of daemon to a backend server.
type path struct {
	url    string
	host   string
	server *server
	// stop stops the daemon and waits for its end.
	stop func() error
	// answered counts the requests that got a complete answer.
	answered atomic.Int64
	client   *http.Client
}

// bothKinds start a daemon of each kind with a backend server.
var bothKinds = map[string]func(*testing.T) *path{
	"stand-alone":     func(t *testing.T) *path { return standAlone(t, true) },
	"on the platform": onPlatform,
}

func newPath(address, urlPath, host string, s *server, stop func() error) *path {
	return &path{
		url: "http://" + address + urlPath, host: host, server: s, stop: stop,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}},
	}
}

// request returns the request with the number.
func (p *path) request(number string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, p.url, nil)
	if err != nil {
		panic(err)
	}
	request.Host = p.host
	request.Header.Set(testHeader, number)
	request.Header.Set("X-Teaseltack-Attempt-Id", "attempt-"+number)
	setLifetime(request, lifetime)
	// The requests of one caller have the same id in the product's own interface, as the
	// nested calls of one request do.
	request.Header.Set("Teaseltack-Request-Id", "same")
	return request
}

// longRequest returns the request with the number, which has all the time that it needs.
func (p *path) longRequest(number string) *http.Request {
	request := p.request(number)
	setLifetime(request, waitTimeout)
	return request
}

// setLifetime sets how long the caller waits, for both kinds of daemon.
func setLifetime(request *http.Request, length time.Duration) {
	for _, name := range []string{"X-Teaseltack-Deadline-Ms", "Teaseltack-Lifetime-Ms"} {
		request.Header.Set(name, fmt.Sprint(length.Milliseconds()))
	}
}

// send sends the request with the number and returns its status and body.
func (p *path) send(number string) (int, string, error) {
	return p.do(p.request(number))
}

func (p *path) do(request *http.Request) (int, string, error) {
	response, err := p.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func (p *path) awaitService(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		status, text, err := p.send(fmt.Sprint(numbers.Add(1)))
		if status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no service: %d %s %v", status, text, err)
		}
	}
}

func standAlone(t *testing.T, named bool) *path {
	t.Helper()
	return standAloneFor(t, named, 5)
}

// standAloneFor is the path through a daemon with shutdownS seconds for its stop.
func standAloneFor(t *testing.T, named bool, shutdownS int) *path {
	t.Helper()
	d, stop := startDaemon(t, "h", shutdownS)
	s := startServer(t, named)
	s.announceTo(t, d)
	p := newPath(d.OuterAddress(), "/shop/look-up", "", s, stop)
	p.awaitService(t)
	return p
}

// standAloneEntry is the path through a daemon without a backend server, with shutdownS
// seconds for its stop, to the server of another one.
func standAloneEntry(t *testing.T, shutdownS int) *path {
	t.Helper()
	home, _ := startDaemon(t, "home", 5)
	s := startServer(t, true)
	s.announceTo(t, home)
	d, stop := startDaemon(t, "entry", shutdownS, home.PeerAddress())
	p := newPath(d.OuterAddress(), "/shop/look-up", "", s, stop)
	p.awaitService(t)
	return p
}

// startDaemon runs a stand-alone daemon and returns it with the function that stops it.
func startDaemon(t *testing.T, host string, shutdownS int, peers ...string) (*daemon.Daemon, func() error) {
	t.Helper()
	settings, err := config.Parse("settings", fmt.Appendf(nil, `{"host": %q, "data-centre": "a", "outer-address": %q, "inner-address": %q, "peer-address": %q, "operator-address": %q, "shutdown-s": %d, "max-body-bytes": %d, "default-lifetime-ms": 30000}`,
		host, anyAddress, anyAddress, anyAddress, anyAddress, shutdownS, maxBody))
	assert.NilError(t, err)
	settings.Peers = peers
	d, err := daemon.New(settings, hclog.NewNullLogger())
	assert.NilError(t, err)
	return d, run(t, d.Run)
}

// announceTo announces the server to the stand-alone daemon of its host.
func (s *server) announceTo(t *testing.T, d *daemon.Daemon) {
	announce(t, "http://"+d.InnerAddress()+"/teaseltack/v1/announce", map[string]any{
		"service": "shop", "address": s.listener.Addr().String(), "instance": "i", "slots": slots, "connections": 4 * slots,
	})
}

func onPlatform(t *testing.T) *path {
	t.Helper()
	store := fake.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	s := startServer(t, true)
	d, err := side.New(&config.SidecarSettings{
		Host: "h", DataCentre: "a", Region: "r", IP: "127.0.0.1", Service: "shop",
		OuterAddress: anyAddress, ReadyAddress: anyAddress, AnnounceAddress: anyAddress,
		ServerAddress: s.listener.Addr().String(), PlatformAddress: strings.TrimPrefix(storeServer.URL, "http://"),
		MemoryMB: 200, HeartbeatS: 5, GraceS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 48,
		MaxWaitMs: 100, MaxBodyBytes: maxBody, MaxRemembered: 1000, LogLevel: "info",
	}, hclog.NewNullLogger())
	assert.NilError(t, err)
	stop := run(t, d.Run)
	store.PutAsOperator(platform.ConfigKey, fmt.Appendf(nil, `{"version":"00000001","limits":{"max_header_bytes":4096,"max_body_bytes":%d,"header_timeout_s":3,"idle_timeout_s":15},
		"listeners":[{"host":"a.example","rules":[{"name":"r","kind":"idempotent","target_latency_s":1,"priority":0,"match":{"prefix":"/shop/"},"action":{"service":"shop","timeout_s":5,"max_attempts":2}}]}],
		"clusters":[{"name":"shop","health_path":"/health","max_conns":100}]}`, maxBody))
	announce(t, "http://"+d.Addresses().Announce+"/teaseltack/rpc?call=instances.heartbeat&of=i", map[string]any{
		"service": "shop", "address": s.listener.Addr().String(), "zone": "a", "version": "v", "slots": slots, "state": "ready", "cold_left_s": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	p := newPath(d.Addresses().Outer, "/shop/look-up", "a.example", s, stop)
	p.awaitService(t)
	return p
}

// run runs a daemon until the test ends or the returned function is called.
func run(t *testing.T, runDaemon func(ctx, abort context.Context) error) (stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- runDaemon(ctx, context.Background()) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { assert.Check(t, stop()) })
	return stop
}

// announce announces a server and repeats the announcement until the test ends.
func announce(t *testing.T, url string, announcement map[string]any) {
	t.Helper()
	body, err := json.Marshal(announcement)
	assert.NilError(t, err)
	post := func() {
		if response, err := http.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
	}
	post()
	ticker := time.NewTicker(time.Second)
	t.Cleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			post()
		}
	}()
}

// Guards against another caller's answer: a connection on which the server sent a second
// copy of an answer, or an answer of another request, must never give that answer to a
// later request, and no call may be answered twice over.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	all := []fault{late, late, late, doubled, swapped, preceded, missing}
	for name, test := range map[string]struct {
		path   func(*testing.T) *path
		faults []fault
	}{
		"stand-alone": {func(t *testing.T) *path { return standAlone(t, true) }, all},
		// A swapped answer that names no request cannot be told from the request's own.
		"stand-alone, unnamed answers": {func(t *testing.T) *path { return standAlone(t, false) }, []fault{late, late, doubled, missing}},
		"on the platform":              {onPlatform, all},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := test.path(t)
			rapid.Check(t, func(t *rapid.T) {
				plan := rapid.SliceOfN(rapid.SampledFrom(append(test.faults, noFault, noFault, noFault)), callers, 3*callers).Draw(t, "faults")
				requests := make(chan string, len(plan))
				for i, f := range plan {
					number := fmt.Sprint(numbers.Add(1))
					delay := time.Duration(rapid.IntRange(0, int(maxLate)).Draw(t, fmt.Sprintf("delay %d", i)))
					p.server.plan(number, f, delay)
					requests <- number
				}
				close(requests)
				checkAnswers(t, p, requests)
			})
			assert.Assert(t, p.answered.Load() > 0, "no request was answered")
		})
	}
}

func checkAnswers(t *rapid.T, p *path, requests <-chan string) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	for range callers {
		group.Go(func() {
			for number := range requests {
				status, text, err := p.send(number)
				if status == http.StatusOK {
					p.answered.Add(1)
				}
				if err != nil || status == http.StatusOK && text != "answer to "+number {
					mu.Lock()
					wrong = append(wrong, fmt.Sprintf("request %s: %d %q %v", number, status, text, err))
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	assert.Assert(t, len(wrong) == 0, "%s", strings.Join(wrong, "\n"))
}
