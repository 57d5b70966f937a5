// Package dummy is a simulated backend server for demos, tests and measurements,
// with slots, connections, service times, a cold start, failures, draining and
// nested calls. Its health and load endpoints are misleading: they always report
// a healthy server and half of its calls in progress.
package dummy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"teaseltack"
	"teaseltack/io/edge"
	"teaseltack/io/header"
	"teaseltack/io/httpd"
	"teaseltack/io/intact"
	"teaseltack/io/random"
)

const (
	// coldFactor multiplies the service times during the cold start.
	coldFactor = 5
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	maxBodyBytes    = 64 << 20
)

// Config configures a backend server.
type Config struct {
	Timers  teaseltack.Timers
	Log     hclog.Logger
	Service teaseltack.Service
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
	// InnerAddress is the address of the inner listener of the daemon on this host.
	InnerAddress string
	Slots        int
	Connections  int
	// Work is the mean service time. Service times are uniform between Work*(1-Spread)
	// and Work*(1+Spread); Spread is from 0 to 1.
	Work   time.Duration
	Spread float64
	// Cold is the duration of the cold start.
	Cold time.Duration
	// FailShare is the share of calls, from 0 to 1, that are answered 502 without any
	// work.
	FailShare float64
	// Nested are the targets called one after the other by each call.
	Nested []teaseltack.Target
	// AnnouncePeriod is the period of the announcements.
	AnnouncePeriod time.Duration
	// OnRun is called after each run, before the answer is sent, on the goroutine of
	// the request. It may be nil.
	OnRun func(Run)
}

// Run describes one run of a call. Complete is set if the run succeeded.
type Run struct {
	ID       teaseltack.RequestID
	Key      string
	Method   teaseltack.Method
	Complete bool
}

// Backend is a simulated backend server.
type Backend struct {
	cfg      Config
	source   *random.Source
	server   *httpd.Server
	instance string
	started  time.Time
	slots    chan struct{}
	client   *http.Client
	leaving  atomic.Bool
	slowdown atomic.Int64
	failing  atomic.Bool
	mu       sync.Mutex
	inFlight int
	stop     func()
}

// New returns a backend server that listens on its address but does not serve
// before Run.
func New(cfg Config) (*Backend, error) {
	source := random.New()
	b := &Backend{
		cfg:      cfg,
		source:   source,
		instance: strconv.FormatUint(source.Uint64(), 16),
		started:  cfg.Timers.Now(),
		slots:    make(chan struct{}, cfg.Slots),
		client:   &http.Client{Transport: intact.New(intact.Config{Base: &http.Transport{MaxIdleConnsPerHost: cfg.Connections, DisableCompression: true}})},
	}
	b.slowdown.Store(1)
	server, err := httpd.Listen(httpd.Config{Name: "backend server", Address: cfg.Address})
	if err != nil {
		return nil, err
	}
	b.server = server
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.health)
	mux.HandleFunc("/load", b.load)
	mux.HandleFunc("/", b.serve)
	server.Handle(mux)
	return b, nil
}

// Address returns the address that the server listens on.
func (b *Backend) Address() string {
	return b.server.Address()
}

// SetSlowdown multiplies the service times.
func (b *Backend) SetSlowdown(factor int) {
	b.slowdown.Store(int64(factor))
}

// SetFailing makes every call fail without any work.
func (b *Backend) SetFailing(failing bool) {
	b.failing.Store(failing)
}

// Run announces the server and serves calls until the context ends, then drains
// the server.
func (b *Backend) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- b.server.Serve() }()
	b.announce()
	b.stop = b.cfg.Timers.Every(b.cfg.AnnouncePeriod, b.announce)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return b.drain()
}

// drain announces that the server is leaving, waits propagationTime for the
// daemons to pass this on, and shuts down after the calls in progress.
func (b *Backend) drain() error {
	const (
		propagationTime = 500 * time.Millisecond
		drainTimeout    = 30 * time.Second
	)
	b.Leave()
	time.Sleep(propagationTime)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	defer b.stop()
	return b.server.Shutdown(ctx)
}

// Leave announces that the server accepts no new calls.
func (b *Backend) Leave() {
	b.leaving.Store(true)
	b.announce()
}

