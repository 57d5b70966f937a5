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

// inBubble hides *testing.T from rapid, which would call T.Deadline; a synctest
// bubble does not allow that.
type inBubble struct{ *testing.T }

var errNoAnswer = errors.New("no answer")

// node is the control plane of one daemon.
type node struct {
	fleet    *fleet
	record   teaseltack.Record
	members  *member.Table
	holder   *active.Holder
	gossiper *gossip.Gossiper
	watcher  *watch.Watcher
	// reported guards unreachable.
	reported    sync.Mutex
	unreachable map[teaseltack.DataCentre]bool
	// reportDelay is how long a report of an unreachable data centre takes.
	reportDelay time.Duration
	source      *random.Source
	dead        bool
	// generation is the last one in force; OnChange panics unless the next is higher.
	generation uint64
}

// fleet connects nodes by a network whose messages a test can drop.
type fleet struct {
	t     assert.TestingT
	mu    sync.Mutex
	nodes map[string]*node
	// dropped reports whether messages from one node to the other are lost.
	dropped func(from, to *node) bool
	// platformDown reports whether the platform does not answer a node.
	platformDown func(*node) bool
	store        *fakeStore
}

func (f *fleet) setDropped(dropped func(from, to *node) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped = dropped
}

func (f *fleet) setPlatformDown(platformDown func(*node) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformDown = platformDown
}

func (f *fleet) isPlatformDown(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platformDown(n)
}

func newFleet(t assert.TestingT, dataCentres, each int) *fleet {
	f := &fleet{t: t, nodes: map[string]*node{}, dropped: func(_, _ *node) bool { return false }, platformDown: func(*node) bool { return false }, store: &fakeStore{changed: make(chan struct{})}}
	for d := range dataCentres {
		for i := range each {
			f.start(fmt.Sprintf("dc%d", d), fmt.Sprintf("h%d-%d", d, i), 1)
		}
	}
	return f
}

// start starts a node whose seeds are the first two nodes.
func (f *fleet) start(dataCentre, host string, incarnation teaseltack.Incarnation) *node {
	n := &node{fleet: f, unreachable: map[teaseltack.DataCentre]bool{}, source: random.Seeded(byte(len(f.nodes)))}
	n.record = teaseltack.Record{
		Host: teaseltack.HostID(host), DataCentre: teaseltack.DataCentre(dataCentre), Version: 1, Incarnation: incarnation, PeerAddress: host, Serving: teaseltack.Ready,
	}
	timers := clock.Clock{}
	n.members = member.New(member.Config{Timers: timers, Own: n.record})
	n.holder = active.New(active.Config{Timers: timers, OnChange: func(d *operatorv1.Document) {
		if d.Generation <= n.generation {
			panic("OnChange was called without a higher generation")
		}
		n.generation = d.Generation
		n.gossiper.ExchangeAll()
	}})
	onDocument := func(d *operatorv1.Document) { n.holder.Adopt(d) }
	f.mu.Lock()
	f.nodes[host] = n
	f.mu.Unlock()
	n.gossiper = gossip.New(gossip.Config{
		Timers: timers, Rand: n.source, Members: n.members, Peers: n, Seeds: func() []string { return []string{"h0-0", "h0-1"} },
		Generation: n.holder.Generation, OnGeneration: n.holder.Confirm, OnDocument: onDocument,
		OnUnreachable: n.setUnreachable,
	})
	n.watcher = watch.New(watch.Config{Timers: timers, Rand: n.source, Store: n, Members: n.members, Holder: n.holder, OnDocument: onDocument})
	return n
}

func (n *node) setUnreachable(name teaseltack.DataCentre, unreachable bool) {
	if unreachable {
		time.Sleep(n.reportDelay)
	}
	n.reported.Lock()
	defer n.reported.Unlock()
	n.unreachable[name] = unreachable
}

