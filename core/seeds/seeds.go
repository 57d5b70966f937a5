// Package seeds maintains a bounded list of seed addresses per data centre in the
// platform. The first hosts in rendezvous order write it, so the platform's
// load grows with the data centres and not with the daemons.
package seeds

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"teaseltack"
	"teaseltack/core/member"
	"teaseltack/core/order"
)

const (
	// period is the time between two looks at the list.
	period = 20 * time.Second
	// writers is the number of daemons per data centre that keep the list.
	writers = 2
	// listed is the number of addresses in the list.
	listed = 8
	// callTime bounds one call to the platform.
	callTime = time.Second
	// aloneRest is the rest between two reads of a daemon that knows nobody.
	aloneRest = 3 * time.Second
)

// Config configures a List.
type Config struct {
	Timers  teaseltack.Timers
	Store   teaseltack.KeyValue
	Members *member.Table
	// Near lists other data centres whose lists are read as well.
	Near []teaseltack.DataCentre
}

// List holds the seed addresses. It is safe for concurrent use.
type List struct {
	cfg   Config
	mu    sync.Mutex
	known []string
	stops []func()
}

// New returns a list that subscribes to the timers until Close.
func New(cfg Config) *List {
	l := &List{cfg: cfg}
	l.stops = []func(){
		cfg.Timers.Every(period, l.keep),
		cfg.Timers.Every(aloneRest, l.readAlone),
	}
	return l
}

// Close ends the subscriptions to the timers.
func (l *List) Close() {
	for _, stop := range l.stops {
		stop()
	}
}

// Addresses returns the seed addresses read last.
func (l *List) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.known)
}

func keyOf(name teaseltack.DataCentre) string {
	return "seeds/" + string(name)
}

// Read reads the lists of the own and the near data centres.
func (l *List) Read(ctx context.Context) error {
	var known []string
	own := l.cfg.Members.Own().DataCentre
	for _, name := range append([]teaseltack.DataCentre{own}, l.cfg.Near...) {
		entry, err := l.get(ctx, name)
		if err != nil {
			return err
		}
		if len(entry.Value) > 0 {
			known = append(known, strings.Split(string(entry.Value), ",")...)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = known
	return nil
}

func (l *List) get(ctx context.Context, name teaseltack.DataCentre) (teaseltack.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, keyOf(name))
	if err != nil {
		return entry, fmt.Errorf("reading the first contacts of %s: %w", name, err)
	}
	return entry, nil
}

// readAlone reads the lists while this daemon knows no other.
func (l *List) readAlone() {
	if len(l.cfg.Members.Records()) > 1 {
		return
	}
	go func() { _ = l.Read(context.Background()) }()
}

// keep writes the list anew when this daemon is among the writers and the list
// no longer holds.
func (l *List) keep() {
	wanted, mine := l.wanted()
	if !mine {
		return
	}
	go l.write(wanted)
}

// wanted returns the list by the own view and whether this daemon keeps it.
func (l *List) wanted() (string, bool) {
	own := l.cfg.Members.Own()
	addresses := map[teaseltack.HostID]string{}
	var hosts []teaseltack.HostID
	for _, r := range l.cfg.Members.Records() {
		if r.DataCentre == own.DataCentre && r.State == teaseltack.Alive {
			hosts = append(hosts, r.Host)
			addresses[r.Host] = r.PeerAddress
		}
	}
	byHash := order.New("seeds", hosts)
	index := byHash.Index(own.Host)
	var list []string
	for i := range min(listed, byHash.Len()) {
		list = append(list, addresses[byHash.At(i)])
	}
	return strings.Join(list, ","), index >= 0 && index < writers
}

func (l *List) write(wanted string) {
	name := l.cfg.Members.Own().DataCentre
	entry, err := l.get(context.Background(), name)
	if err != nil || string(entry.Value) == wanted {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	// A lost race or answer is mended by the next look.
	_, _ = l.cfg.Store.Swap(ctx, keyOf(name), []byte(wanted), entry.Revision, 0)
}

// Write writes the list now if this daemon is one of its writers, as a daemon does
// once it is ready.
func (l *List) Write() {
	l.keep()
}
