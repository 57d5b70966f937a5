// Package rules holds the operators' routing rules, which map a request's host and path
// to a service and set the limits of its handling.
package rules

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"teaseltack"
)

// Rule is one routing rule.
type Rule struct {
	Name          teaseltack.Method
	Host          string
	Prefix        string
	NonIdempotent bool
	// Rank orders the rules by importance; 0 is the most important.
	Rank int
	// Objective is the response time target.
	Objective time.Duration
	// Lifetime is the maximum time that a request waits for its answer.
	Lifetime time.Duration
	// Attempts is the maximum number of backend servers that may run one request.
	Attempts int
	// Splits are the services that share the requests by weight.
	Splits []Split
}

// Split is one service of a rule.
type Split struct {
	Service teaseltack.Service
	Weight  float64
}

// Service returns the service of a request, chosen by weight. The draw is a random number,
// uniform over all values of uint64.
func (r *Rule) Service(draw uint64) teaseltack.Service {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	point := float64(draw>>11) / (1 << 53) * total
	for _, s := range r.Splits {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Limits limit what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time from the first byte of a request's header to its
	// last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration
}

// Upstream is the configuration of a service's backend servers.
type Upstream struct {
	HealthPath  string
	Connections int
}

// Config is one complete configuration.
type Config struct {
	Generation teaseltack.Generation
	Rules      []Rule
	Upstreams  map[teaseltack.Service]Upstream
	Limits     Limits
	// Document is the encoded document from the platform, for peers that cannot reach
	// it.
	Document []byte
}

// Table finds the rule of a request. It is immutable.
type Table struct {
	cfg      Config
	byHost   map[string][]*Rule
	byTarget map[teaseltack.Target]*Rule
}

var _ teaseltack.Policies = (*Table)(nil)

// New returns a table of the configuration's rules.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, byHost: map[string][]*Rule{}, byTarget: map[teaseltack.Target]*Rule{}}
	for i := range cfg.Rules {
		r := &cfg.Rules[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		for _, s := range r.Splits {
			t.byTarget[teaseltack.Target{Service: s.Service, Method: r.Name}] = r
		}
	}
	for _, rules := range t.byHost {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config {
	return &t.cfg
}

// Find returns the host's rule with the longest prefix of the path, or nil.
func (t *Table) Find(host, path string) *Rule {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Policy returns the policy of a target, or false if no rule has the target.
func (t *Table) Policy(target teaseltack.Target) (teaseltack.Policy, bool) {
	r := t.byTarget[target]
	if r == nil {
		return teaseltack.Policy{}, false
	}
	return teaseltack.Policy{
		Target:        target,
		Class:         classOf(r.Rank),
		Lifetime:      r.Lifetime,
		Objective:     r.Objective,
		NonIdempotent: r.NonIdempotent,
		Retries:       teaseltack.Retries(r.Attempts - 1),
	}, true
}

// classOf maps a rank to a class: 0 is protected, 1 high, 2 normal, all others low.
func classOf(rank int) teaseltack.Class {
	return teaseltack.ClassProtected - teaseltack.Class(min(max(rank, 0), int(teaseltack.ClassProtected)))
}
