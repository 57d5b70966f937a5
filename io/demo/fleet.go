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
)

const (
	freeAddress = "127.0.0.1:0"
	startTime   = 15 * time.Second
	pollStep    = 20 * time.Millisecond
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
	faults   []error
	runs     map[string]int
}

// startFleet runs the hosts and waits until every daemon knows all of them.
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
	server, err := httpd.Listen(httpd.Config{Name: "platform", Address: freeAddress})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewKeyValueServiceHandler(fakekv.New(fakekv.Config{Timers: clock.Clock{}})))
	server.Handle(mux)
	f.platform = server
	f.run(server.Serve)
	return nil
}

// run keeps a part going and notes how it failed.
func (f *fleet) run(serve func() error) {
	f.group.Go(func() {
		if err := serve(); err != nil {
			f.mu.Lock()
			f.faults = append(f.faults, err)
			f.mu.Unlock()
		}
	})
}

func (f *fleet) startHost(ctx context.Context, h host, peers []string) (*daemon.Daemon, error) {
	settings, err := config.Parse(h.name, fmt.Appendf(nil, `{
		"host": %q, "data-centre": %q, "outer-address": %q, "inner-address": %q, "peer-address": %q, "operator-address": %q,
		"platform-address": %q, "shutdown-s": 10}`,
		h.name, h.dataCentre, freeAddress, freeAddress, freeAddress, freeAddress, f.platform.Address()))
	if err != nil {
		return nil, err
	}
	settings.Peers = peers
	d, err := daemon.New(settings, f.log.Named(h.name))
	if err != nil {
		return nil, err
	}
	f.run(func() error { return d.Run(ctx, context.Background()) })
	backend, err := dummy.New(dummy.Config{
		Timers: clock.Clock{}, Log: f.log.Named(h.name), Service: h.service, Address: freeAddress, InnerAddress: d.InnerAddress(),
		Slots: h.slots, Connections: 8 * h.slots, Work: h.work, Spread: 0.5, Nested: h.nested, AnnouncePeriod: time.Second, OnRun: f.ran,
	})
	if err != nil {
		return nil, err
	}
	f.run(func() error { return backend.Run(ctx) })
	return d, nil
}

func (f *fleet) ran(r dummy.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Key != "" {
		f.runs[r.Key]++
	}
}

// runsOf returns how often requests with the key ran.
func (f *fleet) runsOf(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// repeated counts the keys that ran more than once.
func (f *fleet) repeated() int {
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
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.daemons[i].OperatorAddress())
}

// await waits until the condition holds at every daemon.
func (f *fleet) await(ctx context.Context, holds func(*operatorv1.GetStatusResponse) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for i := range f.daemons {
		for !f.holdsAt(ctx, i, holds) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("daemon %d did not get there within %v", i, startTime)
			case <-time.After(pollStep):
			}
		}
	}
	return nil
}

func (f *fleet) holdsAt(ctx context.Context, i int, holds func(*operatorv1.GetStatusResponse) bool) bool {
	response, err := f.operator(i).GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	return err == nil && holds(response.Msg)
}

// entries returns the outer addresses.
func (f *fleet) entries() []string {
	entries := make([]string, len(f.daemons))
	for i, d := range f.daemons {
		entries[i] = d.OuterAddress()
	}
	return entries
}

// stop shuts everything down and returns what failed.
func (f *fleet) stop() []error {
	const endTime = 10 * time.Second
	f.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	if err := f.platform.Shutdown(ctx); err != nil {
		f.faults = append(f.faults, err)
	}
	f.group.Wait()
	return f.faults
}
