// Package scale measures the overhead of the control plane as the number of daemons
// grows. It runs the control components of many daemons in one process and counts
// the bytes of the protobuf messages that they exchange.
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
	settleTime    = 6 * time.Second
	idleTime      = 8 * time.Second
	churnTime     = 8 * time.Second
	changeTimeout = 13 * time.Second
	dataCentres   = 5
	policyCount   = 500
	churnPerS     = 1
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
func (m *Measurement) Run(ctx context.Context) []Point {
	overhead, err := callOverhead(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(m.cfg.Out, "measuring the overhead of a call: %v\n", err)
		return nil
	}
	_, _ = fmt.Fprintf(m.cfg.Out, "a control call takes %d bytes beside its messages\n", overhead)
	table := tabwriter.NewWriter(m.cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "daemons\tidle B/s\tchurn B/s\tB per change\tCPU share\tB per record\tin force p50 s\tmax s\tplatform calls/s\tper change\t")
	var points []Point
	for _, size := range m.cfg.Sizes {
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

// node holds the control components of one daemon.
type node struct {
	members  *member.Table
	holder   *active.Holder
	gossiper *gossip.Gossiper
	watcher  *watch.Watcher
	inForce  atomic.Int64
}

// simulation runs many nodes in one process. As their PeerClient it delivers
// control messages by function calls and counts the bytes.
type simulation struct {
	platform *fakekv.Store
	mu       sync.RWMutex
	nodes    map[string]*node
	bytes    atomic.Int64
	// overhead is the number of bytes that a call takes in addition to its messages.
	overhead int
	codec    wire.Codec
	source   *random.Source
}

func measure(ctx context.Context, size, overhead int) Point {
	before := heapBytes()
	s := newSimulation(size, overhead)
	defer s.close()
	time.Sleep(settleTime)
	p := Point{Daemons: size}
	p.BytesPerRecord = float64(heapBytes()-before) / float64(size) / float64(size)
	p.IdleBytesPerS, p.CPUShare, p.PlatformIdlePerS = s.measureTraffic(idleTime, size, func() {})
	s.change(ctx, size, &p)
	p.ChurnBytesPerS, _, _ = s.measureTraffic(churnTime, size, s.churn)
	return p
}

func newSimulation(size, overhead int) *simulation {
	s := &simulation{overhead: overhead, platform: fakekv.New(fakekv.Config{Timers: clock.Clock{}}), nodes: map[string]*node{}, source: random.Seeded(1)}
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
		s.addNode(r, records)
	}
	return s
}

func (s *simulation) addNode(own teaseltack.Record, known []teaseltack.Record) {
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
		Timers: timers, Rand: s.source, Members: n.members, Peers: s, Seeds: func() []string { return nil },
		Generation: n.holder.Generation, OnGeneration: n.holder.Confirm, OnDocument: adopt, OnUnreachable: func(teaseltack.DataCentre, bool) {},
	})
	n.watcher = watch.New(watch.Config{Timers: timers, Rand: s.source, Store: platformStore{s.platform}, Members: n.members, Holder: n.holder, OnDocument: adopt})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[own.PeerAddress] = n
}

func (s *simulation) close() {
	for _, n := range s.listNodes() {
		n.gossiper.Close()
		n.watcher.Close()
	}
}

func (s *simulation) listNodes() []*node {
	s.mu.RLock()
	defer s.mu.RUnlock()
	nodes := make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

// measureTraffic measures bytes per second and daemon, CPU time per second and
// daemon, and platform calls per second, while it calls action once a second.
func (s *simulation) measureTraffic(duration time.Duration, size int, action func()) (bytesPerS, cpuShare, platformPerS float64) {
	bytes, cpu, platformCalls := s.bytes.Load(), cpuTime(), s.platformCalls()
	started := time.Now()
	for time.Since(started) < duration {
		action()
		time.Sleep(time.Second)
	}
	seconds := time.Since(started).Seconds()
	bytesPerS = float64(s.bytes.Load()-bytes) / seconds / float64(size)
	cpuShare = (cpuTime() - cpu).Seconds() / seconds / float64(size)
	platformPerS = float64(s.platformCalls()-platformCalls) / seconds
	return bytesPerS, cpuShare, platformPerS
}

func (s *simulation) platformCalls() int {
	total := 0
	for _, n := range s.platform.Calls() {
		total += n
	}
	return total
}

// change applies policyCount policies and then one change to them, and measures
// the bytes, the platform calls and the time until the change is in force at each
// node.
func (s *simulation) change(ctx context.Context, size int, p *Point) {
	ed := editor.New(editor.Config{Timers: clock.Clock{}, Store: platformStore{s.platform}, OnDocument: func(*operatorv1.Document) {}})
	edit := policy.Edit{ChangeID: "first", Who: "slopes"}
	for i := range policyCount {
		edit.Set = append(edit.Set, &operatorv1.Policy{Service: fmt.Sprintf("service-%d", i/10), Method: fmt.Sprintf("method-%d", i%10), Class: "normal", LifetimeMs: 1000})
	}
	ed.Apply(ctx, edit, 0, false)
	s.awaitGeneration(1)
	time.Sleep(settleTime / 2)
	idle := s.bytes.Load()
	platformCalls := s.platformCalls()
	started := time.Now()
	ed.Apply(ctx, policy.Edit{ChangeID: "second", Who: "slopes", Set: edit.Set[:1]}, 0, false)
	accepted := time.Now()
	s.awaitGeneration(2)
	took := time.Since(started).Seconds()
	p.ChangeBytes = float64(s.bytes.Load()-idle)/float64(size) - p.IdleBytesPerS*took
	p.PlatformPerChange = float64(s.platformCalls() - platformCalls)
	var times []float64
	for _, n := range s.listNodes() {
		times = append(times, max(time.Unix(0, n.inForce.Load()).Sub(accepted).Seconds(), 0))
	}
	slices.Sort(times)
	p.InForceP50S, p.InForceMaxS = times[len(times)/2], times[len(times)-1]
}

func (s *simulation) awaitGeneration(generation teaseltack.Generation) {
	end := time.Now().Add(changeTimeout)
	for _, n := range s.listNodes() {
		for time.Now().Before(end) {
			if known, _ := n.holder.Generation(); known >= generation {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// churn increments the incarnations of churnPerS random nodes, as the replacement
// of a host does.
func (s *simulation) churn() {
	nodes := s.listNodes()
	for range churnPerS {
		n := nodes[s.source.Uint64()%uint64(len(nodes))]
		n.members.UpdateOwn(func(r *teaseltack.Record) { r.Incarnation++ })
	}
}

var _ teaseltack.PeerClient = (*simulation)(nil)

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

var _ teaseltack.KeyValue = platformStore{}
