// Package demo runs a stand-in platform, daemons and backend servers in one process
// and checks the main promises: at most one run of a payment, protected payments
// in a surge, and recovery after it.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"teaseltack"
	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/io/intact"
	"teaseltack/io/load"
)

const (
	requestTime   = time.Second
	surgeTime     = 3 * time.Second
	recoveryBound = 2 * time.Second
	probeInterval = 20 * time.Millisecond
	steadyProbes  = 10
	// surgeFactor is the offered load in the surge as a multiple of the capacity.
	surgeFactor = 4
	// protectedShare is the share of protected requests in the surge.
	protectedShare = 0.1
)

// Config configures a demo.
type Config struct {
	Out io.Writer
	Log hclog.Logger
}

// Demo runs the demo for the services of both users.
type Demo struct {
	cfg     Config
	results []result
}

// result is one row of the result table.
type result struct {
	user    string
	promise string
	seen    string
	kept    bool
}

// site describes one user's hosts, policies and requests.
type site struct {
	user     string
	hosts    []host
	policies []*operatorv1.Policy
	lookup   teaseltack.Target
	payment  teaseltack.Target
	capacity float64
}

// New returns a demo.
func New(cfg Config) *Demo {
	return &Demo{cfg: cfg}
}

func target(service, method string) teaseltack.Target {
	return teaseltack.Target{Service: teaseltack.Service(service), Method: teaseltack.Method(method)}
}

func policyOf(t teaseltack.Target, class teaseltack.Class, nonIdempotent bool, retries int32) *operatorv1.Policy {
	return &operatorv1.Policy{
		Service: string(t.Service), Method: string(t.Method), Class: class.String(),
		LifetimeMs: requestTime.Milliseconds(), NonIdempotent: nonIdempotent, Retries: retries,
	}
}

// newSite returns a site with three hosts in two data centres: one server of the
// upper service, which makes nested calls to two servers of the lower service
// with different slots and service times.
func newSite(user, upper, lower, lookup, payment string, dataCentres [2]string) site {
	const retries = 3
	lookupTarget, paymentTarget, checkTarget := target(upper, lookup), target(lower, payment), target(lower, "check")
	return site{
		user:    user,
		lookup:  lookupTarget,
		payment: paymentTarget,
		hosts: []host{
			{name: user + "-" + lower + "-1", dataCentre: dataCentres[0], service: paymentTarget.Service, slots: 6, work: 20 * time.Millisecond},
			{name: user + "-" + lower + "-2", dataCentre: dataCentres[1], service: paymentTarget.Service, slots: 3, work: 30 * time.Millisecond},
			{name: user + "-" + upper + "-1", dataCentre: dataCentres[0], service: lookupTarget.Service, slots: 24, work: 10 * time.Millisecond, nested: []teaseltack.Target{checkTarget}},
		},
		policies: []*operatorv1.Policy{
			policyOf(lookupTarget, teaseltack.ClassNormal, false, retries),
			policyOf(checkTarget, teaseltack.ClassNormal, false, retries),
			policyOf(paymentTarget, teaseltack.ClassProtected, true, retries),
		},
		capacity: 6/0.020 + 3/0.030,
	}
}

// Run runs the demo for both sites and returns an error if a promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	sites := []site{
		newSite("kijiko", "orders", "till", "look-up", "post-payment", [2]string{"arusha-a", "arusha-b"}),
		newSite("dutos", "mapa", "reservas", "check-route", "reserve-segment", [2]string{"sul-a", "sul-b"}),
	}
	for _, s := range sites {
		if err := d.runSite(ctx, s); err != nil {
			return fmt.Errorf("running the demo of %s: %w", s.user, err)
		}
	}
	return d.printResults()
}

func (d *Demo) printf(user, format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Out, "%-7s %s\n", user, fmt.Sprintf(format, args...))
}

func (d *Demo) addResult(user, promise string, kept bool, format string, args ...any) {
	seen := fmt.Sprintf(format, args...)
	d.results = append(d.results, result{user, promise, seen, kept})
	d.printf(user, "%s: %s", promise, seen)
}

func (d *Demo) runSite(ctx context.Context, s site) error {
	d.printf(s.user, "starting a stand-in platform, three daemons in two data centres and unequal backend servers")
	f, err := startFleet(ctx, d.cfg.Log, s.hosts)
	if err != nil {
		return err
	}
	steps := []func(context.Context, site, *fleet) error{d.configure, d.nested, d.repeatPayment, d.surge}
	for _, step := range steps {
		if err := step(ctx, s, f); err != nil {
			f.stop()
			return err
		}
	}
	failures := f.stop()
	d.addResult(s.user, "graceful shutdown", len(failures) == 0, "%d components failed or cut off requests", len(failures))
	return nil
}

