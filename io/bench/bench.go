// Package bench measures goodput and recovery of the users' services, scaled to
// one machine, side by side without daemons, with the thin baseline and with
// the current policy.
package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"teaseltack"
)

const (
	warmTime    = 2 * time.Second
	triggerTime = 6 * time.Second
	afterTime   = 5 * time.Second
	// window is the length of the steps in which recovery is told.
	window = 200 * time.Millisecond
	// steadyWindows is the number of good windows in a row that count as normal
	// service.
	steadyWindows = 3
	// normalShare is the part of the earlier service that counts as normal.
	normalShare = 0.95
	// baseShare is the load before and after the trigger, as a part of the
	// capacity.
	baseShare = 0.7
	// slowFactor is how much slower the deepest service gets.
	slowFactor = 10
	crashTime  = time.Second
	coldTime   = 1500 * time.Millisecond
	// callerRepeats is how often callers repeat what was not answered.
	callerRepeats = 3
	percent99     = 0.99
)

// Config configures a measurement.
type Config struct {
	Out  io.Writer
	Seed byte
	// Users and Scenarios limit what is run; empty runs all.
	Users     []string
	Scenarios []string
}

// Run is the result of one user, scenario and policy.
type Run struct {
	User              string  `json:"user"`
	Scenario          string  `json:"scenario"`
	Policy            string  `json:"policy"`
	GoodputRatio      float64 `json:"goodput-ratio"`
	ProtectedRatio    float64 `json:"protected-ratio"`
	RetriesPerRequest float64 `json:"retries-per-request"`
	WastedShare       float64 `json:"wasted-share"`
	P99Ms             float64 `json:"p99-ms"`
	RecoveryS         float64 `json:"recovery-s"`
	GoodputPerS       float64 `json:"goodput-per-s"`
	OfferedPerS       float64 `json:"offered-per-s"`
	RanTwice          int     `json:"ran-twice"`
}

// Report is all results.
type Report struct {
	Seed int   `json:"seed"`
	Runs []Run `json:"runs"`
}

// scenario is a trigger that is on for triggerTime.
type scenario struct {
	name string
	// factor multiplies the capacity to the offered load while the trigger is
	// on; 0 keeps the base load.
	factor float64
	slow   bool
	crash  bool
}

var scenarios = []scenario{
	{name: "steady"},
	{name: "surge-2x", factor: 2},
	{name: "surge-4x", factor: 4},
	{name: "slow-deep", slow: true},
	{name: "crash-cold", crash: true},
	{name: "surge-2x+slow-deep", factor: 2, slow: true},
}

// Bench runs the measurements.
type Bench struct {
	cfg Config
}

// New returns a bench.
func New(cfg Config) *Bench {
	return &Bench{cfg: cfg}
}

// Run measures everything and prints a table.
func (b *Bench) Run(ctx context.Context) Report {
	report := Report{Seed: int(b.cfg.Seed)}
	table := tabwriter.NewWriter(b.cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "user\tscenario\tpolicy\toffered/s\tgoodput/s\tgoodput-ratio\tprotected-ratio\tretries/request\twasted-share\tp99-ms\trecovery-s\tran-twice\t")
	for _, s := range []site{kijiko(), dutos()} {
		if !chosen(b.cfg.Users, s.user) {
			continue
		}
		for _, sc := range scenarios {
			if !chosen(b.cfg.Scenarios, sc.name) || ctx.Err() != nil {
				continue
			}
			for _, run := range b.compare(ctx, s, sc) {
				report.Runs = append(report.Runs, run)
				printRun(table, run)
			}
			_ = table.Flush()
		}
	}
	return report
}

func chosen(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

func printRun(w io.Writer, r Run) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\t%d\t\n", r.User, r.Scenario, r.Policy,
		r.OfferedPerS, r.GoodputPerS, r.GoodputRatio, r.ProtectedRatio, r.RetriesPerRequest, r.WastedShare, r.P99Ms, r.RecoveryS, r.RanTwice)
}

// compare runs the three policies side by side.
func (b *Bench) compare(ctx context.Context, s site, sc scenario) []Run {
	policies := []string{policyDirect, policyThin, policyCurrent}
	runs := make([]Run, len(policies))
	var group sync.WaitGroup
	for i, policy := range policies {
		group.Go(func() { runs[i] = newTrial(s, sc, policy, b.cfg.Seed).run(ctx) })
	}
	group.Wait()
	return runs
}

// sample is the end of one root request.
type sample struct {
	kind  int
	sent  time.Duration
	took  time.Duration
	whole bool
	id    teaseltack.RequestID
}

// trial is one run of one policy.
type trial struct {
	site     site
	scenario scenario
	rig      *rig
	mu       sync.Mutex
	samples  []sample
}

func newTrial(s site, sc scenario, policy string, seed byte) *trial {
	return &trial{site: s, scenario: sc, rig: newRig(s, policy, seed)}
}