// isUnreachable reports what setUnreachable was last told of the data centre.
func (n *node) isUnreachable(name teaseltack.DataCentre) bool {
	n.reported.Lock()
	defer n.reported.Unlock()
	return n.unreachable[name]
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

// deliver returns the node at an address, or nil if the request is lost. If only the
// answer is lost, it returns both the node and an error: the call takes effect there.
func (n *node) deliver(ctx context.Context, address string) (*node, error) {
	n.fleet.mu.Lock()
	to := n.fleet.nodes[address]
	requestLost := to == nil || to.dead || n.dead || n.fleet.dropped(n, to)
	answerLost := !requestLost && n.fleet.dropped(to, n)
	n.fleet.mu.Unlock()
	if requestLost {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	if answerLost {
		return to, errNoAnswer
	}
	return to, nil
}

func (n *node) Exchange(ctx context.Context, address string, m teaseltack.Exchange) (teaseltack.Exchange, error) {
	to, err := n.deliver(ctx, address)
	if to == nil {
		return teaseltack.Exchange{}, err
	}
	return to.gossiper.Receive(m), err
}

func (n *node) Pull(ctx context.Context, address string, buckets []uint32, records []teaseltack.Record) ([]teaseltack.Record, error) {
	to, err := n.deliver(ctx, address)
	if to == nil {
		return nil, err
	}
	answer := to.members.InBuckets(buckets)
	to.members.Merge(records)
	return answer, err
}

func (n *node) FetchDocument(ctx context.Context, address string, above teaseltack.Generation) (*operatorv1.Document, error) {
	to, err := n.deliver(ctx, address)
	if err != nil {
		return nil, err
	}
	if document := to.holder.Document(); document.Generation > uint64(above) {
		return document, nil
	}
	return nil, nil
}

// fakeStore is the platform's store with only the document.
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
	if n.fleet.isPlatformDown(n) {
		<-ctx.Done()
		return teaseltack.KVEntry{}, errNoAnswer
	}
	entry, _ := n.fleet.store.read()
	return entry, nil
}

func (n *node) Swap(context.Context, string, []byte, uint64, time.Duration) (teaseltack.KVEntry, error) {
	return teaseltack.KVEntry{}, errNoAnswer
}

func (n *node) Watch(ctx context.Context, _ string, known uint64, wait time.Duration) (teaseltack.KVEntry, error) {
	end := time.After(wait)
	for {
		entry, changed := n.fleet.store.read()
		if n.fleet.isPlatformDown(n) {
			<-ctx.Done()
			return teaseltack.KVEntry{}, errNoAnswer
		}
		if entry.Revision != known {
			return entry, nil
		}
		select {
		case <-changed:
		case <-end:
			return teaseltack.KVEntry{Revision: known}, nil
		case <-ctx.Done():
			return teaseltack.KVEntry{}, errNoAnswer
		}
	}
}

// assertKnown checks that each running node knows count hosts as alive.
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

func withFleet(t *testing.T, dataCentres, each int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, dataCentres, each)
		defer f.stop()
		time.Sleep(30 * time.Second)
		f.assertKnown(dataCentres * each)
		test(f)
	})
}

// inForceBound is the time that users allow until a configuration is in force on all
// hosts.
const inForceBound = 13 * time.Second

// A change that only the watchers read must reach the other daemons by gossip.
func TestChangeIsInForceEverywhere(t *testing.T) {
	withFleet(t, 3, 5, func(f *fleet) {
		f.store.write(1)
		time.Sleep(2 * time.Second)
		f.assertGeneration(1)
	})
}

// While a data centre is unreachable, its hosts must not each be declared dead: the
// data centre counts as unreachable as a whole, and receives the change after the
// partition has healed.
func TestDataCentreCutIsOneFactAndHeals(t *testing.T) {
	withFleet(t, 3, 4, func(f *fleet) {
		f.setDropped(func(from, to *node) bool {
			return from.record.DataCentre != to.record.DataCentre && (from.record.DataCentre == "dc2" || to.record.DataCentre == "dc2")
		})
		f.setPlatformDown(func(n *node) bool { return n.record.DataCentre == "dc2" })
		time.Sleep(30 * time.Second)
		f.assertKnown(12)
		assert.Assert(t, f.nodes["h0-0"].isUnreachable("dc2"), "dc2 is not reported as unreachable")
		assert.Assert(t, !f.nodes["h0-0"].isUnreachable("dc1"))
		f.store.write(1)
		time.Sleep(inForceBound)
		assert.Equal(t, f.nodes["h2-0"].holder.Document().Generation, uint64(0))
		assert.Equal(t, f.nodes["h1-0"].holder.Document().Generation, uint64(1))
		f.setDropped(func(_, _ *node) bool { return false })
		f.setPlatformDown(func(*node) bool { return false })
		time.Sleep(inForceBound)
		f.assertGeneration(1)
		assert.Assert(t, !f.nodes["h0-0"].isUnreachable("dc2"), "dc2 is still reported as unreachable")
	})
}

// TestALateReportDoesNotHideThatADataCentreIsBack guards against a data centre that gets no
// calls for good, since the report that it is unreachable overtook the one that it is back.
func TestALateReportDoesNotHideThatADataCentreIsBack(t *testing.T) {
	withFleet(t, 2, 3, func(f *fleet) {
		n := f.nodes["h0-0"]
		n.reportDelay = 30 * time.Second
		f.setDropped(func(from, to *node) bool { return from.record.DataCentre != to.record.DataCentre })
		time.Sleep(15 * time.Second)
		assert.DeepEqual(t, n.gossiper.Unreachable(), []teaseltack.DataCentre{"dc1"})
		f.setDropped(func(_, _ *node) bool { return false })
		time.Sleep(time.Minute)
		assert.Equal(t, len(n.gossiper.Unreachable()), 0)
		assert.Assert(t, !n.isUnreachable("dc1"), "dc1 is still reported as unreachable")
	})
}

