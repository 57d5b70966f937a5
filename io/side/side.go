// Package side runs the daemon as a sidecar on the users' platform: it connects the
// decision logic (core) with the platform's protocols.
package side

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/budget"
	"teaseltack/core/entry"
	"teaseltack/core/follow"
	"teaseltack/core/health"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/nested"
	"teaseltack/core/origin"
	"teaseltack/core/picker"
	"teaseltack/core/roster"
	"teaseltack/core/rules"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
	"teaseltack/core/tomb"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/http1"
	"teaseltack/io/link"
	"teaseltack/io/metric"
	"teaseltack/io/pool"
	"teaseltack/io/random"
	"teaseltack/io/reqlog"
	"teaseltack/platform"
)

const (
	// hostPrefix begins the keys of the daemons' records in the store.
	hostPrefix = "teaseltack/hosts/"
	// leftPrefix is the key prefix of the tombstones of each host.
	leftPrefix = "teaseltack/left/"
	// pollsPerSecond is how often all daemons together read the configuration
	// beside their watches: a change that every watch missed is found within the
	// platform's two seconds in 999 of 1,000 cases.
	pollsPerSecond = 4
	// startTime is the time after the start in which the other daemons become
	// known, and startPoll the least time between such reads in it: that of a fleet
	// of the smallest site's 13 daemons.
	startTime = 6 * time.Second
	startPoll = 13 * time.Second / pollsPerSecond
	// missedHeartbeats is the number of heartbeats that may be missing.
	missedHeartbeats = 4
	// nestedWait bounds the time that a call of work that has begun waits at its
	// home; its own deadline is shorter in most cases.
	nestedWait = 2 * time.Second
	// stoppingRetryAfter is when a caller of a stopping daemon may come back; the
	// platform sends it to another one by then.
	stoppingRetryAfter = 500 * time.Millisecond
	// leastShare is the part of the limit that each route of callers has before
	// the calls of servers, whose own root is not known.
	leastShare = 0.125
	// attemptMemory is how long a request without a ticket is remembered after
	// its deadline.
	attemptMemory = 10 * time.Second
	// retryPart is the part of the allowed retries that the entries use for calls
	// that did not run; each level of a chain of four may add its own repeats.
	retryPart = 0.6
	// repeatPrice is the price of a repeat that may have run, in retries.
	repeatPrice = 2.5
	// slackPart is the part of the allowed slack that all entries save up together
	// per route; two routes may lead to one service.
	slackPart = 0.5
)

// defaultLimits bound callers before a configuration is known.
var defaultLimits = rules.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Sidecar is a daemon on the platform.
type Sidecar struct {
	// settings are those of the start, current those in force.
	settings *config.Sidecar
	current  atomic.Pointer[config.Sidecar]
	log      hclog.Logger
	timers   teaseltack.Timers
	started  time.Time

	gate        *admit.Gate
	origins     *origin.Table
	nestedStats *nested.Stats
	picker      *picker.Picker
	levels      *levels.Table
	home        *home.Home
	entry       *entry.Entry
	tickets     *ticket.Table
	tracker     *health.Tracker
	tombstones  *tomb.Store
	roster      *roster.Roster
	follower    *follow.Follower
	links       *link.Links
	pool        *pool.Pool
	metrics     *metric.Metrics
	outer       *http1.Server
	ready       *http1.Server
	announce    *http1.Server
	scrape      *http.Server
	listeners   *listeners

	translator platform.Translator
	// stopping is set on the request to stop, closing once new requests are
	// refused.
	stopping  atomic.Bool
	closing   atomic.Bool
	storeDown atomic.Bool
	// configuredAt is when the configuration came into force; nil before the first.
	configuredAt atomic.Pointer[time.Time]
	// recalled is set once it is known whether the server left before the start.
	recalled atomic.Bool
	// serving serialises what the home and the other hosts are told of the server.
	serving sync.Mutex
	stops   []func()
}

// New returns a daemon with open listeners; Run serves them.
func New(settings *config.Sidecar, log hclog.Logger) (*Sidecar, error) {
	s := &Sidecar{settings: settings, log: log, timers: clock.Clock{}}
	s.current.Store(settings)
	listeners, err := listenAll(settings)
	if err != nil {
		return nil, err
	}
	s.build(cmp.Or(settings.PeerAddress, listeners.peers.Addr().String()))
	s.open(listeners)
	return s, nil
}