func (b *Backend) announce() {
	if b.cfg.InnerAddress == "" {
		return
	}
	body, err := json.Marshal(edge.Announcement{
		Service: string(b.cfg.Service), Address: b.Address(), Instance: b.instance,
		Slots: b.cfg.Slots, Connections: b.cfg.Connections, Leaving: b.leaving.Load(),
	})
	if err != nil {
		b.cfg.Log.Error("encoding the announcement failed", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if err := b.postAnnouncement(ctx, body); err != nil {
		b.cfg.Log.Warn("announcing", "error", err)
	}
}

func (b *Backend) postAnnouncement(ctx context.Context, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.cfg.InnerAddress+"/teaseltack/v1/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building the announcement: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return fmt.Errorf("reaching the daemon: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	text, _ := io.ReadAll(response.Body)
	return fmt.Errorf("the daemon answered %d: %s", response.StatusCode, text)
}

// health always reports a healthy server.
func (b *Backend) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("healthy\n"))
}

// load reports half of the calls in progress.
func (b *Backend) load(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%d\n", b.inFlight/2)
}

func (b *Backend) addInFlight(change int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += change
	return b.inFlight
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	header.CallID.Set(w.Header(), header.CallID.Get(r.Header))
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the request body was cut off", http.StatusBadRequest)
		return
	}
	defer b.addInFlight(-1)
	if b.addInFlight(1) > b.cfg.Connections {
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-ctx.Done():
		http.Error(w, "no free slot before the deadline", http.StatusServiceUnavailable)
		return
	}
	b.work(ctx, w, r, len(body))
}

// deadline derives a context with the lifetime that the daemon sent, if any.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	lifetime, err := strconv.ParseInt(header.LifetimeMs.Get(r.Header), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(lifetime)*time.Millisecond)
}

func (b *Backend) work(ctx context.Context, w http.ResponseWriter, r *http.Request, bodyBytes int) {
	run := Run{
		ID:     teaseltack.RequestID(header.RequestID.Get(r.Header)),
		Key:    header.Key.Get(r.Header),
		Method: teaseltack.Method(r.URL.Path[1:]),
	}
	err := b.execute(ctx, r)
	run.Complete = err == nil
	if b.cfg.OnRun != nil {
		b.cfg.OnRun(run)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	text := fmt.Sprintf("%s %s done for %s, %d bytes read\n", b.cfg.Service, run.Method, run.ID, bodyBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func (b *Backend) execute(ctx context.Context, r *http.Request) error {
	if b.failing.Load() || b.uniform() < b.cfg.FailShare {
		return errors.New("simulated failure")
	}
	if err := b.sleep(ctx, b.serviceTime()); err != nil {
		return err
	}
	for _, target := range b.cfg.Nested {
		if err := b.callNested(ctx, target, header.Context.Get(r.Header)); err != nil {
			return err
		}
	}
	return nil
}

func (b *Backend) sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("context ended: %w", ctx.Err())
	}
}

func (b *Backend) uniform() float64 {
	const mantissa = 53
	return float64(b.source.Uint64()>>(64-mantissa)) / (1 << mantissa)
}

func (b *Backend) serviceTime() time.Duration {
	duration := float64(b.cfg.Work) * (1 + b.cfg.Spread*(2*b.uniform()-1))
	duration *= float64(b.slowdown.Load())
	if b.cfg.Timers.Now().Sub(b.started) < b.cfg.Cold {
		duration *= coldFactor
	}
	return time.Duration(duration)
}

// callNested calls the target through the daemon on the same host, with the
// context token that the daemon sent with the call.
func (b *Backend) callNested(ctx context.Context, target teaseltack.Target, contextToken string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.cfg.InnerAddress+"/"+target.String(), http.NoBody)
	if err != nil {
		return fmt.Errorf("building the nested call: %w", err)
	}
	header.Context.Set(request.Header, contextToken)
	response, err := b.client.Do(request)
	if err != nil {
		return fmt.Errorf("calling %s: %w", target, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("reading the answer of %s: %w", target, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d: %s", target, response.StatusCode, text)
	}
	return nil
}
