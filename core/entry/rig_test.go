package entry_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/claim"
	"teaseltack/core/entry"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/picker"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// fault is what the network or a server does to one attempt.
type fault int

const (
	fine fault = iota
	loseRequest
	loseAnswer
	duplicateRequest
	swapAnswer
	slowServer
	refuseConnection
)

// fakeFleet is a few hosts of each service on a network with injected faults.
type fakeFleet struct {
	hosts       map[teaseltack.HostID]*fakeHost
	order       []*fakeHost
	policies    map[teaseltack.Target]teaseltack.Policy
	nested      map[teaseltack.Service][]teaseltack.Target
	parallel    bool
	dropContext bool
	nextFault   func() fault
	store       *fakeStore
	// router is the router of all entries and checkRoute the check of all homes; both may
	// be nil.
	router     teaseltack.Router
	checkRoute func(*teaseltack.Call) *teaseltack.Refusal

	mu       sync.Mutex
	runs     map[string]int
	forwards int
	serves   int
	// cutOff holds the hosts that are cut off from the others and the platform.
	cutOff map[teaseltack.HostID]bool
	calls  map[teaseltack.RequestID]int
	// ranAt holds the services at which each request ran.
	ranAt map[teaseltack.RequestID][]teaseltack.Service
}

type fakeHost struct {
	fleet   *fakeFleet
	record  teaseltack.Record
	home    atomic.Pointer[home.Home]
	entry   atomic.Pointer[entry.Entry]
	gate    *admit.Gate
	tickets *ticket.Table
	scopes  *scope.Table
	picker  *picker.Picker
	levels  *levels.Table
	source  *random.Source
	work    time.Duration
	// endsAt is when the host's daemon stops; zero if it does not.
	endsAt time.Time
}

const (
	testLifetime = time.Second
	ticketTime   = 30 * time.Second
)

func newFakeFleet(services map[teaseltack.Service]int) *fakeFleet {
	f := &fakeFleet{
		hosts:     map[teaseltack.HostID]*fakeHost{},
		policies:  map[teaseltack.Target]teaseltack.Policy{},
		nested:    map[teaseltack.Service][]teaseltack.Target{},
		nextFault: func() fault { return fine },
		store:     newFakeStore(),
		runs:      map[string]int{},
		calls:     map[teaseltack.RequestID]int{},
		ranAt:     map[teaseltack.RequestID][]teaseltack.Service{},
	}
	for name, count := range services {
		for i := range count {
			f.addHost(name, i)
		}
	}
	f.updateHomes()
	return f
}

func (f *fakeFleet) addHost(service teaseltack.Service, i int) {
	h := &fakeHost{fleet: f, work: 5 * time.Millisecond, source: random.Seeded(byte(len(f.order)))}
	h.record = teaseltack.Record{
		Host: teaseltack.HostID(fmt.Sprintf("%s-%d", service, i)), Service: service, Serving: teaseltack.Ready, Slots: 4, Connections: 8,
	}
	f.order = append(f.order, h)
	f.hosts[h.record.Host] = h
	h.start(1)
}

// start starts the daemon as a new incarnation with empty state.
func (h *fakeHost) start(incarnation teaseltack.Incarnation) {
	timers := clock.Clock{}
	h.levels = levels.New(levels.Config{Timers: timers})
	h.scopes = scope.New(scope.Config{Rand: h.source})
	h.gate = admit.New(admit.Config{Timers: timers, Slots: 4, Connections: 8, MaxWait: 100 * time.Millisecond})
	h.tickets = ticket.New(ticket.Config{
		Timers: timers, Rand: h.source, Host: h.record.Host, Incarnation: incarnation,
		Lifetime: ticketTime, MaxRecords: 1000, MaxKeptBytes: 1 << 20,
	})
	live := home.New(home.Config{
		Timers: timers, Host: h.record.Host, Gate: h.gate, Server: h, Tickets: h.tickets, Scopes: h.scopes, Levels: h.levels,
		CheckRoute: h.fleet.checkRoute,
	})
	live.SetServing(h.record.Service, teaseltack.Ready)
	h.home.Store(live)
	h.picker = picker.New(picker.Config{Timers: timers, Rand: h.source})
	h.entry.Store(entry.New(entry.Config{
		Timers: timers, Rand: h.source, Host: h.record.Host, Policies: h.fleet, Picker: h.picker, Levels: h.levels, Scopes: h.scopes,
		Homes: h, FindHost: h.fleet.find, LocalHome: live, Observer: h,
		EndsAt: func() time.Time { return h.endsAt },
		Router: h.fleet.router, MoveOnRefusal: h.fleet.router != nil,
		Claims: claim.New(claim.Config{Timers: timers, Store: hostStore{h, h.fleet.store}, KeyLifetime: time.Hour, FleetRate: 1000}),
	}))
}

