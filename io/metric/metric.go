// Package metric exports a daemon's counters and gauges in the Prometheus format.
package metric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"teaseltack"
)

// Gauges holds the functions that read the gauges. They are called at each scrape,
// on the goroutine of its request. HostsBehind may be nil.
type Gauges struct {
	Load                   func() teaseltack.Load
	Generation             func() float64
	HostsBehind            func() float64
	HostsKnown             func() float64
	TicketsRemembered      func() float64
	PlatformReachable      func() float64
	DataCentresUnreachable func() float64
	HomesEjected           func() float64
	// LeastRetryBudget returns the retry budget left of the target with the least; it
	// may be nil.
	LeastRetryBudget func() float64
	// GenerationAge returns the seconds since the generation came into force; it may be
	// nil.
	GenerationAge func() float64
	// RequestBytes returns the memory that requests hold.
	RequestBytes func() float64
	// GenerationKnown returns the newest generation that the daemon knows of, in force or
	// not; it may be nil.
	GenerationKnown func() float64
	// StoreEra returns the era of the platform's store; it may be nil.
	StoreEra func() float64
}

// Metrics holds the counters. The number of label values is bounded. It is safe for
// concurrent use.
type Metrics struct {
	registry     *prometheus.Registry
	answered     *prometheus.CounterVec
	refused      *prometheus.CounterVec
	retries      *prometheus.CounterVec
	work         *prometheus.HistogramVec
	late         *prometheus.HistogramVec
	platform     *prometheus.CounterVec
	droppedLines *prometheus.CounterVec
	mu           sync.Mutex
	services     map[string]bool
}

// maxServices bounds the number of distinct service labels.
const maxServices = 200

// serviceLabel returns the service's name, or "other" past the bound: until a policy
// is in force, callers may send any service name.
func (m *Metrics) serviceLabel(service teaseltack.Service) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := string(service)
	if m.services[name] {
		return name
	}
	if len(m.services) >= maxServices {
		return "other"
	}
	m.services[name] = true
	return name
}

// New returns metrics that read the gauges at each scrape.
func New(g Gauges) *Metrics {
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		services:     map[string]bool{},
		answered:     counter("answered_total", "Whole answers given, by service and class.", "service", "class"),
		refused:      counter("refused_total", "Refusals given, by service, class, reason and verdict.", "service", "class", "reason", "verdict"),
		retries:      counter("retries_total", "Retries sent, by service.", "service"),
		platform:     counter("platform_calls_total", "Calls to the platform, by kind and result.", "kind", "result"),
		droppedLines: counter("log_lines_left_out_total", "Log lines of decisions left out to bound the volume, by step.", "step"),
		work: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "work_seconds", Help: "Time at the backend server per whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service"}),
		late: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "configuration_late_seconds", Help: "Time from when a generation was first known until it was in force here, by source.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"source"}),
	}
	m.registry.MustRegister(m.answered, m.refused, m.retries, m.platform, m.droppedLines, m.work, m.late,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauges(g)
	return m
}

const namespace = "teaseltack"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (m *Metrics) registerGauges(g Gauges) {
	add := func(name, help string, read func() float64) {
		if read == nil {
			return
		}
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
	}
	add("concurrency_limit", "Calls that may run at the backend server at once.", func() float64 { return float64(g.Load().Limit) })
	add("in_flight", "Calls that run or wait at the backend server.", func() float64 { return float64(g.Load().InFlight) })
	add("admission_level", "Priority bucket below which calls are shed; 0 sheds none.", func() float64 { return float64(g.Load().Level) })
	add("generation_in_force", "Generation of the configuration in force.", g.Generation)
	add("hosts_behind", "Known hosts whose generation in force is older.", g.HostsBehind)
	add("hosts_known", "Hosts in the membership.", g.HostsKnown)
	add("tickets_remembered", "Non-idempotent requests remembered.", g.TicketsRemembered)
	add("platform_reachable", "1 while the platform answers.", g.PlatformReachable)
	add("homes_ejected", "Homes that this entry ejected.", g.HomesEjected)
	add("data_centres_unreachable", "Data centres out of reach.", g.DataCentresUnreachable)
	add("retry_budget_left", "Retries left for the target that has fewest.", g.LeastRetryBudget)
	add("request_bytes_held", "Memory that requests hold, of what they may hold together.", g.RequestBytes)
	add("store_era", "Era of the platform's store; 0 while it names none.", g.StoreEra)
	add("generation_known", "Newest generation that the daemon knows of, in force or not.", g.GenerationKnown)
	add("generation_age_seconds", "Time since the generation came into force here.", g.GenerationAge)
}

// Answered counts an answer or a refusal that the entry returned.
func (m *Metrics) Answered(target teaseltack.Target, class teaseltack.Class, answer *teaseltack.Answer) {
	if answer.Refusal != nil && answer.Refusal.Reason == teaseltack.ReasonUnknownTarget {
		target.Service = "unknown"
	}
	service := m.serviceLabel(target.Service)
	if answer.Refusal == nil {
		m.answered.WithLabelValues(service, class.String()).Inc()
		m.work.WithLabelValues(service).Observe(answer.Work.Seconds())
		return
	}
	m.refused.WithLabelValues(service, class.String(), string(answer.Refusal.Reason), answer.Refusal.Verdict.String()).Inc()
}

// Retried counts a retry that the entry sent.
func (m *Metrics) Retried(target teaseltack.Target) {
	m.retries.WithLabelValues(m.serviceLabel(target.Service)).Inc()
}

// PlatformCalled counts a call to the platform.
func (m *Metrics) PlatformCalled(kind string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.platform.WithLabelValues(kind, result).Inc()
}

// ConfigurationChanged counts a generation that came into force, with its source and the
// time since it was first known.
func (m *Metrics) ConfigurationChanged(source string, late time.Duration) {
	m.late.WithLabelValues(source).Observe(late.Seconds())
}

// LineDropped counts a dropped log line of a decision.
func (m *Metrics) LineDropped(step teaseltack.Step) {
	m.droppedLines.WithLabelValues(string(step)).Inc()
}

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
