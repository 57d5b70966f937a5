// Package scale measures what control costs as the number of daemons grows: the
// control parts of many daemons run in one process on an overlay that counts the
// bytes of the real messages.
package scale

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/editor"
	"teaseltack/core/gossip"
	"teaseltack/core/member"
	"teaseltack/core/policy"
	"teaseltack/core/watch"
	"teaseltack/io/clock"
	"teaseltack/io/fakekv"
	"teaseltack/io/random"
	"teaseltack/io/wire"
)

const (
	settleTime  = 6 * time.Second
	idleTime    = 8 * time.Second
	churnTime   = 8 * time.Second
	changeWait  = 13 * time.Second
	dataCentres = 5
	policyCount = 500
	churnPerS   = 1
)

// Config configures a measurement.
type Config struct {
	Out   io.Writer
	Sizes []int
}

// Point is the result for one number of daemons.
type Point struct {
	Daemons           int     `json:"daemons"`
	IdleBytesPerS     float64 `json:"idle-bytes-per-s"`
	ChurnBytesPerS    float64 `json:"churn-bytes-per-s"`
	ChangeBytes       float64 `json:"change-bytes"`
	CPUShare          float64 `json:"cpu-share"`
	BytesPerRecord    float64 `json:"memory-bytes-per-record"`
	InForceP50S       float64 `json:"in-force-p50-s"`
	InForceMaxS       float64 `json:"in-force-max-s"`
	PlatformIdlePerS  float64 `json:"platform-idle-calls-per-s"`
	PlatformPerChange float64 `json:"platform-calls-per-change"`
}

// Measurement runs the measurement.
type Measurement struct {
	cfg Config
}

// New returns a measurement.
func New(cfg Config) *Measurement {
	return &Measurement{cfg: cfg}
}

// Run measures each size and prints a table.
func (s *Measurement) Run(ctx context.Context) []Point {
	overhead, err := callOverhead(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(s.cfg.Out, "measuring the overhead of a call: %v\n", err)
		return nil
	}
	_, _ = fmt.Fprintf(s.cfg.Out, "a control call takes %d bytes beside its messages\n", overhead)
	table := tabwriter.NewWriter(s.cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "daemons\tidle B/s\tchurn B/s\tB per change\tCPU share\tB per record\tin force p50 s\tmax s\tplatform calls/s\tper change\t")
	var points []Point
	for _, size := range s.cfg.Sizes {
		if ctx.Err() != nil {
			break
		}
		p := measure(ctx, size, overhead)
		points = append(points, p)
		_, _ = fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.0f\t%.4f\t%.0f\t%.3f\t%.3f\t%.1f\t%.1f\t\n", p.Daemons, p.IdleBytesPerS, p.ChurnBytesPerS, p.ChangeBytes,
			p.CPUShare, p.BytesPerRecord, p.InForceP50S, p.InForceMaxS, p.PlatformIdlePerS, p.PlatformPerChange)
		_ = table.Flush()
	}
	return points
}

// node is the control part of one daemon.
type node struct {
	members  *member.Table
	holder   *active.Holder
	gossiper *gossip.Gossiper
	watcher  *watch.Watcher
	inForce  atomic.Int64
}

// fleet is many nodes on one counting overlay.
type fleet struct {
	platform *fakekv.Store
	mu       sync.RWMutex
	nodes    map[string]*node
	bytes    atomic.Int64
	// overhead is the bytes beside the messages of one call.
	overhead int
	codec    wire.Codec
	source   *random.Source
}

func measure(ctx context.Context, size, overhead int) Point {
	before := heapBytes()
	f := newFleet(size, overhead)
	defer f.close()
	time.Sleep(settleTime)
	p := Point{Daemons: size}
	p.BytesPerRecord = float64(heapBytes()-before) / float64(size) / float64(size)
	p.IdleBytesPerS, p.CPUShare, p.PlatformIdlePerS = f.watch(idleTime, size, func() {})
	f.change(ctx, size, &p)
	p.ChurnBytesPerS, _, _ = f.watch(churnTime, size, f.churn)
	return p
}

func newFleet(size, overhead int) *fleet {
	f := &fleet{overhead: overhead, platform: fakekv.New(fakekv.Config{Timers: clock.Clock{}}), nodes: map[string]*node{}, source: random.Seeded(1)}
	records := make([]teaseltack.Record, size)
	for i := range records {
		records[i] = teaseltack.Record{
			Host: teaseltack.HostID(fmt.Sprintf("host-%d", i)), Version: 1, Incarnation: 1, Serving: teaseltack.Ready,
			DataCentre: teaseltack.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)), Region: "region",
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250), Service: teaseltack.Service(fmt.Sprintf("service-%d", i%50)),
			Slots: 100, Connections: 800,
		}
	}
	for _, r := range records {
		f.add(r, records)
	}
	return f
}