func (h *fakeHost) stop() {
	h.gate.Close()
	h.home.Load().Close()
	h.tickets.Close()
}

// restart discards the daemon's state and starts it as the next incarnation.
func (h *fakeHost) restart(incarnation teaseltack.Incarnation) {
	h.stop()
	h.start(incarnation)
	h.fleet.updateHomes()
}

func (f *fakeFleet) stop() {
	for _, h := range f.order {
		h.stop()
	}
}

func (f *fakeFleet) updateHomes() {
	var records []teaseltack.Record
	homes := map[teaseltack.Service][]teaseltack.HostID{}
	for _, h := range f.order {
		records = append(records, h.record)
		homes[h.record.Service] = append(homes[h.record.Service], h.record.Host)
	}
	for _, h := range f.order {
		h.entry.Load().UpdateHomes(records, homes)
	}
}

// Policy implements teaseltack.Policies.
func (f *fakeFleet) Policy(t teaseltack.Target) (teaseltack.Policy, bool) {
	p, ok := f.policies[t]
	return p, ok
}

func (f *fakeFleet) addPolicy(t teaseltack.Target, class teaseltack.Class, nonIdempotent bool, retries teaseltack.Retries) {
	f.policies[t] = teaseltack.Policy{Target: t, Class: class, Lifetime: testLifetime, NonIdempotent: nonIdempotent, Retries: retries}
}

// Answered implements entry.Observer.
func (h *fakeHost) Answered(teaseltack.Target, teaseltack.Class, *teaseltack.Answer) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.serves++
}

// Retried implements entry.Observer.
func (h *fakeHost) Retried(teaseltack.Target) {}

// Forward forwards a call with the next fault applied.
func (h *fakeHost) Forward(ctx context.Context, to teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	f := h.fleet
	f.mu.Lock()
	f.forwards++
	t := f.nextFault()
	if f.cutOff[h.record.Host] != f.cutOff[to.Host] {
		t = loseRequest
	}
	f.mu.Unlock()
	target := f.hosts[to.Host]
	switch t {
	case loseRequest:
		<-ctx.Done()
		return nil, teaseltack.Uncertain(teaseltack.ReasonConnection, "lost")
	case refuseConnection:
		return nil, teaseltack.Refuse(teaseltack.ReasonConnection, "refused")
	case duplicateRequest:
		go target.home.Load().Serve(ctx, call)
	}
	answer := target.home.Load().Serve(ctx, call)
	if t == loseAnswer {
		return nil, teaseltack.Uncertain(teaseltack.ReasonConnection, "cut")
	}
	if t == swapAnswer {
		other := *answer
		other.Nonce = "of another call"
		other.Body = []byte("for another caller")
		return &other, nil
	}
	return answer, nil
}

// IssueTickets calls the home directly.
func (h *fakeHost) IssueTickets(_ context.Context, to teaseltack.Record, target teaseltack.Target, count int) ([]teaseltack.Ticket, error) {
	if h.isCutOff() != h.fleet.hosts[to.Host].isCutOff() {
		return nil, errDown
	}
	tickets, refusal := h.fleet.hosts[to.Host].home.Load().IssueTickets(target, count)
	if refusal != nil {
		return nil, refusal
	}
	return tickets, nil
}

// Dispatch is the backend server: it counts the run, works, makes nested calls
// and echoes the body.
func (h *fakeHost) Dispatch(ctx context.Context, call *teaseltack.Call, token string) (*teaseltack.Answer, error) {
	f := h.fleet
	f.mu.Lock()
	f.runs[string(call.Payload.Body)]++
	f.calls[call.ID]++
	f.ranAt[call.ID] = append(f.ranAt[call.ID], h.record.Service)
	t := f.nextFault()
	f.mu.Unlock()
	work := h.work
	if t == slowServer {
		work = 2 * testLifetime
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "cancelled")
	}
	if t == loseAnswer {
		return nil, teaseltack.Uncertain(teaseltack.ReasonAnswerCut, "cut")
	}
	status := h.makeNestedCalls(ctx, call, token)
	return &teaseltack.Answer{Status: status, Body: call.Payload.Body}, nil
}

