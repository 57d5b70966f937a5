// Package daemon puts the parts of one daemon together.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"

	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/change"
	"teaseltack/core/claim"
	"teaseltack/core/entry"
	"teaseltack/core/force"
	"teaseltack/core/home"
	"teaseltack/core/member"
	"teaseltack/core/mesh"
	"teaseltack/core/press"
	"teaseltack/core/route"
	"teaseltack/core/scope"
	"teaseltack/core/seeds"
	"teaseltack/core/ticket"
	"teaseltack/core/watch"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/io/auth"
	"teaseltack/io/back"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/dial"
	"teaseltack/io/front"
	"teaseltack/io/metric"
	"teaseltack/io/random"
	"teaseltack/io/store"
)

const (
	// refreshDelay gathers changes of the membership before the router learns
	// them.
	refreshDelay = 20 * time.Millisecond
	// readyWait bounds how long a starting daemon waits for a configuration.
	readyWait = 3 * time.Second
	// newsDelay is the time that the news of leaving gets to reach the others
	// before the doors close.
	newsDelay = 1500 * time.Millisecond
	// generationDelay gathers changes of the generation before the own record
	// tells them.
	generationDelay = time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	settings *config.Settings
	log      hclog.Logger
	timers   teaseltack.Timers

	members *member.Table
	mesh    *mesh.Mesh
	holder  *force.Holder
	changer *change.Changer
	watcher *watch.Watcher
	router  *route.Router
	press   *press.Table
	gate    *admit.Gate
	server  *back.Server
	home    *home.Home
	tickets *ticket.Table
	claims  *claim.Claims
	seeds   *seeds.List
	entry   *entry.Entry
	metrics *metric.Metrics

	doors doors
	// started opens the outer door, ready is what /readyz tells.
	started  atomic.Bool
	ready    atomic.Bool
	stopping atomic.Bool

	mu           sync.Mutex
	announcement announcement
	refreshing   bool
	stops        []func()
}

type announcement struct {
	service  teaseltack.Service
	address  string
	instance string
	leaving  bool
	renewed  time.Time
	slots    int
}

type doors struct {
	outer, inner, peer, operator *front.Server
}

// New opens the doors of a daemon. Run starts it.
func New(settings *config.Settings, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, log: log, timers: clock.Clock{}}
	if err := d.openDoors(); err != nil {
		d.closeDoors()
		return nil, err
	}
	return d, nil
}

// build makes the parts once the addresses are known.
func (d *Daemon) build() {
	source := random.New()
	s := d.settings
	d.metrics = metric.New(d.gauges())
	d.members = member.New(member.Config{Timers: d.timers, Changed: d.refreshSoon, Own: d.ownRecord(source)})
	d.holder = force.New(force.Config{Timers: d.timers, Changed: d.documentChanged, Default: defaultPolicy(s)})
	d.router = route.New(route.Config{Timers: d.timers, Source: source, DataCentre: teaseltack.DataCentre(s.DataCentre), Near: near(s)})
	d.press = press.New(press.Config{Timers: d.timers})
	d.gate = admit.New(admit.Config{Timers: d.timers, Slots: 1, Connections: 1, MaxWait: milliseconds(s.MaxWaitMs)})
	d.server = back.New(back.Config{Timers: d.timers, MaxAnswerBytes: s.MaxAnswerBytes})
	d.tickets = ticket.New(ticket.Config{
		Timers: d.timers, Source: source, Host: teaseltack.HostID(s.Host), Incarnation: d.members.Own().Incarnation,
		Lifetime: seconds(s.TicketLifetimeS), MaxEntries: int(s.MaxRemembered), MaxKeptBytes: int(s.MaxRememberedBytes),
	})
	scopes := scope.New(scope.Config{Source: source})
	d.home = home.New(home.Config{
		Timers: d.timers, Host: teaseltack.HostID(s.Host), Gate: d.gate, Server: d.server,
		Tickets: d.tickets, Scopes: scopes, Pressure: d.press,
		Marked: func() bool { return d.holder.Leaving(teaseltack.HostID(s.Host)) },
	})
	client := dial.New(dial.Config{Timers: d.timers, Key: auth.Key(s.PeerKey), MaxMessageBytes: int(s.MaxAnswerBytes) + messageOverhead})
	d.buildPlatform(source)
	d.entry = entry.New(entry.Config{
		Timers: d.timers, Source: source, Host: teaseltack.HostID(s.Host), Policies: d.holder, Router: d.router,
		Pressure: d.press, Scopes: scopes, Homes: client, Local: d.home, Claims: d.claims, Observe: d.metrics,
	})
	d.mesh = mesh.New(mesh.Config{
		Timers: d.timers, Source: source, Members: d.members, Overlay: client,
		Seeds: d.firstContacts, Generation: d.holder.Generation, Heard: d.holder.Confirm,
		Adopt: d.adopt, Cut: d.cut,
	})
	d.stops = append(d.stops, d.mesh.Close, d.home.Close, d.gate.Close, d.tickets.Close)
}

