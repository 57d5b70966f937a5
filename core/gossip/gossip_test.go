package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/gossip"
	"teaseltack/core/member"
	"teaseltack/core/order"
	"teaseltack/core/watch"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// inBubble hides the deadline of a test from rapid, which a bubble with fake
// time does not tell.
type inBubble struct{ *testing.T }

var errCut = errors.New("no answer")

// node is the control part of one daemon.
type node struct {
	fleet    *fleet
	record   teaseltack.Record
	members  *member.Table
	holder   *active.Holder
	gossiper *gossip.Gossiper
	watcher  *watch.Watcher
	cuts     map[teaseltack.DataCentre]bool
	source   *random.Source
	dead     bool
	highest  uint64
}

// fleet joins nodes by a network that a test cuts.
type fleet struct {
	t     assert.TestingT
	mu    sync.Mutex
	nodes map[string]*node
	// cut reports whether messages from one to the other are lost.
	cut func(from, to *node) bool
	// silent reports whether calls of a node to the platform get no answer.
	silent func(*node) bool
	store  *fakeStore
}

func (f *fleet) setCut(cut func(from, to *node) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fleet) setSilent(silent func(*node) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *fleet) isSilent(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent(n)
}

func newFleet(t assert.TestingT, dataCentres, each int) *fleet {
	f := &fleet{t: t, nodes: map[string]*node{}, cut: func(_, _ *node) bool { return false }, silent: func(*node) bool { return false }, store: &fakeStore{changed: make(chan struct{})}}
	for d := range dataCentres {
		for i := range each {
			f.start(fmt.Sprintf("dc%d", d), fmt.Sprintf("h%d-%d", d, i), 1)
		}
	}
	return f
}

// start runs a node that knows one first contact, the first node.
func (f *fleet) start(dataCentre, host string, incarnation teaseltack.Incarnation) *node {
	n := &node{fleet: f, cuts: map[teaseltack.DataCentre]bool{}, source: random.Seeded(byte(len(f.nodes)))}
	n.record = teaseltack.Record{
		Host: teaseltack.HostID(host), DataCentre: teaseltack.DataCentre(dataCentre), Version: 1, Incarnation: incarnation, PeerAddress: host, Serving: teaseltack.Ready,
	}
	timers := clock.Clock{}
	n.members = member.New(member.Config{Timers: timers, Own: n.record})
	n.holder = active.New(active.Config{Timers: timers, OnChange: func(d *operatorv1.Document) {
		if d.Generation <= n.highest {
			panic("the generation fell")
		}
		n.highest = d.Generation
		n.gossiper.ExchangeAll()
	}})
	adopt := func(d *operatorv1.Document) { n.holder.Adopt(d) }
	f.mu.Lock()
	f.nodes[host] = n
	f.mu.Unlock()
	n.gossiper = gossip.New(gossip.Config{
		Timers: timers, Rand: n.source, Members: n.members, Peers: n, Seeds: func() []string { return []string{"h0-0", "h0-1"} },
		Generation: n.holder.Generation, OnGeneration: n.holder.Confirm, OnDocument: adopt,
		OnUnreachable: func(name teaseltack.DataCentre, cut bool) { n.cuts[name] = cut },
	})
	n.watcher = watch.New(watch.Config{Timers: timers, Rand: n.source, Store: n, Members: n.members, Holder: n.holder, OnDocument: adopt})
	return n
}

func (n *node) stop() {
	n.fleet.mu.Lock()
	n.dead = true
	n.fleet.mu.Unlock()
	n.gossiper.Close()
	n.watcher.Close()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	time.Sleep(10 * time.Second)
}

// reach returns the node at an address if messages pass there, and an error if
// none pass back: the call takes effect then and its answer is lost.
func (n *node) reach(ctx context.Context, address string) (*node, error) {
	n.fleet.mu.Lock()
	to := n.fleet.nodes[address]
	lost := to == nil || to.dead || n.dead || n.fleet.cut(n, to)
	lostBack := !lost && n.fleet.cut(to, n)
	n.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errCut
	}
	if lostBack {
		return to, errCut
	}
	return to, nil
}

func (n *node) Exchange(ctx context.Context, address string, m teaseltack.Exchange) (teaseltack.Exchange, error) {
	to, err := n.reach(ctx, address)
	if to == nil {
		return teaseltack.Exchange{}, err
	}
	return to.gossiper.Receive(m), err
}

