// Package bench simulates the users' services, scaled to one machine, and
// measures their goodput and recovery. It runs three variants side by side:
// without daemons (direct), with daemons that only queue, first in, first out, and pick
// homes at random (thin), and with the daemons as they are (current). The report calls
// the variant the policy.
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
	warmUpTime   = 2 * time.Second
	triggerTime  = 6 * time.Second
	recoveryTime = 5 * time.Second
	// recoveryWindow is the resolution of the measured recovery time.
	recoveryWindow = 200 * time.Millisecond
	// steadyWindowCount is the number of consecutive good windows after which
	// service counts as recovered.
	steadyWindowCount = 3
	// normalServiceShare is the smallest share of complete answers that counts as
	// normal service, relative to the share before the trigger.
	normalServiceShare = 0.95
	// baseLoadShare is the offered load before and after the trigger, as a share of
	// the capacity.
	baseLoadShare = 0.7
	// slowFactor multiplies the service times of the deepest service in the slow
	// scenarios.
	slowFactor = 10
	crashTime  = time.Second
	coldTime   = 1500 * time.Millisecond
	// callerRepeats is how often a caller repeats a request that was not answered.
	callerRepeats = 3
	p99Quantile   = 0.99
)

// Config configures a measurement.
type Config struct {
	Out  io.Writer
	Seed byte
	// Users and Scenarios select what is run; an empty list selects all.
	Users     []string
	Scenarios []string
}

