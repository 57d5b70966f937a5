// Package tour shows the platform path in one process: a stand-in of the users'
// platform, two daemons with a backend server each, and a request that passes
// both.
package tour

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"teaseltack/io/config"
	"teaseltack/io/side"
	"teaseltack/platform"
	"teaseltack/platform/fake"
)

const (
	// readyTime bounds the wait until the path serves.
	readyTime = 15 * time.Second
	// pollPause is the pause between two tries.
	pollPause = 50 * time.Millisecond
)

// document is the operators' configuration of the tour.
const document = `{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"counter.example","rules":[
{"name":"payment","kind":"non_idempotent","target_latency_s":1.5,"priority":0,"match":{"prefix":"/pay/"},"action":{"service":"till","timeout_s":2,"max_attempts":2}}]}],
"clusters":[{"name":"till","health_path":"/health","max_conns":100}]}`

// Config configures a tour.
type Config struct {
	Out io.Writer
	// Log gets the daemons' lines.
	Log hclog.Logger
}

// Tour is one run.
type Tour struct {
	cfg   Config
	store *fake.Store
	http  *httptest.Server
}

// New returns a tour with an empty platform.
func New(cfg Config) *Tour {
	store := fake.NewStore()
	return &Tour{cfg: cfg, store: store, http: httptest.NewServer(store)}
}

// Run starts the two hosts, sends a payment through both, and stops in order.
func (t *Tour) Run(ctx context.Context) error {
	defer t.http.Close()
	defer t.http.CloseClientConnections()
	t.store.PutAsOperator(platform.ConfigKey, []byte(document))
	counter, stopCounter, err := t.start("counter-1", "orders")
	if err != nil {
		return err
	}
	defer stopCounter()
	_, stopTill, err := t.start("till-1", "till")
	if err != nil {
		return err
	}
	defer stopTill()
	t.say("two daemons run: counter-1 beside a server of orders, till-1 beside a server of till")
	answer, err := t.await(ctx, counter.Addresses().Outer)
	if err != nil {
		return err
	}
	t.say("a payment entered at counter-1 and was answered by the server beside till-1: %s", answer)
	t.say("the lines above with its id tell its way: ran (home till-1), answered (entry counter-1)")
	t.say("stopping in order")
	return nil
}

func (t *Tour) say(format string, args ...any) {
	_, _ = fmt.Fprintf(t.cfg.Out, format+"\n", args...)
}

// start runs a host: a backend server and the daemon beside it.
func (t *Tour) start(name, service string) (*side.Sidecar, func(), error) {
	server, err := fake.NewServer(fake.ServerConfig{
		Service: service, Address: "127.0.0.1:0", Instance: "i-" + name, Slots: 8, Work: 20 * time.Millisecond, HeartbeatPeriod: time.Second,
	})
	if err != nil {
		return nil, nil, err
	}
	daemon, err := side.New(&config.Sidecar{
		Host: name, DataCentre: "a", IP: "127.0.0.1", Service: service,
		OuterAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", AnnounceAddress: "127.0.0.1:0",
		ServerAddress: server.Address(), PlatformAddress: strings.TrimPrefix(t.http.URL, "http://"),
		MemoryMB: 200, HeartbeatS: 1, GraceS: 6, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 48,
		MaxWaitMs: 100, MaxBodyBytes: 1 << 20, MaxRemembered: 1000,
	}, t.cfg.Log.Named(name))
	if err != nil {
		server.Close()
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx, context.Background()) }()
	server.Announce(daemon.Addresses().Announce)
	return daemon, func() {
		stop()
		if err := <-done; err != nil {
			t.say("%s: %v", name, err)
		}
		server.Close()
	}, nil
}

// await sends payments until one is answered.
func (t *Tour) await(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for number := 1; ; number++ {
		status, text, err := t.pay(ctx, address, fmt.Sprintf("payment-%d", number))
		if err == nil && status == http.StatusOK {
			return text, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no payment was answered within %v, the last with status %d: %w", readyTime, status, ctx.Err())
		case <-time.After(pollPause):
		}
	}
}

func (t *Tour) pay(ctx context.Context, address, id string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/pay/17", strings.NewReader("12000 TZS"))
	if err != nil {
		return 0, "", fmt.Errorf("building a payment: %w", err)
	}
	request.Host = "counter.example"
	platform.SetCallerHeaders(request.Header, id, 2*time.Second)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("sending a payment: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