func (n *node) Pull(ctx context.Context, address string, buckets []uint32, records []teaseltack.Record) ([]teaseltack.Record, error) {
	to, err := n.reach(ctx, address)
	if to == nil {
		return nil, err
	}
	answer := to.members.InBuckets(buckets)
	to.members.Merge(records)
	return answer, err
}

func (n *node) FetchDocument(ctx context.Context, address string, above teaseltack.Generation) (*operatorv1.Document, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	if document := to.holder.Document(); document.Generation > uint64(above) {
		return document, nil
	}
	return nil, nil
}

// fakeStore holds the document; a test takes it down for some nodes.
type fakeStore struct {
	mu       sync.Mutex
	document []byte
	revision uint64
	changed  chan struct{}
}

func (s *fakeStore) write(generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document, _ = proto.Marshal(&operatorv1.Document{Generation: generation})
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) read() (teaseltack.KVEntry, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return teaseltack.KVEntry{Value: s.document, Revision: s.revision}, s.changed
}

func (n *node) Get(ctx context.Context, _ string) (teaseltack.KVEntry, error) {
	if n.fleet.isSilent(n) {
		<-ctx.Done()
		return teaseltack.KVEntry{}, errCut
	}
	entry, _ := n.fleet.store.read()
	return entry, nil
}

func (n *node) Swap(context.Context, string, []byte, uint64, time.Duration) (teaseltack.KVEntry, error) {
	return teaseltack.KVEntry{}, errCut
}

func (n *node) Watch(ctx context.Context, _ string, known uint64, wait time.Duration) (teaseltack.KVEntry, error) {
	end := time.After(wait)
	for {
		entry, changed := n.fleet.store.read()
		if n.fleet.isSilent(n) {
			<-ctx.Done()
			return teaseltack.KVEntry{}, errCut
		}
		if entry.Revision != known {
			return entry, nil
		}
		select {
		case <-changed:
		case <-end:
			return teaseltack.KVEntry{Revision: known}, nil
		case <-ctx.Done():
			return teaseltack.KVEntry{}, errCut
		}
	}
}

// assertKnown checks that each node of the list knows count hosts alive.
func (f *fleet) assertKnown(count int) {
	for host, n := range f.nodes {
		if n.dead {
			continue
		}
		alive := 0
		for _, r := range n.members.Records() {
			if r.State == teaseltack.Alive {
				alive++
			}
		}
		assert.Equal(f.t, alive, count, "alive at %s", host)
	}
}

func (f *fleet) assertGeneration(want uint64) {
	for host, n := range f.nodes {
		if !n.dead {
			assert.Equal(f.t, n.holder.Document().Generation, want, "generation at %s", host)
		}
	}
}

func inFleet(t *testing.T, dataCentres, each int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, dataCentres, each)
		defer f.stop()
		time.Sleep(30 * time.Second)
		f.assertKnown(dataCentres * each)
		test(f)
	})
}

// inForceBound is the users' bound for a configuration.
const inForceBound = 13 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	inFleet(t, 3, 5, func(f *fleet) {
		f.store.write(1)
		time.Sleep(2 * time.Second)
		f.assertGeneration(1)
	})
}

func TestDataCentreCutIsOneFactAndHeals(t *testing.T) {
	inFleet(t, 3, 4, func(f *fleet) {
		f.setCut(func(from, to *node) bool {
			return from.record.DataCentre != to.record.DataCentre && (from.record.DataCentre == "dc2" || to.record.DataCentre == "dc2")
		})
		f.setSilent(func(n *node) bool { return n.record.DataCentre == "dc2" })
		time.Sleep(30 * time.Second)
		f.assertKnown(12)
		assert.Assert(t, f.nodes["h0-0"].cuts["dc2"], "the cut was not noticed")
		assert.Assert(t, !f.nodes["h0-0"].cuts["dc1"])
		f.store.write(1)
		time.Sleep(inForceBound)
		assert.Equal(t, f.nodes["h2-0"].holder.Document().Generation, uint64(0))
		assert.Equal(t, f.nodes["h1-0"].holder.Document().Generation, uint64(1))
		f.setCut(func(_, _ *node) bool { return false })
		f.setSilent(func(*node) bool { return false })
		time.Sleep(inForceBound)
		f.assertGeneration(1)
		assert.Assert(t, !f.nodes["h0-0"].cuts["dc2"], "the heal was not noticed")
	})
}

