package side_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/eras"
	"teaseltack/core/roster"
	"teaseltack/io/clock"
	"teaseltack/io/link"
	"teaseltack/io/random"
	"teaseltack/platform"
	"teaseltack/platform/fake"
)

// otherDaemon is the links of a host whose configuration and answers the test sets.
type otherDaemon struct {
	links      *link.Links
	address    string
	generation atomic.Uint64
	document   atomic.Pointer[[]byte]
	serve      func(*teaseltack.Call) *teaseltack.Answer
}

func newOtherDaemon(t *testing.T) *otherDaemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &otherDaemon{address: listener.Addr().String()}
	d.document.Store(&[]byte{})
	d.links = link.New(link.Config{
		Timers: clock.Clock{}, Host: "other",
		Serve: func(_ context.Context, c *teaseltack.Call) *teaseltack.Answer { return d.serve(c) },
		Current: func() (teaseltack.Generation, []byte) {
			return teaseltack.Generation(d.generation.Load()), *d.document.Load()
		},
		Age:            func() time.Duration { return 0 },
		OnGeneration:   func(teaseltack.Generation, time.Duration) {},
		OnConfig:       func(teaseltack.Generation, []byte) {},
		Records:        func() []teaseltack.Record { return nil },
		OnRecords:      func([]teaseltack.Record) {},
		OnReachability: func(teaseltack.HostID, bool) {},
		MayBeStale:     func() bool { return false },
	})
	go d.links.Serve(listener)
	t.Cleanup(d.links.Close)
	return d
}

// join writes the daemon's record, with a backend server of the service, to the store.
func (d *otherDaemon) join(t *testing.T, tb *testbed, service string) {
	t.Helper()
	front := newStoreFront(t, tb.store)
	store := platform.NewStore(strings.TrimPrefix(front.http.URL, "http://"), eras.New(eras.Config{OnChange: func(teaseltack.StoreEra, teaseltack.StoreEra) {}}))
	r := roster.New(roster.Config{
		Timers: clock.Clock{}, Rand: random.New(), Store: store, Prefix: "teaseltack/hosts/",
		OnChange: func([]teaseltack.Record) {}, OnStoreResult: func(string, error) {},
		Own: teaseltack.Record{Host: "other", Incarnation: 1, Version: 1, DataCentre: "a", Region: "r", PeerAddress: d.address, Service: teaseltack.Service(service), Serving: teaseltack.Ready, Slots: 4, Connections: 4},
	})
	done := make(chan struct{})
	go func() {
		r.Run()
		close(done)
	}()
	t.Cleanup(func() {
		r.Close()
		<-done
	})
}

var movedWrite = rule{"/write/", "orders", "non_idempotent", 2}

func TestAHomeRunsNoCallThatAnOlderConfigurationSentToIt(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t)
	tb.configure(read, write)
	till, orders := tb.add("till", fake.ServerConfig{Work: time.Millisecond}), tb.add("orders", fake.ServerConfig{Work: time.Millisecond})
	for _, h := range tb.hosts {
		tb.waitFor("the rule for till from "+h.name, func() bool { return tb.call(h, http.MethodPost, "/write/x", "b").status == http.StatusOK })
	}
	tb.configure(read, movedWrite)
	for _, h := range []*host{till, orders} {
		tb.waitFor("the change at "+h.name, func() bool { return tb.ranAt(h) == "orders" })
	}
	entry := newOtherDaemon(t)
	answer, err := entry.links.Forward(t.Context(), teaseltack.Record{Host: teaseltack.HostID(till.name), PeerAddress: till.side.Addresses().Peers}, &teaseltack.Call{
		ID: "late", Nonce: "n", Target: teaseltack.Target{Service: "till", Method: "r-1"}, NonIdempotent: true, Generation: 1, Deadline: time.Now().Add(waitTimeout),
		Payload: teaseltack.Payload{Verb: http.MethodPost, Authority: "a.example", Path: "/write/x"},
	})
	assert.NilError(t, err)
	assert.Assert(t, answer.Refusal != nil)
	assert.Equal(t, answer.Refusal.Reason, teaseltack.ReasonConfiguration)
	assert.Equal(t, tb.runs("late"), 0)
}

func TestAnEntryRoutesARefusedRequestByTheConfigurationOfTheHome(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t)
	tb.configure(read, write)
	orders := tb.add("orders", fake.ServerConfig{Work: time.Millisecond})
	tb.waitFor("the rule for orders", func() bool { return tb.serves(orders, "/read/x") })
	document := tb.nextDocument(read, movedWrite)
	home := newOtherDaemon(t)
	home.document.Store(&document)
	home.serve = func(c *teaseltack.Call) *teaseltack.Answer {
		home.generation.Store(uint64(tb.version))
		return &teaseltack.Answer{ID: c.ID, Nonce: c.Nonce, Refusal: teaseltack.Refuse(teaseltack.ReasonConfiguration, "moved")}
	}
	home.join(t, tb, "till")
	tb.waitFor("the other daemon", func() bool { return orders.knowsHosts(2) })
	got := tb.call(orders, http.MethodPost, "/write/x", "body")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, home.generation.Load(), uint64(2), "the other daemon was not called")
	assert.Equal(t, orders.server.Runs()[got.id], 1)
}