func (s *Sidecar) build(peerAddress string) {
	source := random.New()
	c := s.settings
	host := teaseltack.HostID(c.Host)
	s.started = s.timers.Now()
	incarnation := teaseltack.Incarnation(source.Uint64() >> 1)
	store := platform.NewStore(c.PlatformAddress)
	s.translator = platform.Translator{Rand: source.Uint64}
	s.metrics = metric.New(s.gauges())
	s.tracker = health.New(health.Config{Timeout: missedHeartbeats * seconds(c.HeartbeatS)})
	s.tombstones = tomb.New(tomb.Config{Store: store, Key: leftPrefix + c.Host})
	s.picker = picker.New(picker.Config{Timers: s.timers, Rand: source, DataCentre: teaseltack.DataCentre(c.DataCentre)})
	s.levels = levels.New(levels.Config{Timers: s.timers})
	s.gate = admit.New(admit.Config{Timers: s.timers, Slots: 1, Connections: 1, MaxWait: time.Duration(c.MaxWaitMs) * time.Millisecond, MaxNestedWait: nestedWait, MinShare: leastShare})
	s.origins = origin.New()
	s.nestedStats = nested.New(nested.Config{Timers: s.timers})
	s.pool = pool.New(pool.Config{Timers: s.timers, MaxAnswerBytes: c.MaxBodyBytes})
	s.tickets = ticket.New(ticket.Config{
		Timers: s.timers, Rand: source, Host: host, Incarnation: incarnation,
		Lifetime: attemptMemory, MaxEntries: int(c.MaxRemembered),
	})
	logger := reqlog.New(reqlog.Config{Timers: s.timers, Log: s.log, Generation: func() teaseltack.Generation {
		generation, _ := s.follower.Current()
		return generation
	}, OnDrop: s.metrics.LineDropped})
	scopes := scope.New(scope.Config{Rand: source})
	s.home = home.New(home.Config{
		Timers: s.timers, Host: host, Gate: s.gate, Server: &server{side: s},
		Tickets: s.tickets, Scopes: scopes, Levels: s.levels, Origins: s.origins, NestedStats: s.nestedStats, Decisions: logger,
	})
	s.follower = follow.New(follow.Config{
		Timers: s.timers, Rand: source, Store: store, Key: platform.ConfigKey, Decode: platform.DecodeConfig,
		PollPeriod: s.pollPeriod, OnMissedChange: func() { s.roster.Refresh() }, StoreDown: func() bool { return s.roster.StoreDown() },
		OnChange: s.configured, OnReject: s.rejected, OnStoreResult: s.heardStore,
	})
	s.roster = roster.New(roster.Config{
		Timers: s.timers, Rand: source, Store: store, Prefix: hostPrefix, OnChange: s.learn, OnStoreResult: s.heardStore, OnRecover: s.follower.StoreRecovered,
		Own: teaseltack.Record{
			Host: host, Incarnation: incarnation, Version: uint64(s.started.UnixMilli()),
			DataCentre: teaseltack.DataCentre(c.DataCentre), Region: teaseltack.Region(c.Region),
			PeerAddress: peerAddress, Service: teaseltack.Service(c.Service),
		},
	})
	s.links = link.New(link.Config{
		Timers: s.timers, Host: host, Serve: s.home.Serve,
		Current: s.follower.Current, OnConfig: s.follower.Adopt, Records: s.roster.Records, OnRecords: s.roster.AddKnown,
		OnReachability: s.reached, MayBeStale: s.follower.MayBeStale,
	})
	s.entry = entry.New(entry.Config{
		Timers: s.timers, Rand: source, Host: host, Policies: s.follower, Picker: s.picker, Levels: s.levels,
		Scopes: scopes, Homes: s.links, LocalHome: s.home, Observer: s.metrics, FreeMoves: true, Decisions: logger,
		Service: s.service, NestedStats: s.nestedStats, RepeatFailed: true,
		RetryBudget: budget.Config{Share: retryPart * c.RetryRatio, Window: seconds(c.RetryWindowS)},
		RepeatCost:  repeatPrice,
	})
	s.stops = append(s.stops, s.home.Close, s.gate.Close, s.tickets.Close)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// configured takes a new configuration into force.
func (s *Sidecar) configured(table *rules.Table, from string) {
	c := table.Config()
	now := s.timers.Now()
	s.configuredAt.Store(&now)
	s.log.Info("configuration in force", "generation", c.Generation, "rules", len(c.Rules), "from", from)
	s.resize(s.tracker.Server(), false)
	s.links.NotifyPeers()
}

// pollPeriod keeps the fleet's reads of the configuration at one rate. A daemon
// that has just started may not know the fleet's size yet.
func (s *Sidecar) pollPeriod() time.Duration {
	least := time.Second
	if s.timers.Now().Sub(s.started) < startTime {
		least = startPoll
	}
	return max(time.Duration(len(s.roster.Records()))*time.Second/pollsPerSecond, least)
}

func (s *Sidecar) rejected(err error) {
	s.log.Error("configuration not readable", "error", err)
}

// heardStore notes when the store is lost and regained.
func (s *Sidecar) heardStore(part string, err error) {
	failed := err != nil && !answeredByStore(err)
	s.metrics.PlatformCalled(part, err)
	if s.storeDown.Swap(failed) == failed {
		return
	}
	if failed {
		s.log.Warn("store lost", "part", part, "error", err)
		return
	}
	s.log.Info("store regained", "part", part)
}

func (s *Sidecar) reached(host teaseltack.HostID, reached bool) {
	s.picker.SetHostDown(host, !reached)
	if reached {
		s.log.Info("host reached", "host", host)
		return
	}
	s.log.Warn("host out of reach", "host", host)
}

// learn takes over the known hosts.
func (s *Sidecar) learn(records []teaseltack.Record) {
	homes := map[teaseltack.Service][]teaseltack.HostID{}
	hosts := map[teaseltack.Service]int{}
	for _, r := range records {
		hosts[r.Service]++
		if r.Serving == teaseltack.Ready && r.State != teaseltack.Left {
			homes[r.Service] = append(homes[r.Service], r.Host)
		}
	}
	s.origins.SetHosts(hosts)
	s.links.Track(records)
	s.entry.UpdateHomes(records, homes)
	s.applyRetrySlack()
}

// limits bound what callers may send.
func (s *Sidecar) limits() http1.Limits {
	table := s.follower.Table()
	if table == nil {
		return http1.Limits(defaultLimits)
	}
	return http1.Limits(table.Config().Limits)
}

// handle serves one request of a caller or of the local backend server.
func (s *Sidecar) handle(ctx context.Context, r *http1.Request) http1.Response {
	request, refused := s.translator.Request(s.follower.Table(), r)
	if refused != nil {
		return *refused
	}
	if s.closing.Load() {
		refusal := teaseltack.Refuse(teaseltack.ReasonNotReady, "the daemon stops")
		refusal.RetryAfter = stoppingRetryAfter
		return platform.Response(&teaseltack.Answer{ID: request.ID, Refusal: refusal})
	}
	return platform.Response(s.entry.Serve(ctx, request))
}

// isReady tells the platform whether callers may come.
func (s *Sidecar) isReady() bool {
	return !s.stopping.Load() && s.follower.Table() != nil && s.roster.Synced()
}

// Run serves until the context ends, then stops in order.
func (s *Sidecar) Run(ctx, hard context.Context) error {
	s.log.Info("started", "host", s.settings.Host, "service", s.settings.Service, "data-centre", s.settings.DataCentre)
	go s.follower.Run()
	go s.recallLeavings(ctx)
	go s.roster.Run()
	go s.links.Serve(s.listeners.peers)
	go func() { _ = s.scrape.Serve(s.listeners.scrape) }()
	go s.outer.Serve()
	go s.ready.Serve()
	go s.announce.Serve()
	s.stops = append(s.stops, s.timers.Every(seconds(s.settings.HeartbeatS)/2, s.checkSilence))
	<-ctx.Done()
	if err := s.shutdown(hard); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
