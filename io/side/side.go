// Package side runs the daemon as a sidecar of a backend server on the users'
// platform. It connects the decision logic (core) to the platform's protocols. The
// stand-alone daemon is in package daemon.
package side

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/budget"
	"teaseltack/core/entry"
	"teaseltack/core/eras"
	"teaseltack/core/follow"
	"teaseltack/core/health"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/nested"
	"teaseltack/core/newest"
	"teaseltack/core/origin"
	"teaseltack/core/picker"
	"teaseltack/core/rejoin"
	"teaseltack/core/reroute"
	"teaseltack/core/roster"
	"teaseltack/core/rules"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
	"teaseltack/core/tomb"
	"teaseltack/core/usage"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/http1"
	"teaseltack/io/httpd"
	"teaseltack/io/link"
	"teaseltack/io/metric"
	"teaseltack/io/pool"
	"teaseltack/io/random"
	"teaseltack/io/reqlog"
	"teaseltack/platform"
)

const (
	// hostPrefix is the key prefix of the daemons' records in the store.
	hostPrefix = "teaseltack/hosts/"
	// tombstonePrefix is the key prefix of the tombstones of each host.
	tombstonePrefix = "teaseltack/left/"
	// pollsPerSecond is the rate at which all daemons together poll the
	// configuration in addition to their watches: a change that every watch missed
	// is found in 999 of 1,000 cases within two seconds, the limit of the users'
	// platform.
	pollsPerSecond = 4
	// startupPeriod is the time after the start in which a daemon discovers the
	// others. Until its end the poll period is at least startupPollPeriod, the
	// period of the smallest site's 13 daemons.
	startupPeriod     = 6 * time.Second
	startupPollPeriod = 13 * time.Second / pollsPerSecond
	// maxMissedHeartbeats is the number of missed heartbeats after which the backend
	// server counts as absent.
	maxMissedHeartbeats = 4
	// maxNestedWait bounds the queue wait of a nested call, whose parent already runs,
	// at its home; in most cases the call's deadline is shorter.
	maxNestedWait = 2 * time.Second
	// stoppingRetryAfter is the retry delay that a stopping daemon returns; by then
	// the platform routes the caller to another daemon.
	stoppingRetryAfter = 500 * time.Millisecond
	// minShare is the share of the limit that the calls of each rule used by callers
	// get ahead of nested calls. Nested calls, whose root request is not known here,
	// otherwise go first.
	minShare = 0.125
	// ticketLifetime is the time to expiry of the tickets that the home issues, which
	// calls between sidecars don't use, and sets the sweep period of the remembered
	// requests to an eighth of it. How long a request without a ticket is remembered
	// after its deadline is set in package home.
	ticketLifetime = 10 * time.Second
	// maxKeptAnswers bounds the bodies, in bytes, of answers that are kept for entries
	// whose connection was lost.
	maxKeptAnswers = 4 << 20
	// retryFraction is the fraction of the settings' retry-ratio that the entries
	// spend on calls that did not run, since each level of a chain of four may add
	// retries of its own.
	retryFraction = 0.6
	// repeatCost is what a retry of a call that may have run takes from the retry
	// budget; a retry of a call that did not run takes 1.
	repeatCost = 2.5
	// slackFraction is the fraction of the settings' retry-slack that all entries
	// together get per rule, since two rules may lead to one service.
	slackFraction = 0.5
)

// defaultLimits apply to callers until a configuration is in force.
var defaultLimits = rules.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Sidecar is the daemon of one host on the users' platform.
type Sidecar struct {
	// settings are the settings at the start, current the latest reloaded ones.
	settings *config.SidecarSettings
	current  atomic.Pointer[config.SidecarSettings]
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
	eras        *eras.Tracker
	tracker     *health.Tracker
	tombstones  *tomb.Tombstones
	rejoin      *rejoin.Guard
	roster      *roster.Roster
	follower    *follow.Follower
	newest      *newest.Tracker
	links       *link.Links
	pool        *pool.Pool
	// memory bounds what requests hold, at all listeners together.
	memory          *usage.Limiter
	metrics         *metric.Metrics
	requestLog      *reqlog.Logger
	outerServer     *http1.Server
	readinessServer *http1.Server
	announceServer  *http1.Server
	metricsServer   *httpd.Server
	listeners       *listeners

	translator platform.Translator
	// stopping is set when the shutdown begins, closing when the calls of other hosts are
	// refused, and refusing when new requests are refused.
	stopping         atomic.Bool
	closing          atomic.Bool
	refusing         atomic.Bool
	storeUnreachable atomic.Bool
	// reportedBehind is the last generation that was logged as known and not in force.
	reportedBehind atomic.Uint64
	// configuredAt is when the configuration came into force; nil while there is none.
	configuredAt atomic.Pointer[time.Time]
	// tombstonesUnstored holds a value if the store may not hold all tombstones.
	tombstonesUnstored chan struct{}
	// servingMu serialises the updates of the server's state in the home and in the
	// own record.
	servingMu sync.Mutex
	// resizing serialises the updates of the gate's size, so that the last one applies the
	// newest server and configuration.
	resizing sync.Mutex
	stops    []func()
}

