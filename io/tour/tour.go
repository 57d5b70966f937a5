// Package tour demonstrates the sidecar on the users' platform in one process: a
// stand-in platform, two daemons with a backend server each, and a request that
// passes through both daemons.
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
	"teaseltack/io/intact"
	"teaseltack/io/side"
	"teaseltack/platform"
	"teaseltack/platform/fake"
)

const (
	// readyTimeout bounds the wait for the first answered payment.
	readyTimeout = 15 * time.Second
	// pollInterval is the pause between two attempts.
	pollInterval = 50 * time.Millisecond
)

// document is the operators' configuration for the tour.
const document = `{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"host":"counter.example","rules":[
{"name":"payment","kind":"non_idempotent","target_latency_s":1.5,"priority":0,"match":{"prefix":"/pay/"},"action":{"service":"till","timeout_s":2,"max_attempts":2}}]}],
"clusters":[{"name":"till","health_path":"/health","max_conns":100}]}`

// Config configures a tour.
type Config struct {
	Out io.Writer
	// Log is the parent of the daemons' loggers.
	Log hclog.Logger
}

// Tour is one run of the demonstration.
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

// Run starts two hosts, sends a payment through both and stops them in reverse
// order.
func (t *Tour) Run(ctx context.Context) error {
	defer t.http.Close()
	defer t.http.CloseClientConnections()
	t.store.PutAsOperator(platform.ConfigKey, []byte(document))
	counter, stopCounter, err := t.startHost("counter-1", "orders")
	if err != nil {
		return err
	}
	defer stopCounter()
	_, stopTill, err := t.startHost("till-1", "till")
	if err != nil {
		return err
	}
	defer stopTill()
	t.printf("two daemons run: counter-1 beside a server of orders, till-1 beside a server of till")
	answer, err := t.awaitPayment(ctx, counter.Addresses().Outer)
	if err != nil {
		return err
	}
	t.printf("a payment entered at counter-1 and was answered by the server beside till-1: %s", answer)
	t.printf("the lines above with its id show its path: ran (home till-1), answered (entry counter-1)")
	t.printf("stopping till-1, then counter-1")
	return nil
}

func (t *Tour) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.cfg.Out, format+"\n", args...)
}

// startHost starts a backend server and the daemon on its host. The returned
// function stops both.
func (t *Tour) startHost(name, service string) (*side.Sidecar, func(), error) {
	server, err := fake.NewServer(fake.ServerConfig{
		Service: service, Address: "127.0.0.1:0", Instance: "i-" + name, Slots: 8, Work: 20 * time.Millisecond, HeartbeatPeriod: time.Second,
	})
	if err != nil {
		return nil, nil, err
	}
	daemon, err := side.New(&config.SidecarSettings{
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
			t.printf("%s: %v", name, err)
		}
		server.Close()
	}, nil
}

// awaitPayment sends payments until one is answered 200 and returns the answer.
func (t *Tour) awaitPayment(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for number := 1; ; number++ {
		status, text, err := t.pay(ctx, address, fmt.Sprintf("payment-%d", number))
		if err == nil && status == http.StatusOK {
			return text, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no payment was answered 200 within %v, the last had status %d: %w", readyTimeout, status, ctx.Err())
		case <-time.After(pollInterval):
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
	client := http.Client{Transport: intact.New(intact.Config{})}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("sending a payment: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