// Messages pass in one direction only; the call has no answer then.
func TestOneWayCutOfAHostIsRefutedOrDies(t *testing.T) {
	inFleet(t, 1, 6, func(f *fleet) {
		f.setCut(func(from, to *node) bool { return from.record.Host == "h0-0" && to.record.Host == "h0-1" })
		time.Sleep(40 * time.Second)
		f.assertKnown(6)
	})
}

func TestDeadHostIsNoticedAndItsReplacementJoins(t *testing.T) {
	inFleet(t, 2, 5, func(f *fleet) {
		f.nodes["h0-3"].stop()
		time.Sleep(15 * time.Second)
		f.assertKnown(9)
		f.start("dc0", "h0-3", 7)
		time.Sleep(20 * time.Second)
		f.assertKnown(10)
	})
}

func TestAllWatchersReplacedAtOnce(t *testing.T) {
	inFleet(t, 1, 6, func(f *fleet) {
		for _, host := range []string{"h0-0", "h0-1", "h0-2", "h0-3"} {
			f.nodes[host].stop()
		}
		f.store.write(1)
		time.Sleep(inForceBound)
		f.assertGeneration(1)
	})
}

// The two daemons on duty are alive but get no answers from the platform; the
// others read it themselves.
func TestWatchersCutFromThePlatform(t *testing.T) {
	inFleet(t, 1, 6, func(f *fleet) {
		var hosts []teaseltack.HostID
		for _, n := range f.nodes {
			hosts = append(hosts, n.record.Host)
		}
		duty := order.New("watch", hosts)
		f.setSilent(func(n *node) bool { return duty.Index(n.record.Host) < 2 })
		f.store.write(1)
		time.Sleep(inForceBound)
		f.assertGeneration(1)
	})
}

func TestSilentWatchIsGivenUp(t *testing.T) {
	inFleet(t, 1, 4, func(f *fleet) {
		f.setSilent(func(*node) bool { return true })
		f.store.write(1)
		time.Sleep(20 * time.Second)
		f.assertGeneration(0)
		f.setSilent(func(*node) bool { return false })
		time.Sleep(inForceBound)
		f.assertGeneration(1)
	})
}

func TestStalePeerDoesNotSetAFreshDaemonBack(t *testing.T) {
	inFleet(t, 1, 4, func(f *fleet) {
		f.store.write(5)
		time.Sleep(2 * time.Second)
		late := f.start("dc0", "late", 1)
		late.holder.Adopt(&operatorv1.Document{Generation: 3})
		time.Sleep(inForceBound)
		f.assertGeneration(5)
	})
}

// Whatever is cut, killed and healed, generations never fall (the holder's hook
// panics) and all agree in the end.
func TestEverythingConvergesAfterCutsAndKills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(inBubble{t}, func(r *rapid.T) {
			f := newFleet(r, 2, 3)
			defer f.stop()
			time.Sleep(20 * time.Second)
			generation := uint64(0)
			for range rapid.IntRange(1, 6).Draw(r, "steps") {
				cutHost := teaseltack.HostID(fmt.Sprintf("h%d-%d", rapid.IntRange(0, 1).Draw(r, "cut dc"), rapid.IntRange(0, 2).Draw(r, "cut host")))
				oneWay := rapid.Bool().Draw(r, "one way")
				quiet := rapid.Bool().Draw(r, "platform silent")
				f.setCut(func(from, to *node) bool {
					return from.record.Host == cutHost || !oneWay && to.record.Host == cutHost
				})
				f.setSilent(func(*node) bool { return quiet })
				if rapid.Bool().Draw(r, "change") {
					generation++
					f.store.write(generation)
				}
				time.Sleep(time.Duration(rapid.IntRange(1, 15000).Draw(r, "pause ms")) * time.Millisecond)
			}
			f.setCut(func(_, _ *node) bool { return false })
			f.setSilent(func(*node) bool { return false })
			time.Sleep(60 * time.Second)
			f.assertKnown(6)
			f.assertGeneration(generation)
		})
	})
}