// New returns a daemon whose listeners are open; Run serves them.
func New(settings *config.SidecarSettings, log hclog.Logger) (*Sidecar, error) {
	s := &Sidecar{settings: settings, log: log, timers: clock.Clock{}, tombstonesUnstored: make(chan struct{}, 1)}
	s.current.Store(settings)
	listeners, err := listenAll(settings)
	if err != nil {
		return nil, err
	}
	s.build(cmp.Or(settings.PeerAddress, listeners.peers.Addr().String()))
	s.createServers(listeners)
	return s, nil
}

func (s *Sidecar) build(peerAddress string) {
	source := random.New()
	c := s.settings
	host := teaseltack.HostID(c.Host)
	s.started = s.timers.Now()
	incarnation := teaseltack.Incarnation(source.Uint64() >> 1)
	s.eras = eras.New(eras.Config{OnChange: s.onStoreEra})
	store := platform.NewStore(c.PlatformAddress, s.eras)
	s.newest = newest.New(newest.Config{Timers: s.timers})
	s.translator = platform.Translator{Rand: source.Uint64}
	s.metrics = metric.New(s.gauges())
	s.tracker = health.New(health.Config{Timeout: maxMissedHeartbeats * seconds(c.HeartbeatS)})
	s.tombstones = tomb.New(tomb.Config{Store: store, Key: tombstonePrefix + c.Host})
	s.rejoin = rejoin.New(rejoin.Config{Timers: s.timers, AskAfter: askAfter, ForgetAfter: forgetAfter})
	s.picker = picker.New(picker.Config{Timers: s.timers, Rand: source, DataCentre: teaseltack.DataCentre(c.DataCentre)})
	s.levels = levels.New(levels.Config{Timers: s.timers})
	s.gate = admit.New(admit.Config{Timers: s.timers, Slots: 1, Connections: 1, MaxWait: time.Duration(c.MaxWaitMs) * time.Millisecond, MaxNestedWait: maxNestedWait, MinShare: minShare})
	s.origins = origin.New()
	s.nestedStats = nested.New(nested.Config{Timers: s.timers})
	answers := usage.New(usage.Answers(s.timers, c.MemoryMB<<20/readingDivisor))
	s.pool = s.newPool(answers)
	s.memory = usage.New(usage.Memory(s.timers, c.MemoryMB<<20/requestDivisor))
	s.tickets = ticket.New(ticket.Config{
		Timers: s.timers, Rand: source, Host: host, Incarnation: incarnation,
		Lifetime: ticketLifetime, MaxRecords: int(c.MaxRemembered), MaxKeptBytes: maxKeptAnswers,
	})
	s.requestLog = reqlog.New(reqlog.Config{Timers: s.timers, Log: s.log, Generation: func() teaseltack.Generation {
		generation, _ := s.follower.Current()
		return generation
	}, OnDrop: s.metrics.LineDropped})
	router := reroute.New(reroute.Config{Rand: source, Table: func() *rules.Table { return s.follower.Table() }})
	scopes := scope.New(scope.Config{Rand: source})
	s.home = home.New(home.Config{
		Timers: s.timers, Host: host, Gate: s.gate, Server: &server{side: s},
		Tickets: s.tickets, Scopes: scopes, Levels: s.levels, Origins: s.origins, NestedStats: s.nestedStats, Decisions: s.requestLog,
		CheckRoute: router.Check,
	})
	s.follower = follow.New(follow.Config{
		Timers: s.timers, Rand: source, Store: store, Key: platform.ConfigKey, Decode: platform.DecodeConfig,
		PollPeriod: s.pollPeriod, OnMissedChange: func() { s.roster.Refresh() }, StoreDown: func() bool { return s.roster.WritesFailing() },
		OnDecoded: func(generation teaseltack.Generation) { s.newest.Heard(generation, 0) },
		OnInForce: s.onConfigInForce, OnChange: s.onConfig, OnReject: s.onConfigRejected, OnStoreResult: s.onStoreResult,
	})
	s.roster = roster.New(roster.Config{
		Timers: s.timers, Rand: source, Store: store, Prefix: hostPrefix, OnChange: s.onRecords, OnStoreResult: s.onStoreResult, OnRecover: s.follower.StoreRecovered,
		OnPredecessor: s.onPredecessor,
		Own: teaseltack.Record{
			Host: host, Incarnation: incarnation, Version: uint64(s.started.UnixMilli()),
			DataCentre: teaseltack.DataCentre(c.DataCentre), Region: teaseltack.Region(c.Region),
			PeerAddress: peerAddress, Service: teaseltack.Service(c.Service), TombstonesUnknown: true,
		},
	})
	s.links = link.New(link.Config{
		Timers: s.timers, Host: host, Serve: s.home.Serve, CallMemory: s.memory, AnswerMemory: answers, Connections: s.connections(s.descriptors().Peer()),
		Age: s.newest.Age, OnGeneration: s.newest.Heard,
		Current: s.follower.Current, OnConfig: s.follower.Adopt, Records: s.roster.Records, OnRecords: s.roster.AddKnown,
		OnReachability: s.onReachability, MayBeStale: s.follower.MayBeStale,
	})
	s.entry = entry.New(entry.Config{
		Timers: s.timers, Rand: source, Host: host, Policies: s.follower, Router: router, Picker: s.picker, Levels: s.levels,
		Scopes: scopes, Homes: s.links, LocalHome: s.home, Observer: s.metrics, MoveOnRefusal: true, Decisions: s.requestLog,
		Service: s.service, NestedStats: s.nestedStats, RetryFailed: true,
		RetryBudget:        budget.Config{Share: retryFraction * c.RetryRatio, Window: seconds(c.RetryWindowS)},
		UncertainRetryCost: repeatCost,
	})
	s.stops = append(s.stops, s.home.Close, s.gate.Close, s.tickets.Close)
}

