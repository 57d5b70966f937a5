package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"teaseltack"
	"teaseltack/core/admit"
	"teaseltack/core/entry"
	"teaseltack/core/fifo"
	"teaseltack/core/home"
	"teaseltack/core/levels"
	"teaseltack/core/picker"
	"teaseltack/core/scope"
	"teaseltack/core/ticket"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// The compared variants, as printed in the report.
const (
	variantDirect  = "direct"
	variantThin    = "thin"
	variantCurrent = "current"
)

// node is one backend server host: the decision components of its daemon and a
// model of its server.
type node struct {
	server  *serverModel
	gate    teaseltack.Gate
	home    *home.Home
	entry   *entry.Entry
	tickets *ticket.Table
	closers []func()
}

// rig simulates one site under one variant. Calls between hosts are function calls
// that sleep for the network delay.
type rig struct {
	site     site
	variant  string
	counters *counters
	nodes    []*node
	byHost   map[teaseltack.HostID]*node
	source   *random.Source
}

func newRig(s site, variant string, seed byte) *rig {
	r := &rig{site: s, variant: variant, counters: newCounters(), byHost: map[teaseltack.HostID]*node{}, source: random.Seeded(seed)}
	for _, size := range s.services {
		for i := range size.endpoints {
			r.addNode(size, i)
		}
	}
	r.setMembership()
	return r
}

func (r *rig) addNode(size serviceSize, i int) {
	record := teaseltack.Record{
		Host:       teaseltack.HostID(fmt.Sprintf("%s-%d", size.name, i)),
		DataCentre: r.site.dataCentres[i%len(r.site.dataCentres)],
		Service:    size.name, Slots: size.slots / slotScale, Connections: size.connections / slotScale,
		Serving: teaseltack.Ready,
	}
	n := &node{server: newServerModel(record, size, workFactors[i%len(workFactors)], r.source, r.counters)}
	n.server.callNested = func(ctx context.Context, call *teaseltack.Call, token string) int {
		return r.callNestedTarget(ctx, n, call, token)
	}
	r.nodes = append(r.nodes, n)
	r.byHost[record.Host] = n
	if r.variant != variantDirect {
		r.addDaemon(n, record)
	}
}

// addDaemon creates the decision components of a node's daemon.
func (r *rig) addDaemon(n *node, record teaseltack.Record) {
	timers := clock.Clock{}
	levelTable := levels.New(levels.Config{Timers: timers})
	scopes := scope.New(scope.Config{Rand: r.source})
	n.gate = r.newGate(n, record)
	n.tickets = ticket.New(ticket.Config{Timers: timers, Rand: r.source, Host: record.Host, Incarnation: 1, Lifetime: time.Minute, MaxRecords: 1 << 20, MaxKeptBytes: 1 << 20})
	n.home = home.New(home.Config{Timers: timers, Host: record.Host, Gate: n.gate, Server: n.server, Tickets: n.tickets, Scopes: scopes, Levels: levelTable})
	n.home.SetServing(record.Service, teaseltack.Ready)
	n.entry = entry.New(entry.Config{
		Timers: timers, Rand: r.source, Host: record.Host, Policies: r, Levels: levelTable, Scopes: scopes, Homes: network{r, record.DataCentre},
		Picker:   picker.New(picker.Config{Timers: timers, Rand: r.source, DataCentre: record.DataCentre, Uniform: r.variant == variantThin}),
		Observer: r.counters, NoOverloadControl: r.variant == variantThin,
	})
	n.closers = append(n.closers, n.tickets.Close, n.home.Close)
}

func (r *rig) newGate(n *node, record teaseltack.Record) teaseltack.Gate {
	timers := clock.Clock{}
	if r.variant == variantThin {
		return fifo.New(fifo.Config{Timers: timers, Limit: record.Slots, QueueLength: record.Connections - record.Slots})
	}
	gate := admit.New(admit.Config{Timers: timers, Slots: record.Slots, Connections: record.Connections, MaxWait: r.site.maxWait})
	n.closers = append(n.closers, gate.Close)
	return gate
}

// setMembership sets the same membership at every daemon.
func (r *rig) setMembership() {
	records := r.records()
	homes := map[teaseltack.Service][]teaseltack.HostID{}
	for _, record := range records {
		homes[record.Service] = append(homes[record.Service], record.Host)
	}
	for _, n := range r.nodes {
		if n.entry == nil {
			continue
		}
		n.entry.UpdateHomes(records, homes)
	}
}

func (r *rig) records() []teaseltack.Record {
	var records []teaseltack.Record
	for _, n := range r.nodes {
		records = append(records, n.server.record)
	}
	return records
}

