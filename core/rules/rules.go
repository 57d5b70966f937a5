// Package rules holds the operators' routing rules: which service handles a request
// by its host and path, and how the request may be handled.
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
	// Rank orders the routes by importance; 0 is the most important.
	Rank int
	// Objective is the target for the time to answer.
	Objective time.Duration
	// Lifetime is the longest time that a request is kept waiting.
	Lifetime time.Duration
	// Attempts is the number of backend servers that may run one request.
	Attempts int
	// Splits are the services that share the requests by weight.
	Splits []Split
}

// Split is one service of a rule.
type Split struct {
	Service teaseltack.Service
	Weight  float64
}

// Service chooses the service of a request; draw is uniform over all values.
func (r *Rule) Service(draw uint64) teaseltack.Service {
	total := 0.0
	for _, p := range r.Splits {
		total += p.Weight
	}
	point := float64(draw>>11) / (1 << 53) * total
	for _, p := range r.Splits {
		point -= p.Weight
		if point < 0 {
			return p.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a request's head to its
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

// Config is one whole configuration.
type Config struct {
	Generation teaseltack.Generation
	Rules      []Rule
	Upstreams  map[teaseltack.Service]Upstream
	Limits     Limits
	// Document is the operators' own form, for peers that cannot reach the
	// platform.
	Document []byte
}

// Table finds the rule of a request. It does not change after New.
type Table struct {
	cfg   Config
	hosts map[string][]*Rule
	named map[teaseltack.Target]*Rule
}

var _ teaseltack.Policies = (*Table)(nil)

// New returns a table of the configuration.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, hosts: map[string][]*Rule{}, named: map[teaseltack.Target]*Rule{}}
	for i := range cfg.Rules {
		r := &cfg.Rules[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		for _, p := range r.Splits {
			t.named[teaseltack.Target{Service: p.Service, Method: r.Name}] = r
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Config returns the configuration that the table was made of.
func (t *Table) Config() *Config {
	return &t.cfg
}

// Find returns the rule of the host with the longest prefix of the path, or nil.
func (t *Table) Find(host, path string) *Rule {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Policy returns the policy of a target according to the rules.
func (t *Table) Policy(target teaseltack.Target) (teaseltack.Policy, bool) {
	r := t.named[target]
	if r == nil {
		return teaseltack.Policy{}, false
	}
	return teaseltack.Policy{
		Target:        target,
		Class:         classOf(r.Rank),
		Lifetime:      r.Lifetime,
		Objective:     r.Objective,
		NonIdempotent: r.NonIdempotent,
		Retries:       teaseltack.Tokens(r.Attempts - 1),
	}, true
}

// classOf maps an operators' rank to a class: rank 0 is protected.
func classOf(rank int) teaseltack.Class {
	return teaseltack.ClassProtected - teaseltack.Class(min(max(rank, 0), int(teaseltack.ClassProtected)))
}