func (h *fakeHost) makeNestedCalls(ctx context.Context, call *teaseltack.Call, token string) int {
	f := h.fleet
	if f.dropContext {
		token = ""
	}
	statuses := make([]int, len(f.nested[h.record.Service]))
	var group sync.WaitGroup
	for i, t := range f.nested[h.record.Service] {
		callNested := func() {
			answer := h.entry.Load().Serve(ctx, &teaseltack.Request{ID: call.ID, Target: t, Retries: -1, Parent: token, Nested: true, Payload: call.Payload})
			statuses[i] = answer.Status
		}
		if f.parallel {
			group.Go(callNested)
		} else {
			callNested()
		}
	}
	group.Wait()
	for _, s := range statuses {
		if s != 200 {
			return 502
		}
	}
	return 200
}

func (f *fakeFleet) find(host teaseltack.HostID) (teaseltack.Record, bool) {
	h, ok := f.hosts[host]
	if !ok {
		return teaseltack.Record{}, false
	}
	return h.record, true
}

func (h *fakeHost) isCutOff() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.cutOff[h.record.Host]
}

func (f *fakeFleet) setCutOff(hosts map[teaseltack.HostID]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff = hosts
}

// hostStore is the platform as seen from one host: unreachable while the host
// is cut off.
type hostStore struct {
	host  *fakeHost
	store *fakeStore
}

// Get implements teaseltack.KeyValue.
func (s hostStore) Get(ctx context.Context, key string) (teaseltack.KVEntry, error) {
	if s.host.isCutOff() {
		return teaseltack.KVEntry{}, errDown
	}
	return s.store.Get(ctx, key)
}

// Swap implements teaseltack.KeyValue.
func (s hostStore) Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (teaseltack.KVEntry, error) {
	if s.host.isCutOff() {
		return teaseltack.KVEntry{}, errDown
	}
	return s.store.Swap(ctx, key, value, expected, lease)
}

// Watch implements teaseltack.KeyValue.
func (s hostStore) Watch(ctx context.Context, key string, known uint64, wait time.Duration) (teaseltack.KVEntry, error) {
	return s.store.Watch(ctx, key, known, wait)
}

func (f *fakeFleet) runsOf(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// fakeStore is a key-value service with injected faults.
type fakeStore struct {
	mu     sync.Mutex
	values map[string]teaseltack.KVEntry
	last   uint64
	down   bool
	// loseNext is the number of coming writes that take effect but return an
	// error.
	loseNext int
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]teaseltack.KVEntry{}}
}

var errDown = fmt.Errorf("the platform is down")

// Get implements teaseltack.KeyValue.
func (s *fakeStore) Get(_ context.Context, key string) (teaseltack.KVEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return teaseltack.KVEntry{}, errDown
	}
	return s.values[key], nil
}

// Swap implements teaseltack.KeyValue.
func (s *fakeStore) Swap(_ context.Context, key string, value []byte, expected uint64, _ time.Duration) (teaseltack.KVEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return teaseltack.KVEntry{}, errDown
	}
	if s.values[key].Revision != expected {
		return s.values[key], nil
	}
	s.last++
	s.values[key] = teaseltack.KVEntry{Value: value, Revision: s.last}
	if s.loseNext > 0 {
		s.loseNext--
		return teaseltack.KVEntry{}, errDown
	}
	written := s.values[key]
	written.Swapped = true
	return written, nil
}

// Watch implements teaseltack.KeyValue.
func (s *fakeStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (teaseltack.KVEntry, error) {
	return s.Get(ctx, key)
}

func target(service, method string) teaseltack.Target {
	return teaseltack.Target{Service: teaseltack.Service(service), Method: teaseltack.Method(method)}
}

func assertVerdict(t testing.TB, answer *teaseltack.Answer, want teaseltack.Verdict) {
	t.Helper()
	assert.Equal(t, answer.Verdict(), want, "refusal: %v", answer.Refusal)
}
