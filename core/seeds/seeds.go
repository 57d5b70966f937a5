// Package seeds maintains a bounded list of seed addresses per data centre in the
// platform. Only the first hosts in rendezvous order write it, so the platform's load
// grows with the number of data centres and not with that of daemons.
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
	// writePeriod is the time between two checks of the list by its writers.
	writePeriod = 20 * time.Second
	// writerCount is the number of daemons per data centre that write the list.
	writerCount = 2
	// maxAddresses is the maximum number of addresses in the list.
	maxAddresses = 8
	// callTimeout limits one call to the platform.
	callTimeout = time.Second
	// aloneReadPeriod is the time between two reads by a daemon that knows no other
	// daemon.
	aloneReadPeriod = 3 * time.Second
)

// Config configures a List.
type Config struct {
	Timers  teaseltack.Timers
	Store   teaseltack.KeyValue
	Members *member.Table
	// Near lists the other data centres whose lists are read too.
	Near []teaseltack.DataCentre
}

// List holds the seed addresses. It is safe for concurrent use.
type List struct {
	cfg       Config
	mu        sync.Mutex
	addresses []string
	stops     []func()
}

// New returns an empty list. Until Close its writers check it periodically, and a daemon
// that knows no other reads it periodically.
func New(cfg Config) *List {
	l := &List{cfg: cfg}
	l.stops = []func(){
		cfg.Timers.Every(writePeriod, l.writeIfWriter),
		cfg.Timers.Every(aloneReadPeriod, l.readIfAlone),
	}
	return l
}

// Close stops the periodic checks and reads.
func (l *List) Close() {
	for _, stop := range l.stops {
		stop()
	}
}

// Addresses returns the seed addresses read last.
func (l *List) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

func keyOf(name teaseltack.DataCentre) string {
	return "seeds/" + string(name)
}

// Read reads the lists of the own data centre and those in Near. On an error the
// addresses read before stay.
func (l *List) Read(ctx context.Context) error {
	var addresses []string
	own := l.cfg.Members.Own().DataCentre
	for _, name := range append([]teaseltack.DataCentre{own}, l.cfg.Near...) {
		entry, err := l.get(ctx, name)
		if err != nil {
			return err
		}
		if len(entry.Value) > 0 {
			addresses = append(addresses, strings.Split(string(entry.Value), ",")...)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
	return nil
}

func (l *List) get(ctx context.Context, name teaseltack.DataCentre) (teaseltack.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, keyOf(name))
	if err != nil {
		return entry, fmt.Errorf("reading the seed addresses of %s: %w", name, err)
	}
	return entry, nil
}

// readIfAlone reads the lists in the background if this daemon knows no other.
func (l *List) readIfAlone() {
	if len(l.cfg.Members.Records()) > 1 {
		return
	}
	go func() { _ = l.Read(context.Background()) }()
}

// writeIfWriter updates the list in the background if this daemon is one of its writers.
func (l *List) writeIfWriter() {
	addresses, isWriter := l.currentList()
	if !isWriter {
		return
	}
	go l.write(addresses)
}

// currentList returns the list according to the membership and whether this daemon is
// one of its writers.
func (l *List) currentList() (string, bool) {
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
	for i := range min(maxAddresses, byHash.Len()) {
		list = append(list, addresses[byHash.At(i)])
	}
	return strings.Join(list, ","), index >= 0 && index < writerCount
}

// write writes the list to the platform unless it is unchanged.
func (l *List) write(addresses string) {
	name := l.cfg.Members.Own().DataCentre
	entry, err := l.get(context.Background(), name)
	if err != nil || string(entry.Value) == addresses {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// A conflicting write or a lost answer is corrected by the next check.
	_, _ = l.cfg.Store.Swap(ctx, keyOf(name), []byte(addresses), entry.Revision, 0)
}

// Write updates the list now, in the background, if this daemon is one of its writers. A
// daemon calls it once it is ready.
func (l *List) Write() {
	l.writeIfWriter()
}