func (f *fleet) add(own teaseltack.Record, known []teaseltack.Record) {
	timers := clock.Clock{}
	n := &node{}
	n.members = member.New(member.Config{Timers: timers, Own: own})
	n.members.Merge(known)
	n.holder = active.New(active.Config{Timers: timers, OnChange: func(*operatorv1.Document) {
		n.inForce.Store(time.Now().UnixNano())
		if n.gossiper != nil {
			n.gossiper.ExchangeAll()
		}
	}})
	adopt := func(d *operatorv1.Document) { n.holder.Adopt(d) }
	n.gossiper = gossip.New(gossip.Config{
		Timers: timers, Rand: f.source, Members: n.members, Peers: f, Seeds: func() []string { return nil },
		Generation: n.holder.Generation, OnGeneration: n.holder.Confirm, OnDocument: adopt, OnUnreachable: func(teaseltack.DataCentre, bool) {},
	})
	n.watcher = watch.New(watch.Config{Timers: timers, Rand: f.source, Store: store{f.platform}, Members: n.members, Holder: n.holder, OnDocument: adopt})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[own.PeerAddress] = n
}

func (f *fleet) close() {
	for _, n := range f.list() {
		n.gossiper.Close()
		n.watcher.Close()
	}
}

func (f *fleet) list() []*node {
	f.mu.RLock()
	defer f.mu.RUnlock()
	nodes := make([]*node, 0, len(f.nodes))
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

// watch counts bytes per second and daemon, CPU per daemon and platform calls
// per second while each runs once a second.
func (f *fleet) watch(length time.Duration, size int, each func()) (bytesPerS, cpuShare, platformPerS float64) {
	bytes, cpu, calls := f.bytes.Load(), cpuTime(), f.calls()
	started := time.Now()
	for time.Since(started) < length {
		each()
		time.Sleep(time.Second)
	}
	seconds := time.Since(started).Seconds()
	bytesPerS = float64(f.bytes.Load()-bytes) / seconds / float64(size)
	cpuShare = (cpuTime() - cpu).Seconds() / seconds / float64(size)
	platformPerS = float64(f.calls()-calls) / seconds
	return bytesPerS, cpuShare, platformPerS
}

func (f *fleet) calls() int {
	total := 0
	for _, n := range f.platform.Calls() {
		total += n
	}
	return total
}

// change writes a document of policyCount policies and one change to it, and
// times when the change is in force at each node.
func (f *fleet) change(ctx context.Context, size int, p *Point) {
	ed := editor.New(editor.Config{Timers: clock.Clock{}, Store: store{f.platform}, OnDocument: func(*operatorv1.Document) {}})
	edit := policy.Edit{ChangeID: "first", Who: "slopes"}
	for i := range policyCount {
		edit.Set = append(edit.Set, &operatorv1.Policy{Service: fmt.Sprintf("service-%d", i/10), Method: fmt.Sprintf("method-%d", i%10), Class: "normal", LifetimeMs: 1000})
	}
	ed.Apply(ctx, edit, 0, false)
	f.awaitGeneration(1)
	time.Sleep(settleTime / 2)
	idle := f.bytes.Load()
	calls := f.calls()
	started := time.Now()
	ed.Apply(ctx, policy.Edit{ChangeID: "second", Who: "slopes", Set: edit.Set[:1]}, 0, false)
	accepted := time.Now()
	f.awaitGeneration(2)
	took := time.Since(started).Seconds()
	p.ChangeBytes = float64(f.bytes.Load()-idle)/float64(size) - p.IdleBytesPerS*took
	p.PlatformPerChange = float64(f.calls() - calls)
	var times []float64
	for _, n := range f.list() {
		times = append(times, max(time.Unix(0, n.inForce.Load()).Sub(accepted).Seconds(), 0))
	}
	slices.Sort(times)
	p.InForceP50S, p.InForceMaxS = times[len(times)/2], times[len(times)-1]
}

func (f *fleet) awaitGeneration(generation teaseltack.Generation) {
	end := time.Now().Add(changeWait)
	for _, n := range f.list() {
		for time.Now().Before(end) {
			if known, _ := n.holder.Generation(); known >= generation {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// churn restarts the announcements of churnPerS servers, as a replaced host
// does.
func (f *fleet) churn() {
	nodes := f.list()
	for range churnPerS {
		n := nodes[f.source.Uint64()%uint64(len(nodes))]
		n.members.UpdateOwn(func(r *teaseltack.Record) { r.Incarnation++ })
	}
}

var _ teaseltack.PeerClient = (*fleet)(nil)

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

var _ teaseltack.KeyValue = store{}