// messageOverhead is the room for headers beside a body in a peer message.
const messageOverhead = 1 << 20

// buildPlatform makes the parts that need the platform.
func (d *Daemon) buildPlatform(source teaseltack.Source) {
	if d.settings.PlatformAddress == "" {
		return
	}
	platform := store.New(store.Config{Address: d.settings.PlatformAddress, Observe: d.metrics.PlatformCalled})
	d.changer = change.New(change.Config{Timers: d.timers, Store: platform, Adopt: d.adopt})
	d.watcher = watch.New(watch.Config{Timers: d.timers, Source: source, Store: platform, Members: d.members, Holder: d.holder, Adopt: d.adopt})
	d.claims = claim.New(claim.Config{
		Timers: d.timers, Store: platform, KeyLifetime: seconds(d.settings.KeyLifetimeS), FleetRate: float64(d.settings.ClaimsPerSecond),
	})
	d.seeds = seeds.New(seeds.Config{Timers: d.timers, Store: platform, Members: d.members, Near: near(d.settings)})
	d.stops = append(d.stops, d.watcher.Close, d.seeds.Close)
}

// firstContacts returns the peers of the settings and of the platform, without
// the own address.
func (d *Daemon) firstContacts() []string {
	contacts := slices.Clone(d.settings.Peers)
	if d.seeds != nil {
		contacts = append(contacts, d.seeds.Addresses()...)
	}
	own := d.doors.peer.Address()
	return slices.DeleteFunc(contacts, func(address string) bool { return address == own })
}

// ownRecord makes the record of this life. Both numbers grow with the wall
// clock, so a later life usually wins at once; the membership mends the rest.
func (d *Daemon) ownRecord(source teaseltack.Source) teaseltack.Record {
	const randomBits = 20
	started := uint64(d.timers.Now().UnixMilli())
	s := d.settings
	return teaseltack.Record{
		Host:        teaseltack.HostID(s.Host),
		Incarnation: teaseltack.Incarnation(started<<randomBits | source.Uint64()>>(64-randomBits)),
		Version:     started,
		DataCentre:  teaseltack.DataCentre(s.DataCentre),
		Region:      teaseltack.Region(s.Region),
		PeerAddress: d.doors.peer.Address(),
	}
}

func defaultPolicy(s *config.Settings) teaseltack.Policy {
	return teaseltack.Policy{Class: teaseltack.ClassNormal, Lifetime: milliseconds(s.DefaultLifetimeMs), NonIdempotent: true}
}

func near(s *config.Settings) []teaseltack.DataCentre {
	names := make([]teaseltack.DataCentre, len(s.Near))
	for i, n := range s.Near {
		names[i] = teaseltack.DataCentre(n)
	}
	return names
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n int64) time.Duration { return time.Duration(n) * time.Second }

// Run serves until the context ends, then shuts down gracefully. A context that
// ends hard cuts the requests in progress; the error says so.
func (d *Daemon) Run(ctx, hard context.Context) error {
	d.build()
	d.handle()
	group, groupCtx := errgroup.WithContext(context.Background())
	for _, door := range []*front.Server{d.doors.outer, d.doors.inner, d.doors.peer, d.doors.operator} {
		group.Go(door.Serve)
	}
	d.log.Info("started", "host", d.settings.Host, "data-centre", d.settings.DataCentre,
		"outer-address", d.doors.outer.Address(), "inner-address", d.doors.inner.Address(),
		"peer-address", d.doors.peer.Address(), "operator-address", d.doors.operator.Address())
	d.stops = append(d.stops, d.timers.Every(announcementCheck, d.checkAnnouncement))
	go d.becomeReady(ctx)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	return errors.Join(d.shutdown(hard), group.Wait())
}