// readingDivisor sets the memory for answers that are being read as memory-mb divided by
// it, so that a server which sends bytes without end at each of its slots leaves room for
// the rest of the daemon.
const readingDivisor = 4

// requestDivisor sets the memory that requests may hold as memory-mb divided by it. The
// rest is for answers and the daemon itself.
const requestDivisor = 2

func (s *Sidecar) newPool(answers *usage.Limiter) *pool.Pool {
	return pool.New(pool.Config{Timers: s.timers, MaxAnswerBytes: min(s.settings.MaxBodyBytes, s.settings.MemoryMB<<20/readingDivisor), Reading: answers})
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// onConfigInForce is called under the follower's lock at the moment at which a
// configuration comes into force.
func (s *Sidecar) onConfigInForce(table *rules.Table, from string) {
	c := table.Config()
	now := s.timers.Now()
	s.configuredAt.Store(&now)
	late := s.newest.InForce(c.Generation)
	s.metrics.ConfigurationChanged(from, late)
	s.log.Info("configuration in force", "generation", c.Generation, "rules", len(c.Rules), "from", from, "late-ms", late.Milliseconds())
}

// onConfig is called after a configuration has come into force, not for one that was
// replaced meanwhile.
func (s *Sidecar) onConfig(*rules.Table) {
	s.resize(false)
	s.links.NotifyPeers()
}

// pollPeriod keeps the configuration reads of the whole fleet at pollsPerSecond. A
// daemon that has just started may not know the size of the fleet yet.
func (s *Sidecar) pollPeriod() time.Duration {
	minPeriod := time.Second
	if s.timers.Now().Sub(s.started) < startupPeriod {
		minPeriod = startupPollPeriod
	}
	return max(time.Duration(len(s.roster.Records()))*time.Second/pollsPerSecond, minPeriod)
}

// behindAfter is the time after which a known generation that is not in force is logged.
const behindAfter = time.Second

// checkConfiguration logs once for each generation that is known and not in force.
func (s *Sidecar) checkConfiguration() {
	behind, known := s.newest.Behind(), s.newest.Known()
	if behind < behindAfter || s.reportedBehind.Swap(uint64(known)) == uint64(known) {
		return
	}
	generation, _ := s.follower.Current()
	s.log.Warn("configuration behind", "generation", generation, "known", known, "for-ms", behind.Milliseconds(), "watch-fails", s.follower.MayBeStale())
}

func (s *Sidecar) onConfigRejected(err error) {
	s.log.Error("configuration rejected, the one in force stays", "error", err)
}

// onStoreResult is called after each call to the store. It logs when the store
// becomes unreachable and when it is reachable again.
func (s *Sidecar) onStoreResult(part string, err error) {
	failed := err != nil && !answeredByStore(err)
	s.metrics.PlatformCalled(part, err)
	if s.storeUnreachable.Swap(failed) == failed {
		return
	}
	if failed {
		s.log.Warn("store lost", "part", part, "error", err)
		return
	}
	s.log.Info("store reachable again", "part", part)
}

// onStoreEra is called when the store has come back from an older copy, which has lost
// what was written since.
func (s *Sidecar) onStoreEra(before, now teaseltack.StoreEra) {
	s.log.Warn("store came back from an older copy, writing and reading again", "era", now, "before", before)
	s.applyServing()
	s.storeTombstones()
	s.follower.StoreReturned()
	s.roster.StoreReturned()
}

// onPredecessor is called when it is known what an earlier process of this daemon left in
// the store.
func (s *Sidecar) onPredecessor(record *teaseltack.Record, era teaseltack.StoreEra) {
	if record == nil {
		s.rejoin.SetNoPredecessor(era)
	} else {
		s.rejoin.SetPredecessor(!record.TombstonesUnknown, record.TombstonesEra)
	}
	s.applyServing()
}

func (s *Sidecar) onReachability(host teaseltack.HostID, reachable bool) {
	s.picker.SetHostUnreachable(host, !reachable)
	if reachable {
		s.log.Info("host taken as reachable", "host", host)
		return
	}
	s.log.Warn("host out of reach", "host", host)
}

// onRecords is called without locks when the known records have changed.
func (s *Sidecar) onRecords(records []teaseltack.Record) {
	homes := map[teaseltack.Service][]teaseltack.HostID{}
	hosts := map[teaseltack.Service]int{}
	for _, r := range records {
		hosts[r.Service]++
		if r.Serving == teaseltack.Ready && r.State != teaseltack.Left {
			homes[r.Service] = append(homes[r.Service], r.Host)
		}
	}
	s.origins.SetHosts(hosts)
	s.links.SetRecords(records)
	s.entry.UpdateHomes(records, homes)
	s.applyRetrySlack()
}

// limits returns the limits on callers' requests.
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
	if s.refusing.Load() {
		refusal := teaseltack.Refuse(teaseltack.ReasonNotReady, "the daemon is stopping")
		refusal.RetryAfter = stoppingRetryAfter
		return platform.Response(&teaseltack.Answer{ID: request.ID, Refusal: refusal})
	}
	return platform.Response(s.entry.Serve(ctx, request))
}

// isReady reports whether the platform may route callers to this daemon.
func (s *Sidecar) isReady() bool {
	return !s.stopping.Load() && s.follower.Table() != nil && s.roster.Synced()
}

// Run serves until ctx ends and then shuts down; it waits for the requests in
// progress unless abort ends.
func (s *Sidecar) Run(ctx, abort context.Context) error {
	s.log.Info("started", "host", s.settings.Host, "service", s.settings.Service, "data-centre", s.settings.DataCentre)
	go s.follower.Run()
	go s.restoreTombstones(ctx)
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go s.keepTombstones(running)
	go s.roster.Run()
	go s.links.Serve(s.listeners.peers)
	go func() { _ = s.metricsServer.Serve() }()
	go s.outerServer.Serve()
	go s.readinessServer.Serve()
	go s.announceServer.Serve()
	s.stops = append(s.stops, s.timers.Every(seconds(s.settings.HeartbeatS)/2, s.checkHeartbeats), s.timers.Every(behindAfter/2, s.checkConfiguration))
	<-ctx.Done()
	if err := s.shutdown(abort); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
