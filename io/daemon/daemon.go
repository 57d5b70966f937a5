// Package daemon puts the parts of one daemon together.
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
	"teaseltack/core/watch"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/io/clock"
	"teaseltack/io/config"
	"teaseltack/io/httpd"
	"teaseltack/io/metric"
	"teaseltack/io/proxy"
)

const (
	// refreshDelay gathers changes of the membership before the picker learns
	// them.
	refreshDelay = 20 * time.Millisecond
	// readyWait bounds how long a starting daemon waits for a configuration.
	readyWait = 3 * time.Second
	// newsDelay is the time that the news of leaving gets to reach the others
	// before the listeners close.
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

	members  *member.Table
	gossiper *gossip.Gossiper
	holder   *active.Holder
	editor   *editor.Editor
	watcher  *watch.Watcher
	picker   *picker.Picker
	levels   *levels.Table
	gate     *admit.Gate
	server   *proxy.Proxy
	home     *home.Home
	tickets  *ticket.Table
	claims   *claim.Claims
	seeds    *seeds.List
	entry    *entry.Entry
	metrics  *metric.Metrics

	listeners listeners
	// started opens the outer listener, ready is what /readyz tells.
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
}

type listeners struct {
	outer, inner, peer, operator *httpd.Server
}

// New opens the listeners of a daemon. Run starts it.
func New(settings *config.Settings, log hclog.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, log: log, timers: clock.Clock{}}
	if err := d.openDoors(); err != nil {
		d.closeDoors()
		return nil, err
	}
	return d, nil
}

// Run serves until the context ends, then shuts down gracefully. A context that
// ends hard cuts the requests in progress; the error says so.
func (d *Daemon) Run(ctx, hard context.Context) error {
	d.build()
	d.handle()
	group, groupCtx := errgroup.WithContext(context.Background())
	for _, listener := range []*httpd.Server{d.listeners.outer, d.listeners.inner, d.listeners.peer, d.listeners.operator} {
		group.Go(listener.Serve)
	}
	d.log.Info("started", "host", d.settings.Host, "data-centre", d.settings.DataCentre,
		"outer-address", d.listeners.outer.Address(), "inner-address", d.listeners.inner.Address(),
		"peer-address", d.listeners.peer.Address(), "operator-address", d.listeners.operator.Address())
	d.stops = append(d.stops, d.timers.Every(announcementCheck, d.checkAnnouncement))
	go d.becomeReady(ctx)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	return errors.Join(d.shutdown(hard), group.Wait())
}

// becomeReady opens the outer listener once a configuration is in force and another
// daemon was heard, or after readyWait without them.
func (d *Daemon) becomeReady(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for {
		d.loadOnce(waitCtx)
		if d.configured() && (d.gossiper.HasContact() || len(d.firstContacts()) == 0) {
			break
		}
		d.gossiper.ContactSeeds()
		if !d.rest(waitCtx, readyStep) {
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

// readyStep is the time between two tries to learn the configuration at start.
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
		d.log.Warn("no first contacts from the platform", "error", err)
	}
}

func (d *Daemon) adopt(document *operatorv1.Document) {
	d.holder.Adopt(document)
}

// documentChanged passes a new generation on at once.
func (d *Daemon) documentChanged(document *operatorv1.Document) {
	d.log.Info("configuration in force", "generation", document.Generation)
	d.gossiper.ExchangeAll()
	d.refreshSoon()
	d.timers.After(generationDelay, d.tellGeneration)
}

func (d *Daemon) tellGeneration() {
	generation, _ := d.holder.Generation()
	d.members.UpdateOwn(func(r *teaseltack.Record) { r.Generation = generation })
}

func (d *Daemon) cut(name teaseltack.DataCentre, cut bool) {
	d.log.Warn("reach of a data centre changed", "data-centre", name, "cut", cut)
	d.picker.SetDataCentreDown(name, cut)
}

// refreshSoon brings membership and leaving marks to the picker and the home.
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

// checkAnnounced says what is wrong with an address that a server announced.
func checkAnnounced(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "0" {
		return fmt.Errorf("address is %q, allowed is IP:PORT", address)
	}
	return nil
}