// Policy implements teaseltack.Policies. Methods of nested calls are idempotent
// and of normal class.
func (r *rig) Policy(t teaseltack.Target) (teaseltack.Policy, bool) {
	policy := teaseltack.Policy{Target: t, Class: teaseltack.ClassNormal, Lifetime: r.site.lifetime, Retries: r.site.retries}
	for _, k := range r.site.kinds {
		if k.target == t {
			policy.Class = k.class
			policy.NonIdempotent = k.nonIdempotent
		}
	}
	return policy, true
}

// nextTarget returns the target that a call to t calls in turn, or false at the
// end of the path. The method of a nested call contains the method of its root
// request, which identifies the path.
func (r *rig) nextTarget(t teaseltack.Target) (teaseltack.Target, bool) {
	for _, k := range r.site.kinds {
		if k.target.Method != t.Method && "of-"+k.target.Method != t.Method {
			continue
		}
		for i, service := range k.path[:len(k.path)-1] {
			if service == t.Service {
				return teaseltack.Target{Service: k.path[i+1], Method: "of-" + k.target.Method}, true
			}
		}
	}
	return teaseltack.Target{}, false
}

func (r *rig) callNestedTarget(ctx context.Context, n *node, call *teaseltack.Call, token string) int {
	target, ok := r.nextTarget(call.Target)
	if !ok {
		return http.StatusOK
	}
	if r.variant == variantDirect {
		return r.callDirect(ctx, call.ID, target, call.Deadline, directRetries)
	}
	answer := n.entry.Serve(ctx, &teaseltack.Request{ID: call.ID, Target: target, Retries: -1, Parent: token, Nested: true})
	if answer.Refusal != nil {
		return http.StatusBadGateway
	}
	return answer.Status
}

// directRetries is the number of retries at each server of the chain without
// daemons.
const directRetries = 2

// callDirect sends a call, without daemons, to random servers until one answers
// 200, the retries are used up or the context ends.
func (r *rig) callDirect(ctx context.Context, id teaseltack.RequestID, t teaseltack.Target, deadline time.Time, retries int) int {
	policy, _ := r.Policy(t)
	status := http.StatusBadGateway
	for attempt := range retries + 1 {
		if attempt > 0 {
			r.counters.Retried(t)
		}
		n := r.randomServer(t.Service)
		if !sleep(ctx, r.site.dataCentreDelay) {
			return http.StatusGatewayTimeout
		}
		call := &teaseltack.Call{ID: id, Target: t, NonIdempotent: policy.NonIdempotent, Deadline: deadline}
		answer, err := n.server.Dispatch(ctx, call, "")
		if err == nil {
			status = answer.Status
		}
		if status == http.StatusOK || ctx.Err() != nil {
			return status
		}
	}
	return status
}

func (r *rig) randomServer(service teaseltack.Service) *node {
	var nodes []*node
	for _, n := range r.nodes {
		if n.server.record.Service == service {
			nodes = append(nodes, n)
		}
	}
	return nodes[r.source.Uint64()%uint64(len(nodes))]
}

func (r *rig) serverModels(service teaseltack.Service) []*serverModel {
	var models []*serverModel
	for _, n := range r.nodes {
		if n.server.record.Service == service {
			models = append(models, n.server)
		}
	}
	return models
}

func (r *rig) close() {
	for _, n := range r.nodes {
		for _, closer := range n.closers {
			closer()
		}
	}
}

// network forwards calls between the hosts of a rig with the network delay.
type network struct {
	rig  *rig
	from teaseltack.DataCentre
}

var _ teaseltack.HomeClient = network{}

func (w network) delay(to teaseltack.Record) time.Duration {
	const local = 100 * time.Microsecond
	if to.DataCentre == w.from {
		return local
	}
	return w.rig.site.dataCentreDelay
}

// Forward implements teaseltack.HomeClient.
func (w network) Forward(ctx context.Context, to teaseltack.Record, call *teaseltack.Call) (*teaseltack.Answer, error) {
	if !sleep(ctx, w.delay(to)) {
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "context ended")
	}
	answer := w.rig.byHost[to.Host].home.Serve(ctx, call)
	if !sleep(ctx, w.delay(to)) {
		return nil, teaseltack.Uncertain(teaseltack.ReasonLifetime, "context ended")
	}
	return answer, nil
}

// IssueTickets implements teaseltack.HomeClient.
func (w network) IssueTickets(_ context.Context, to teaseltack.Record, target teaseltack.Target, count int) ([]teaseltack.Ticket, error) {
	tickets, refusal := w.rig.byHost[to.Host].home.IssueTickets(target, count)
	if refusal != nil {
		return nil, refusal
	}
	return tickets, nil
}