// becomeReady opens the outer door once a configuration is in force and another
// daemon was heard, or after readyWait without them.
func (d *Daemon) becomeReady(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		d.loadOnce(waitCtx)
		if d.configured() && (d.mesh.Contacted() || len(d.firstContacts()) == 0) {
			break
		}
		d.mesh.Contact()
		if !d.rest(waitCtx, readyStep) {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	d.refresh()
	if d.seeds != nil {
		d.seeds.Keep()
	}
	generation, _ := d.holder.Generation()
	d.started.Store(true)
	d.ready.Store(true)
	d.log.Info("ready", "generation", generation)
}

// readyStep is the time between two tries to learn the configuration at start.
const readyStep = 50 * time.Millisecond

func (d *Daemon) configured() bool {
	generation, age := d.holder.Generation()
	return age < readyWait && generation >= d.holder.Highest()
}

func (d *Daemon) loadOnce(ctx context.Context) {
	if d.changer == nil {
		return
	}
	document, _, err := d.changer.Load(ctx)
	if err != nil {
		return
	}
	d.holder.Confirm(teaseltack.Generation(document.Generation), 0)
	if err := d.seeds.Read(ctx); err != nil {
		d.log.Warn("no first contacts from the platform", "error", err)
	}
}

func (d *Daemon) adopt(document *operatorv1.Document) {
	d.holder.Adopt(document)
}

// documentChanged passes a new generation on at once.
func (d *Daemon) documentChanged(document *operatorv1.Document) {
	d.log.Info("configuration in force", "generation", document.Generation)
	d.mesh.Spread()
	d.refreshSoon()
	d.timers.After(generationDelay, d.tellGeneration)
}

func (d *Daemon) tellGeneration() {
	generation, _ := d.holder.Generation()
	d.members.UpdateOwn(func(r *teaseltack.Record) { r.Generation = generation })
}

func (d *Daemon) cut(name teaseltack.DataCentre, cut bool) {
	d.log.Warn("reach of a data centre changed", "data-centre", name, "cut", cut)
	d.router.SetCut(name, cut)
}

// refreshSoon brings membership and leaving marks to the router and the home.
func (d *Daemon) refreshSoon() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refreshing {
		return
	}
	d.refreshing = true
	d.timers.After(refreshDelay, d.refresh)
}

func (d *Daemon) refresh() {
	d.mu.Lock()
	d.refreshing = false
	d.mu.Unlock()
	d.applyServing()
	var usable []teaseltack.Record
	homes := map[teaseltack.Service][]teaseltack.HostID{}
	alive := 0
	for _, r := range d.members.Records() {
		if r.State < teaseltack.Dead {
			alive++
		}
		if d.holder.Leaving(r.Host) || r.Serving != teaseltack.Ready || r.State >= teaseltack.Dead {
			continue
		}
		usable = append(usable, r)
		homes[r.Service] = append(homes[r.Service], r.Host)
	}
	d.entry.Learn(usable, homes)
	if d.claims != nil {
		d.claims.SetDaemons(alive)
	}
}

// shutdown tells everybody, goes on serving until the news has spread, finishes
// what is in progress and closes the doors from the outside in.
func (d *Daemon) shutdown(hard context.Context) error {
	d.log.Info("shutting down", "in-flight", d.home.InFlight())
	d.ready.Store(false)
	d.stopping.Store(true)
	d.doors.outer.KeepAlives(false)
	d.applyServing()
	d.members.UpdateOwn(func(r *teaseltack.Record) { r.State = teaseltack.Left })
	d.mesh.Spread()
	ctx, cancel := context.WithTimeout(hard, seconds(d.settings.ShutdownS))
	defer cancel()
	d.rest(ctx, newsDelay)
	faults := d.drain(ctx)
	for _, stop := range d.stops {
		stop()
	}
	if err := errors.Join(faults...); err != nil {
		d.log.Error("shut down with requests cut", "in-flight", d.home.InFlight(), "error", err)
		return fmt.Errorf("shutting down: %w", err)
	}
	d.log.Info("shut down", "in-flight", 0)
	return nil
}

func (d *Daemon) drain(ctx context.Context) []error {
	var faults []error
	note := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	note(d.doors.outer.Shutdown(ctx))
	select {
	case <-d.home.Idle():
	case <-ctx.Done():
		note(fmt.Errorf("%d calls still run at the server", d.home.InFlight()))
	}
	note(d.doors.peer.Shutdown(ctx))
	note(d.doors.inner.Shutdown(ctx))
	note(d.doors.operator.Shutdown(ctx))
	return faults
}

// rest waits and reports whether the context still goes on.
func (d *Daemon) rest(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// OuterAddress returns the address of the outer door.
func (d *Daemon) OuterAddress() string { return d.doors.outer.Address() }

// InnerAddress returns the address of the inner door.
func (d *Daemon) InnerAddress() string { return d.doors.inner.Address() }

// PeerAddress returns the address of the peer door.
func (d *Daemon) PeerAddress() string { return d.doors.peer.Address() }

// OperatorAddress returns the address of the operator door.
func (d *Daemon) OperatorAddress() string { return d.doors.operator.Address() }

func (d *Daemon) closeDoors() {
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	for _, door := range []*front.Server{d.doors.outer, d.doors.inner, d.doors.peer, d.doors.operator} {
		if door != nil {
			_ = door.Shutdown(closed)
		}
	}
}

// checkAnnounced says what is wrong with an address that a server announced.
func checkAnnounced(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "0" {
		return fmt.Errorf("address is %q, allowed is IP:PORT", address)
	}
	return nil
}