// A data centre that was cut off and whose hosts have all left must not be reported as
// unreachable for good.
func TestADataCentreWithoutHostsIsForgotten(t *testing.T) {
	withFleet(t, 2, 3, func(f *fleet) {
		f.setDropped(func(from, to *node) bool { return from.record.DataCentre == "dc0" && to.record.DataCentre == "dc1" })
		time.Sleep(30 * time.Second)
		assert.Assert(t, f.nodes["h0-0"].isUnreachable("dc1"), "dc1 is not reported as unreachable")
		for host, n := range f.nodes {
			if n.record.DataCentre != "dc1" {
				continue
			}
			n.members.UpdateOwn(func(r *teaseltack.Record) { r.State = teaseltack.Left })
			n.gossiper.ExchangeAll()
			t.Log(host, "left")
		}
		time.Sleep(5 * time.Second)
		for _, n := range f.nodes {
			if n.record.DataCentre == "dc1" {
				n.stop()
			}
		}
		time.Sleep(10 * time.Second)
		for _, host := range []string{"h0-0", "h0-1", "h0-2"} {
			n := f.nodes[host]
			assert.Assert(t, !n.isUnreachable("dc1"), "%s reports dc1 as unreachable", host)
			assert.Equal(t, len(n.gossiper.Unreachable()), 0)
		}
	})
}

// If messages pass in one direction only, calls between the two hosts fail on both
// sides, since the request or the answer is lost. The suspected host must refute the
// suspicion through other hosts.
func TestOneWayCutOfAHostIsRefutedOrDies(t *testing.T) {
	withFleet(t, 1, 6, func(f *fleet) {
		f.setDropped(func(from, to *node) bool { return from.record.Host == "h0-0" && to.record.Host == "h0-1" })
		time.Sleep(40 * time.Second)
		f.assertKnown(6)
	})
}

// A replacement has the ID of the dead host; the old record must not keep it out.
func TestDeadHostIsNoticedAndItsReplacementJoins(t *testing.T) {
	withFleet(t, 2, 5, func(f *fleet) {
		f.nodes["h0-3"].stop()
		time.Sleep(15 * time.Second)
		f.assertKnown(9)
		f.start("dc0", "h0-3", 7)
		time.Sleep(20 * time.Second)
		f.assertKnown(10)
	})
}

// If the daemons that watch the platform stop, others must take over the watch.
func TestAllWatchersReplacedAtOnce(t *testing.T) {
	withFleet(t, 1, 6, func(f *fleet) {
		for _, host := range []string{"h0-0", "h0-1", "h0-2", "h0-3"} {
			f.nodes[host].stop()
		}
		f.store.write(1)
		time.Sleep(inForceBound)
		f.assertGeneration(1)
	})
}

// The two watchers are alive, so no other daemon takes over the watch, but the platform
// does not answer them; the other daemons must read it themselves.
func TestWatchersCutFromThePlatform(t *testing.T) {
	withFleet(t, 1, 6, func(f *fleet) {
		var hosts []teaseltack.HostID
		for _, n := range f.nodes {
			hosts = append(hosts, n.record.Host)
		}
		watchOrder := order.New("watch", hosts)
		f.setPlatformDown(func(n *node) bool { return watchOrder.Index(n.record.Host) < 2 })
		f.store.write(1)
		time.Sleep(inForceBound)
		f.assertGeneration(1)
	})
}

// A watch that the platform never answers must time out, or the daemon would miss all
// changes after the platform is back.
func TestSilentWatchIsGivenUp(t *testing.T) {
	withFleet(t, 1, 4, func(f *fleet) {
		f.setPlatformDown(func(*node) bool { return true })
		f.store.write(1)
		time.Sleep(20 * time.Second)
		f.assertGeneration(0)
		f.setPlatformDown(func(*node) bool { return false })
		time.Sleep(inForceBound)
		f.assertGeneration(1)
	})
}

// A daemon that starts with an old document must not spread it to the others.
func TestStalePeerDoesNotSetAFreshDaemonBack(t *testing.T) {
	withFleet(t, 1, 4, func(f *fleet) {
		f.store.write(5)
		time.Sleep(2 * time.Second)
		late := f.start("dc0", "late", 1)
		late.holder.Adopt(&operatorv1.Document{Generation: 3})
		time.Sleep(inForceBound)
		f.assertGeneration(5)
	})
}

// After any series of network cuts and platform outages all daemons agree. Generations
// never fall meanwhile; OnChange panics if one does.
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
				platformDown := rapid.Bool().Draw(r, "platform silent")
				f.setDropped(func(from, to *node) bool {
					return from.record.Host == cutHost || !oneWay && to.record.Host == cutHost
				})
				f.setPlatformDown(func(*node) bool { return platformDown })
				if rapid.Bool().Draw(r, "change") {
					generation++
					f.store.write(generation)
				}
				time.Sleep(time.Duration(rapid.IntRange(1, 15000).Draw(r, "pause ms")) * time.Millisecond)
			}
			f.setDropped(func(_, _ *node) bool { return false })
			f.setPlatformDown(func(*node) bool { return false })
			time.Sleep(60 * time.Second)
			f.assertKnown(6)
			f.assertGeneration(generation)
		})
	})
}
