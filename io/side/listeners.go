package side

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"teaseltack"
	"teaseltack/core/usage"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
	"teaseltack/io/config"
	"teaseltack/io/descr"
	"teaseltack/io/http1"
	"teaseltack/io/httpd"
	"teaseltack/io/metric"
	"teaseltack/io/rpc"
	"teaseltack/platform"
)

type listeners struct {
	outer, ready, announce, peers, metrics net.Listener
}

// listenAll opens all listeners of the settings.
func listenAll(c *config.SidecarSettings) (*listeners, error) {
	opened := &listeners{}
	for _, l := range []struct {
		key, address string
		listener     *net.Listener
	}{
		{"outer-address", c.OuterAddress, &opened.outer},
		{"ready-address", c.ReadyAddress, &opened.ready},
		{"announce-address", c.AnnounceAddress, &opened.announce},
		{"peer-port", net.JoinHostPort(c.IP, strconv.FormatInt(c.PeerPort, 10)), &opened.peers},
		{"metrics-port", net.JoinHostPort(c.IP, strconv.FormatInt(c.MetricsPort, 10)), &opened.metrics},
	} {
		listener, err := listen(l.key, l.address)
		if err != nil {
			opened.close()
			return nil, err
		}
		*l.listener = listener
	}
	return opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.outer, l.ready, l.announce, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// createServers creates the servers of the listeners; Run starts them.
func (s *Sidecar) createServers(l *listeners) {
	s.listeners = l
	descriptors := s.descriptors()
	s.outerServer = http1.New(http1.Config{Listener: l.outer, Memory: s.memory, Connections: s.connections(descriptors.Outer()), Handle: s.handle, Limits: s.limits, OnMalformed: s.requestLog.RecordMalformed})
	s.readinessServer = http1.New(http1.Config{Listener: l.ready, Memory: s.memory, Connections: s.connections(descriptors.Operator()), Limits: smallLimits, Handle: func(_ context.Context, r *http1.Request) http1.Response {
		return platform.ServeReadiness(s.isReady(), r)
	}})
	s.announceServer = http1.New(http1.Config{Listener: l.announce, Memory: s.memory, Connections: s.connections(descriptors.Operator()), Limits: smallLimits, Handle: func(_ context.Context, r *http1.Request) http1.Response {
		return platform.ServeAnnouncement(s, r)
	}})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics.Handler())
	bound := rpc.Bound{MaxBytes: maxOperatorMessage}
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(&operatorService{side: s}, bound.Options()))
	s.metricsServer = httpd.New(httpd.Config{Name: "metrics listener", Memory: s.memory, Connections: s.connections(descriptors.Operator())}, l.metrics)
	s.metricsServer.Handle(bound.Wrap(mux))
}

// descriptors returns the descriptors that the process may open.
func (s *Sidecar) descriptors() descr.Limit {
	if s.settings.MaxDescriptors > 0 {
		return descr.Limit(s.settings.MaxDescriptors)
	}
	return descr.OfProcess()
}

// connections returns a limiter of a listener's connections.
func (s *Sidecar) connections(limit int64) *usage.Limiter {
	return usage.New(usage.Connections(s.timers, limit))
}

// maxOperatorMessage bounds the messages of operators in bytes, which have few fields.
const maxOperatorMessage = 64 << 10

// Addresses holds the listen addresses of a daemon.
type Addresses struct {
	Outer, Ready, Announce, Metrics, Peers string
}

// Addresses returns the addresses that the daemon listens on, with the ports that
// the system assigned for port 0.
func (s *Sidecar) Addresses() Addresses {
	return Addresses{
		Outer: s.listeners.outer.Addr().String(), Ready: s.listeners.ready.Addr().String(),
		Announce: s.listeners.announce.Addr().String(), Metrics: s.listeners.metrics.Addr().String(),
		Peers: s.listeners.peers.Addr().String(),
	}
}

func listen(key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening at %s %s: %w", key, address, err)
	}
	return listener, nil
}

// smallLimits returns the limits on readiness probes and announcements.
func smallLimits() http1.Limits {
	return http1.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}
}

func (s *Sidecar) gauges() metric.Gauges {
	return metric.Gauges{
		Load:              func() teaseltack.Load { return s.gate.Summary() },
		Generation:        func() float64 { generation, _ := s.follower.Current(); return float64(generation) },
		HostsKnown:        func() float64 { return float64(len(s.roster.Records())) },
		TicketsRemembered: func() float64 { return float64(s.tickets.Len()) },
		PlatformReachable: func() float64 {
			if s.storeUnreachable.Load() {
				return 0
			}
			return 1
		},
		DataCentresUnreachable: func() float64 { return float64(len(s.unreachableDataCentres())) },
		HomesEjected:           func() float64 { return float64(s.ejectedHomes()) },
		LeastRetryBudget: func() float64 {
			fewest := math.Inf(1)
			for _, left := range s.entry.Budgets() {
				fewest = min(fewest, left)
			}
			return fewest
		},
		RequestBytes:    func() float64 { return float64(s.memory.Held()) },
		StoreEra:        func() float64 { return float64(s.eras.Current()) },
		GenerationKnown: func() float64 { return float64(s.newest.Known()) },
		GenerationAge: func() float64 {
			since := s.configuredAt.Load()
			if since == nil {
				return math.Inf(1)
			}
			return s.timers.Now().Sub(*since).Seconds()
		},
	}
}