// Run is the result for one combination of user, scenario and variant.
type Run struct {
	User              string  `json:"user"`
	Scenario          string  `json:"scenario"`
	Variant           string  `json:"policy"`
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

// Report holds the results of all runs.
type Report struct {
	Seed int   `json:"seed"`
	Runs []Run `json:"runs"`
}

// scenario is a disturbance, the trigger, that lasts for triggerTime.
type scenario struct {
	name string
	// factor is the offered load during the trigger as a multiple of the capacity;
	// 0 keeps the base load.
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

// Run measures the selected users and scenarios and prints a table.
func (b *Bench) Run(ctx context.Context) Report {
	report := Report{Seed: int(b.cfg.Seed)}
	table := tabwriter.NewWriter(b.cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "user\tscenario\tpolicy\toffered/s\tgoodput/s\tgoodput-ratio\tprotected-ratio\tretries/request\twasted-share\tp99-ms\trecovery-s\tran-twice\t")
	for _, s := range []site{kijiko(), dutos()} {
		if !selected(b.cfg.Users, s.user) {
			continue
		}
		for _, sc := range scenarios {
			if !selected(b.cfg.Scenarios, sc.name) || ctx.Err() != nil {
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

func selected(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

func printRun(w io.Writer, r Run) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\t%d\t\n", r.User, r.Scenario, r.Variant,
		r.OfferedPerS, r.GoodputPerS, r.GoodputRatio, r.ProtectedRatio, r.RetriesPerRequest, r.WastedShare, r.P99Ms, r.RecoveryS, r.RanTwice)
}

// compare runs one scenario under the three variants concurrently.
func (b *Bench) compare(ctx context.Context, s site, sc scenario) []Run {
	variants := []string{variantDirect, variantThin, variantCurrent}
	runs := make([]Run, len(variants))
	var group sync.WaitGroup
	for i, variant := range variants {
		group.Go(func() { runs[i] = newTrial(s, sc, variant, b.cfg.Seed).run(ctx) })
	}
	group.Wait()
	return runs
}

// sample is the outcome of one root request.
type sample struct {
	kind     int
	sent     time.Duration
	took     time.Duration
	complete bool
	id       teaseltack.RequestID
}

// trial is one run of a scenario under one variant.
type trial struct {
	site     site
	scenario scenario
	rig      *rig
	mu       sync.Mutex
	samples  []sample
}

func newTrial(s site, sc scenario, variant string, seed byte) *trial {
	return &trial{site: s, scenario: sc, rig: newRig(s, variant, seed)}
}

func (t *trial) run(ctx context.Context) Run {
	defer t.rig.close()
	started := time.Now()
	events := t.planEvents()
	var group sync.WaitGroup
	n := 0
	for nextArrival := time.Duration(0); nextArrival < warmUpTime+triggerTime+recoveryTime && ctx.Err() == nil; {
		elapsed := time.Since(started)
		for len(events) > 0 && elapsed >= events[0].at {
			events[0].apply()
			events = events[1:]
		}
		if elapsed < nextArrival {
			time.Sleep(min(nextArrival-elapsed, time.Millisecond))
			continue
		}
		sent, number := nextArrival, n
		group.Go(func() { t.request(ctx, number, sent) })
		n++
		nextArrival += t.interarrivalTime(nextArrival)
	}
	group.Wait()
	return t.summarise()
}

type event struct {
	at    time.Duration
	apply func()
}

// planEvents returns the scenario's changes to the servers, in order of time.
func (t *trial) planEvents() []event {
	end := warmUpTime + triggerTime
	deepest := t.rig.serverModels(t.site.services[len(t.site.services)-1].name)
	middle := t.rig.serverModels(t.site.services[1].name)
	var events []event
	if t.scenario.slow {
		set := func(factor int64) func() {
			return func() {
				for _, s := range deepest {
					s.slowdown.Store(factor)
				}
			}
		}
		events = append(events, event{warmUpTime, set(slowFactor)}, event{end, set(1)})
	}
	if t.scenario.crash {
		crashAt := end - crashTime - coldTime
		crash := func() {
			for _, s := range middle {
				s.crashed.Store(true)
			}
		}
		restart := func() {
			for _, s := range middle {
				s.coldUntil.Store(time.Now().Add(coldTime).UnixNano())
				s.crashed.Store(false)
			}
		}
		events = append(events, event{crashAt, crash}, event{crashAt + crashTime, restart})
	}
	return events
}

func (t *trial) duringTrigger(at time.Duration) bool {
	return at >= warmUpTime && at < warmUpTime+triggerTime
}

func (t *trial) rate(at time.Duration) float64 {
	if t.duringTrigger(at) && t.scenario.factor > 0 {
		return t.site.capacity() * t.scenario.factor
	}
	return t.site.capacity() * baseLoadShare
}

// interarrivalTime draws the time to the next request from an exponential
// distribution.
func (t *trial) interarrivalTime(at time.Duration) time.Duration {
	const mantissa = 53
	uniform := (float64(t.rig.source.Uint64()>>(64-mantissa)) + 1) / (1 << mantissa)
	return time.Duration(-math.Log(uniform) / t.rate(at) * float64(time.Second))
}

// request sends one root request and, like a caller that retries hard, repeats it
// at once until it is answered.
func (t *trial) request(ctx context.Context, n int, sent time.Duration) {
	kind := t.kindOf(n)
	ctx, cancel := context.WithTimeout(ctx, t.site.lifetime)
	defer cancel()
	id := teaseltack.RequestID(fmt.Sprintf("%s-%d", t.rig.variant, n))
	began := time.Now()
	complete := false
	for attempt := 0; attempt <= callerRepeats && !complete && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			t.rig.counters.Retried(t.site.kinds[kind].target)
		}
		status, final := t.attempt(ctx, kind, id, attempt, began)
		complete = status == http.StatusOK && ctx.Err() == nil
		if final {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, sample{kind: kind, sent: sent, took: time.Since(began), complete: complete, id: id})
}

// kindOf returns the kind of request n. The golden ratio spreads the kinds evenly
// over time in proportion to their shares.
func (t *trial) kindOf(n int) int {
	const goldenRatio = 0.6180339887498949
	_, position := math.Modf(float64(n) * goldenRatio)
	for i, k := range t.site.kinds {
		position -= k.share
		if position < 0 {
			return i
		}
	}
	return 0
}

// attempt sends a request once and returns its status. The second result is true
// if the caller must not repeat the request, because a repeat could run a
// non-idempotent request twice.
func (t *trial) attempt(ctx context.Context, kind int, id teaseltack.RequestID, attempt int, began time.Time) (int, bool) {
	k := t.site.kinds[kind]
	if !sleep(ctx, callerDelay) {
		return http.StatusGatewayTimeout, true
	}
	defer sleep(ctx, callerDelay)
	if t.rig.variant == variantDirect {
		return t.rig.callDirect(ctx, id, k.target, began.Add(t.site.lifetime), 0), false
	}
	n := t.rig.nodes[t.rig.source.Uint64()%uint64(len(t.rig.nodes))]
	answer := n.entry.Serve(ctx, &teaseltack.Request{
		ID: id, Target: k.target, CallerAttempt: attempt, Retries: -1, Lifetime: t.site.lifetime - time.Since(began) - callerDelay,
	})
	if answer.Refusal != nil {
		return http.StatusServiceUnavailable, k.nonIdempotent && answer.Refusal.Verdict != teaseltack.NotRun
	}
	return answer.Status, k.nonIdempotent
}