func (t *trial) run(ctx context.Context) Run {
	defer t.rig.close()
	started := time.Now()
	triggers := t.schedule()
	var group sync.WaitGroup
	n := 0
	for next := time.Duration(0); next < warmTime+triggerTime+afterTime && ctx.Err() == nil; {
		elapsed := time.Since(started)
		for len(triggers) > 0 && elapsed >= triggers[0].at {
			triggers[0].pull()
			triggers = triggers[1:]
		}
		if elapsed < next {
			time.Sleep(min(next-elapsed, time.Millisecond))
			continue
		}
		sent, number := next, n
		group.Go(func() { t.request(ctx, number, sent) })
		n++
		next += t.gap(next)
	}
	group.Wait()
	return t.summarise()
}

type trigger struct {
	at   time.Duration
	pull func()
}

// schedule lists what happens to the servers and when.
func (t *trial) schedule() []trigger {
	end := warmTime + triggerTime
	deepest := t.rig.stations(t.site.services[len(t.site.services)-1].name)
	middle := t.rig.stations(t.site.services[1].name)
	var triggers []trigger
	if t.scenario.slow {
		set := func(factor int64) func() {
			return func() {
				for _, st := range deepest {
					st.slow.Store(factor)
				}
			}
		}
		triggers = append(triggers, trigger{warmTime, set(slowFactor)}, trigger{end, set(1)})
	}
	if t.scenario.crash {
		crashAt := end - crashTime - coldTime
		crash := func() {
			for _, st := range middle {
				st.crashed.Store(true)
			}
		}
		restart := func() {
			for _, st := range middle {
				st.coldUntil.Store(time.Now().Add(coldTime).UnixNano())
				st.crashed.Store(false)
			}
		}
		triggers = append(triggers, trigger{crashAt, crash}, trigger{crashAt + crashTime, restart})
	}
	return triggers
}

func (t *trial) triggered(at time.Duration) bool {
	return at >= warmTime && at < warmTime+triggerTime
}

func (t *trial) rate(at time.Duration) float64 {
	if t.triggered(at) && t.scenario.factor > 0 {
		return t.site.capacity() * t.scenario.factor
	}
	return t.site.capacity() * baseShare
}

// gap draws an exponential time to the next request.
func (t *trial) gap(at time.Duration) time.Duration {
	const mantissa = 53
	uniform := (float64(t.rig.source.Uint64()>>(64-mantissa)) + 1) / (1 << mantissa)
	return time.Duration(-math.Log(uniform) / t.rate(at) * float64(time.Second))
}

// request sends one root request and repeats it as a hard-retrying caller.
func (t *trial) request(ctx context.Context, n int, sent time.Duration) {
	kind := t.kindOf(n)
	ctx, cancel := context.WithTimeout(ctx, t.site.lifetime)
	defer cancel()
	id := teaseltack.RequestID(fmt.Sprintf("%s-%d", t.rig.policy, n))
	began := time.Now()
	whole := false
	for attempt := 0; attempt <= callerRepeats && !whole && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			t.rig.ledger.Retried(t.site.kinds[kind].target)
		}
		status, final := t.attempt(ctx, kind, id, attempt, began)
		whole = status == http.StatusOK && ctx.Err() == nil
		if final {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, sample{kind: kind, sent: sent, took: time.Since(began), whole: whole, id: id})
}

// kindOf spreads the kinds evenly by their shares.
func (t *trial) kindOf(n int) int {
	const golden = 0.6180339887498949
	_, place := math.Modf(float64(n) * golden)
	for i, k := range t.site.kinds {
		place -= k.share
		if place < 0 {
			return i
		}
	}
	return 0
}

// attempt sends a request once. It is final when a repeat could run a
// non-idempotent request twice.
func (t *trial) attempt(ctx context.Context, kind int, id teaseltack.RequestID, attempt int, began time.Time) (int, bool) {
	k := t.site.kinds[kind]
	if !pause(ctx, clientDelay) {
		return http.StatusGatewayTimeout, true
	}
	defer pause(ctx, clientDelay)
	if t.rig.policy == policyDirect {
		return t.rig.callDirect(ctx, id, k.target, began.Add(t.site.lifetime), 0), false
	}
	n := t.rig.nodes[t.rig.source.Uint64()%uint64(len(t.rig.nodes))]
	answer := n.entry.Serve(ctx, &teaseltack.Request{
		ID: id, Target: k.target, Attempt: attempt, Retries: -1, Lifetime: t.site.lifetime - time.Since(began) - clientDelay,
	})
	if answer.Refusal != nil {
		return http.StatusServiceUnavailable, k.nonIdempotent && answer.Refusal.Verdict != teaseltack.NotRun
	}
	return answer.Status, k.nonIdempotent
}
