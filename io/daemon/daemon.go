// Package daemon assembles and runs the stand-alone daemon, which learns of the other
// daemons by gossip. The daemon on the users' platform is in package side.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"

	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/admit"
	"teaseltack/core/claim"
	"teaseltack/core/editor"
	"teaseltack/core/entry"
	"teaseltack/core/gossip"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/member"
	"teaseltack/core/picker"
	"teaseltack/core/seeds"
	"teaseltack/core/ticket"
	"teaseltack/core/usage"
	"teaseltack/core/watch"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/httpd"
	"teaseltack/io/invoke"
	"teaseltack/io/metric"
)

const (
	// refreshDelay batches changes of the member table before they are applied to
	// the picker.
	refreshDelay = 20 * time.Millisecond
	// readyWait bounds how long a starting daemon waits for a configuration and for
	// contact with another daemon. A generation confirmed less than readyWait ago
	// counts as current.
	readyWait = 3 * time.Second
	// stopDelay is the time between publishing that this daemon stops and closing
	// the listeners, so that the other daemons receive the record first.
	stopDelay = 1500 * time.Millisecond
	// answerMargin is the part of the shutdown time that is left for sending the last
	// answers.
	answerMargin = 250 * time.Millisecond
	// generationDelay batches changes of the generation before the own record
	// publishes them.
	generationDelay = time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	settings *config.Settings
	log      hclog.Logger
	timers   teaseltack.Timers

	members  *member.Table
	gossiper *gossip.Gossiper
	holder   *active.Holder
	editor   *editor.Editor
	watcher  *watch.Watcher
	picker   *picker.Picker
	levels   *levels.Table
	gate     *admit.Gate
	server   *invoke.Invoker
	home     *home.Home
	tickets  *ticket.Table
	claims   *claim.Claims
	seeds    *seeds.List
	entry    *entry.Entry
	metrics  *metric.Metrics

	listeners listeners
	// memory bounds what requests hold, at all listeners together.
	memory *usage.Limiter
	// started is set once the outer listener serves requests.
	started atomic.Bool
	// ready is the state that /readyz reports.
	ready    atomic.Bool
	stopping atomic.Bool
	// endsAt is when the answers of a stopping daemon end; nil while it takes all requests.
	endsAt atomic.Pointer[time.Time]

	mu               sync.Mutex
	announcement     announcement
	refreshScheduled bool
	stops            []func()
}

type announcement struct {
	service  teaseltack.Service
	address  string
	instance string
	leaving  bool
	renewed  time.Time
}

type listeners struct {
	outer, inner, peer, operator *httpd.Server
}

// New returns a daemon with open listeners. Run starts it.
func New(settings *config.Settings, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, log: log, timers: clock.Clock{}}
	d.memory = usage.New(usage.Memory(d.timers, settings.MaxRequestBytes))
	if err := d.openListeners(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Run serves until ctx ends, then shuts down gracefully. If abort ends, the
// shutdown cuts the requests in progress and returns an error.
func (d *Daemon) Run(ctx, abort context.Context) error {
	d.build()
	d.setHandlers()
	group, groupCtx := errgroup.WithContext(context.Background())
	for _, listener := range []*httpd.Server{d.listeners.outer, d.listeners.inner, d.listeners.peer, d.listeners.operator} {
		group.Go(listener.Serve)
	}
	d.log.Info("started", "host", d.settings.Host, "data-centre", d.settings.DataCentre,
		"outer-address", d.listeners.outer.Address(), "inner-address", d.listeners.inner.Address(),
		"peer-address", d.listeners.peer.Address(), "operator-address", d.listeners.operator.Address())
	d.stops = append(d.stops, d.timers.Every(announcementCheck, d.expireAnnouncement))
	go d.becomeReady(ctx)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	return errors.Join(d.shutdown(abort), group.Wait())
}

// becomeReady lets the outer listener serve requests once the configuration is
// current and another daemon has answered or called, or after readyWait.
func (d *Daemon) becomeReady(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		d.loadOnce(waitCtx)
		if d.configured() && (d.gossiper.HasContact() || len(d.seedAddresses()) == 0) {
			break
		}
		d.gossiper.ContactSeeds()
		if !d.sleep(waitCtx, readyStep) {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	d.refresh()
	if d.seeds != nil {
		d.seeds.Write()
	}
	generation, _ := d.holder.Generation()
	d.started.Store(true)
	d.ready.Store(true)
	d.log.Info("ready", "generation", generation)
}

// readyStep is the time between two attempts to load the configuration and to
// contact a seed while the daemon starts.
const readyStep = 50 * time.Millisecond

func (d *Daemon) configured() bool {
	generation, age := d.holder.Generation()
	return age < readyWait && generation >= d.holder.Highest()
}

func (d *Daemon) loadOnce(ctx context.Context) {
	if d.editor == nil {
		return
	}
	document, _, err := d.editor.Load(ctx)
	if err != nil {
		return
	}
	d.holder.Confirm(teaseltack.Generation(document.Generation), 0)
	if err := d.seeds.Read(ctx); err != nil {
		d.log.Warn("reading the seed addresses from the platform failed", "error", err)
	}
}

func (d *Daemon) adopt(document *operatorv1.Document) {
	d.holder.Adopt(document)
}

// documentChanged propagates a new generation to the partners at once.
func (d *Daemon) documentChanged(document *operatorv1.Document) {
	d.log.Info("configuration in force", "generation", document.Generation)
	d.gossiper.ExchangeAll()
	d.scheduleRefresh()
	d.timers.After(generationDelay, d.publishGeneration)
}

func (d *Daemon) publishGeneration() {
	generation, _ := d.holder.Generation()
	d.members.UpdateOwn(func(r *teaseltack.Record) { r.Generation = generation })
}

func (d *Daemon) setUnreachable(name teaseltack.DataCentre, unreachable bool) {
	d.log.Warn("data centre reachability changed", "data-centre", name, "cut", unreachable)
	d.picker.SetDataCentreUnreachable(name, unreachable)
}

// scheduleRefresh applies changed records and leaving marks to the picker and the
// home after refreshDelay. Calls made meanwhile share the same refresh.
func (d *Daemon) scheduleRefresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refreshScheduled {
		return
	}
	d.refreshScheduled = true
	d.timers.After(refreshDelay, d.refresh)
}

func (d *Daemon) refresh() {
	d.mu.Lock()
	d.refreshScheduled = false
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
	d.entry.UpdateHomes(usable, homes)
	if d.claims != nil {
		d.claims.SetDaemons(alive)
	}
}

// OuterAddress returns the address of the outer listener.
func (d *Daemon) OuterAddress() string { return d.listeners.outer.Address() }

// InnerAddress returns the address of the inner listener.
func (d *Daemon) InnerAddress() string { return d.listeners.inner.Address() }

// PeerAddress returns the address of the peer listener.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Address() }

// OperatorAddress returns the address of the operator listener.
func (d *Daemon) OperatorAddress() string { return d.listeners.operator.Address() }

// checkAnnouncedAddress returns an error unless a server announced a valid address.
func checkAnnouncedAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "0" {
		return fmt.Errorf("address is %q, allowed is IP:PORT", address)
	}
	return nil
}
