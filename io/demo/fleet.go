package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"teaseltack"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
	"teaseltack/gen/teaseltack/platform/v1/platformv1connect"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/daemon"
	"teaseltack/io/dummy"
	"teaseltack/io/fakekv"
	"teaseltack/io/httpd"
	"teaseltack/io/intact"
)

const (
	anyPortAddress = "127.0.0.1:0"
	startTimeout   = 15 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// host is one backend server host of the demo.
type host struct {
	name       string
	dataCentre string
	service    teaseltack.Service
	slots      int
	work       time.Duration
	nested     []teaseltack.Target
}

// fleet is a stand-in platform with daemons and backend servers.
type fleet struct {
	log      hclog.Logger
	platform *httpd.Server
	daemons  []*daemon.Daemon
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex
	failures []error
	runs     map[string]int
}

// startFleet starts the platform and the hosts and waits until every daemon lists
// all hosts as ready.
func startFleet(ctx context.Context, log hclog.Logger, hosts []host) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{log: log, cancel: cancel, runs: map[string]int{}}
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	var peers []string
	for _, h := range hosts {
		d, err := f.startHost(ctx, h, peers)
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
		peers = append(peers, d.PeerAddress())
	}
	return f, f.await(ctx, func(s *operatorv1.GetStatusResponse) bool { return readyHosts(s) == len(hosts) })
}

func readyHosts(s *operatorv1.GetStatusResponse) int {
	count := 0
	for _, h := range s.Hosts {
		if h.Serving == teaseltack.Ready.String() {
			count++
		}
	}
	return count
}

func (f *fleet) startPlatform() error {
	server, err := httpd.Listen(httpd.Config{Name: "platform", Address: anyPortAddress})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewKeyValueServiceHandler(fakekv.New(fakekv.Config{Timers: clock.Clock{}})))
	server.Handle(mux)
	f.platform = server
	f.startComponent(server.Serve)
	return nil
}

// startComponent runs a component on its own goroutine and records its error.
func (f *fleet) startComponent(serve func() error) {
	f.group.Go(func() {
		if err := serve(); err != nil {
			f.mu.Lock()
			f.failures = append(f.failures, err)
			f.mu.Unlock()
		}
	})
}

func (f *fleet) startHost(ctx context.Context, h host, peers []string) (*daemon.Daemon, error) {
	settings, err := config.Parse(h.name, fmt.Appendf(nil, `{
		"host": %q, "data-centre": %q, "outer-address": %q, "inner-address": %q, "peer-address": %q, "operator-address": %q,
		"platform-address": %q, "shutdown-s": 10}`,
		h.name, h.dataCentre, anyPortAddress, anyPortAddress, anyPortAddress, anyPortAddress, f.platform.Address()))
	if err != nil {
		return nil, err
	}
	settings.Peers = peers
	d, err := daemon.New(settings, f.log.Named(h.name))
	if err != nil {
		return nil, err
	}
	f.startComponent(func() error { return d.Run(ctx, context.Background()) })
	backend, err := dummy.New(dummy.Config{
		Timers: clock.Clock{}, Log: f.log.Named(h.name), Service: h.service, Address: anyPortAddress, InnerAddress: d.InnerAddress(),
		Slots: h.slots, Connections: 8 * h.slots, Work: h.work, Spread: 0.5, Nested: h.nested, AnnouncePeriod: time.Second, OnRun: f.recordRun,
	})
	if err != nil {
		return nil, err
	}
	f.startComponent(func() error { return backend.Run(ctx) })
	return d, nil
}

func (f *fleet) recordRun(r dummy.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Key != "" {
		f.runs[r.Key]++
	}
}

// runsOf returns how often requests with the idempotency key ran.
func (f *fleet) runsOf(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// duplicateRuns returns the number of keys that ran more than once.
func (f *fleet) duplicateRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, n := range f.runs {
		if n > 1 {
			count++
		}
	}
	return count
}

func (f *fleet) operator(i int) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(&http.Client{Transport: intact.New(intact.Config{})}, "http://"+f.daemons[i].OperatorAddress())
}

// await waits until every daemon's status satisfies the condition.
func (f *fleet) await(ctx context.Context, condition func(*operatorv1.GetStatusResponse) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range f.daemons {
		for !f.statusSatisfies(ctx, i, condition) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("daemon %d at %s did not reach the awaited status within %v", i, f.daemons[i].OperatorAddress(), startTimeout)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func (f *fleet) statusSatisfies(ctx context.Context, i int, condition func(*operatorv1.GetStatusResponse) bool) bool {
	response, err := f.operator(i).GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	return err == nil && condition(response.Msg)
}

// entries returns the outer addresses of the daemons.
func (f *fleet) entries() []string {
	entries := make([]string, len(f.daemons))
	for i, d := range f.daemons {
		entries[i] = d.OuterAddress()
	}
	return entries
}

// stop shuts all components down and returns their errors.
func (f *fleet) stop() []error {
	const stopTimeout = 10 * time.Second
	f.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := f.platform.Shutdown(ctx); err != nil {
		f.failures = append(f.failures, err)
	}
	f.group.Wait()
	return f.failures
}
