package daemon

import (
	"net/http"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
	"teaseltack/gen/teaseltack/peer/v1/peerv1connect"
	"teaseltack/io/auth"
	"teaseltack/io/config"
	"teaseltack/io/descr"
	"teaseltack/io/edge"
	"teaseltack/io/httpd"
	"teaseltack/io/metric"
	"teaseltack/io/oper"
	"teaseltack/io/peer"
	"teaseltack/io/random"
	"teaseltack/io/rpc"
)

// openListeners listens on the four addresses. The handlers are set later, in
// handle, since the components behind them need the listeners' addresses.
func (d *Daemon) openListeners() error {
	s := d.settings
	descriptors := descr.OfProcess()
	var err error
	open := func(name, address string, maxConnections int64) *httpd.Server {
		if err != nil {
			return nil
		}
		var server *httpd.Server
		server, err = httpd.Listen(httpd.Config{
			Name: name, Address: address, Connections: usage.New(usage.Connections(d.timers, maxConnections)), Memory: d.memory,
		})
		return server
	}
	d.listeners.outer = open("outer listener", s.OuterAddress, min(s.MaxCallers, descriptors.Outer()))
	d.listeners.inner = open("inner listener", s.InnerAddress, descriptors.Inner())
	d.listeners.peer = open("peer listener", s.PeerAddress, descriptors.Peer())
	d.listeners.operator = open("operator listener", s.OperatorAddress, descriptors.Operator())
	return err
}

func (d *Daemon) setHandlers() {
	s := d.settings
	source := random.New()
	d.listeners.outer.Handle(edge.New(edge.Config{
		Timers: d.timers, Rand: source, Entry: d.entry, Log: d.log.Named("outer"), MaxBodyBytes: s.MaxBodyBytes, Ready: d.started.Load,
	}))
	d.listeners.inner.Handle(edge.New(edge.Config{
		Timers: d.timers, Rand: source, Entry: d.entry, Log: d.log.Named("inner"), MaxBodyBytes: s.MaxBodyBytes, Announce: d.announce,
	}))
	bound := rpc.Bound{MaxBytes: int(s.MaxBodyBytes) + config.MessageOverhead}
	peers := http.NewServeMux()
	peers.Handle(peerv1connect.NewPeerServiceHandler(
		peer.New(peer.Config{Timers: d.timers, Host: teaseltack.HostID(s.Host), Home: d.home, Gossiper: d.gossiper, Members: d.members, Holder: d.holder}),
		bound.Options(),
	))
	d.listeners.peer.Handle(auth.Key(s.PeerKey).Wrap(bound.Wrap(peers)))
	d.listeners.operator.Handle(d.operatorHandler())
}

func (d *Daemon) operatorHandler() http.Handler {
	const maxChangeBytes = 1 << 20
	bound := rpc.Bound{MaxBytes: maxChangeBytes}
	operators := http.NewServeMux()
	operators.Handle(operatorv1connect.NewOperatorServiceHandler(
		oper.New(oper.Config{
			Log: d.log.Named("operator"), Editor: d.editor, Watcher: d.watcher,
			Holder: d.holder, Members: d.members, Gossiper: d.gossiper, Picker: d.picker,
		}),
		bound.Options(),
	))
	mux := http.NewServeMux()
	mux.Handle("/", auth.Key(d.settings.OperatorKey).Wrap(bound.Wrap(operators)))
	mux.Handle("/metrics", d.metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", d.handleReady)
	return mux
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Daemon) gauges() metric.Gauges {
	return metric.Gauges{
		Load: func() teaseltack.Load { return d.gate.Summary() },
		Generation: func() float64 {
			generation, _ := d.holder.Generation()
			return float64(generation)
		},
		HostsBehind:       func() float64 { return float64(d.countRecords(d.behind)) },
		HostsKnown:        func() float64 { return float64(d.countRecords(func(teaseltack.Record) bool { return true })) },
		TicketsRemembered: func() float64 { return float64(d.tickets.Len()) },
		PlatformReachable: d.platformGauge,
		HomesEjected: func() float64 {
			return float64(d.countRecords(func(r teaseltack.Record) bool { return d.picker.Ejected(r.Host) }))
		},
		DataCentresUnreachable: func() float64 { return float64(len(d.gossiper.Unreachable())) },
		RequestBytes:           func() float64 { return float64(d.memory.Held()) },
	}
}

func (d *Daemon) behind(r teaseltack.Record) bool {
	generation, _ := d.holder.Generation()
	return r.Generation < generation
}

func (d *Daemon) countRecords(match func(teaseltack.Record) bool) int {
	count := 0
	for _, r := range d.members.Records() {
		if r.State < teaseltack.Dead && match(r) {
			count++
		}
	}
	return count
}

func (d *Daemon) platformGauge() float64 {
	if d.watcher != nil && d.watcher.Reachable() {
		return 1
	}
	return 0
}