func (d *Demo) configure(ctx context.Context, s site, f *fleet) error {
	started := time.Now()
	response, err := f.operator(0).ApplyPolicies(ctx, connect.NewRequest(&operatorv1.ApplyPoliciesRequest{
		ChangeId: "demo-" + s.user, Who: "demo", Set: s.policies,
	}))
	if err != nil {
		return fmt.Errorf("applying policies: %w", err)
	}
	o := response.Msg.Outcome
	if o.Result != "accepted" {
		return fmt.Errorf("policies were %s: %s", o.Result, o.Detail)
	}
	err = f.await(ctx, func(st *operatorv1.GetStatusResponse) bool { return st.Generation >= o.Generation })
	const bound = 13 * time.Second
	took := time.Since(started)
	d.addResult(s.user, "configuration in force", err == nil && took < bound, "generation %d at every daemon after %d ms", o.Generation, took.Milliseconds())
	return err
}

func (d *Demo) caller(f *fleet, t teaseltack.Target, rate float64, repeats int, keys bool) *load.Caller {
	return load.New(load.Config{
		Entries: f.entries(), Targets: []teaseltack.Target{t}, Rate: rate, Duration: surgeTime, Lifetime: requestTime, Repeats: repeats, Keys: keys,
	})
}

func (d *Demo) nested(ctx context.Context, s site, f *fleet) error {
	reply := d.caller(f, s.lookup, 1, 0, false).Send(ctx, 0)
	d.addResult(s.user, "whole answer through a chain", reply.Status == http.StatusOK,
		"%s -> %s answered %d: %.60q", s.lookup, s.payment.Service, reply.Status, reply.Body)
	return nil
}

// repeatPayment sends the same payment five times concurrently through all
// daemons.
func (d *Demo) repeatPayment(ctx context.Context, s site, f *fleet) error {
	const copies = 5
	key := "payment-of-" + s.user
	replies := make([]int, copies)
	var group sync.WaitGroup
	for i := range copies {
		group.Go(func() { replies[i] = post(ctx, f.entries()[i%len(f.daemons)], s.payment, key, i) })
	}
	group.Wait()
	runs := f.runsOf(key)
	d.addResult(s.user, "at most once", runs == 1, "a payment sent %d times through %d daemons ran %d time(s), answers %v", copies, len(f.daemons), runs, replies)
	return nil
}

func post(ctx context.Context, entry string, t teaseltack.Target, key string, attempt int) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/"+t.String(), nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Teaseltack-Attempt", fmt.Sprint(attempt))
	client := http.Client{Transport: intact.New(intact.Config{})}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// surge offers surgeFactor times the capacity and then measures the recovery.
func (d *Demo) surge(ctx context.Context, s site, f *fleet) error {
	offered := surgeFactor * s.capacity
	d.printf(s.user, "surge: %.0f requests/s for %v, the capacity is about %.0f/s", offered, surgeTime, s.capacity)
	lookups := d.caller(f, s.lookup, offered*(1-protectedShare), 2, false)
	payments := d.caller(f, s.payment, offered*protectedShare, 2, true)
	var group sync.WaitGroup
	var lookupReport, paymentReport load.Report
	group.Go(func() { lookupReport = lookups.Run(ctx) })
	group.Go(func() { paymentReport = payments.Run(ctx) })
	group.Wait()
	ended := time.Now()
	goodput := lookupReport.Goodput + paymentReport.Goodput
	d.addResult(s.user, "goodput in the surge", goodput >= s.capacity/2, "%.0f whole answers/s of %.0f/s capacity", goodput, s.capacity)
	d.addResult(s.user, "payments shed last", float64(paymentReport.Complete) >= 0.99*float64(paymentReport.Sent), "%d of %d payments whole, %d of %d look-ups whole", paymentReport.Complete, paymentReport.Sent, lookupReport.Complete, lookupReport.Sent)
	d.addResult(s.user, "nothing ran twice", f.duplicateRuns() == 0, "%d of %d payments ran more than once", f.duplicateRuns(), paymentReport.Sent)
	d.measureRecovery(ctx, s, f, ended)
	return nil
}

// measureRecovery sends single look-ups until steadyProbes in a row are answered,
// and records when the first of them was sent.
func (d *Demo) measureRecovery(ctx context.Context, s site, f *fleet, ended time.Time) {
	caller := d.caller(f, s.lookup, 1, 0, false)
	var recovered time.Duration
	for consecutive, n := 0, 0; consecutive < steadyProbes && time.Since(ended) < 2*recoveryBound; n++ {
		began := time.Since(ended)
		if caller.Send(ctx, n).Status != http.StatusOK {
			consecutive = 0
		} else {
			if consecutive == 0 {
				recovered = began
			}
			consecutive++
		}
		time.Sleep(probeInterval)
	}
	d.addResult(s.user, "overload ends", recovered <= recoveryBound && time.Since(ended) < 2*recoveryBound, "normal service %d ms after the surge", recovered.Milliseconds())
}

// printResults prints the result table and returns an error if a promise was
// broken.
func (d *Demo) printResults() error {
	table := tabwriter.NewWriter(d.cfg.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nUSER\tPROMISE\tKEPT\tSEEN")
	broken := 0
	for _, r := range d.results {
		kept := "yes"
		if !r.kept {
			kept = "NO"
			broken++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.user, r.promise, kept, r.seen)
	}
	_ = table.Flush()
	if broken > 0 {
		return fmt.Errorf("%d promises were broken", broken)
	}
	return nil
}
