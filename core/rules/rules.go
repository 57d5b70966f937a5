// Package rules holds the operators' routing rules, which map a request's authority and
// path to a service and set the limits of its handling.
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
	Authority     string
	Prefix        string
	NonIdempotent bool
	// Importance sets the class of the rule's requests; 0 is the most important.
	Importance int
	// Objective is the response time target.
	Objective time.Duration
	// Lifetime is the maximum time that a request waits for its answer.
	Lifetime time.Duration
	// Attempts is the maximum number of backend servers that may run one request.
	Attempts int
	// Services share the requests by weight.
	Services []WeightedService
}

// WeightedService is one service of a rule with its weight.
type WeightedService struct {
	Service teaseltack.Service
	Weight  float64
}

// Service returns the service of a request, chosen by weight. The draw is a random number,
// uniform over all values of uint64.
func (r *Rule) Service(draw uint64) teaseltack.Service {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := float64(draw>>11) / (1 << 53) * total
	for _, s := range r.Services {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Sends reports whether the rule sends some of its requests to the service.
func (r *Rule) Sends(service teaseltack.Service) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
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
	HealthPath string
	// Connections is the configured maximum number of connections to a backend server.
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
	cfg         Config
	byAuthority map[string][]*Rule
	byTarget    map[teaseltack.Target]*Rule
}

var _ teaseltack.Policies = (*Table)(nil)

// New returns a table of the configuration's rules.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, byAuthority: map[string][]*Rule{}, byTarget: map[teaseltack.Target]*Rule{}}
	for i := range cfg.Rules {
		r := &cfg.Rules[i]
		t.byAuthority[r.Authority] = append(t.byAuthority[r.Authority], r)
		for _, s := range r.Services {
			t.byTarget[teaseltack.Target{Service: s.Service, Method: r.Name}] = r
		}
	}
	for _, rules := range t.byAuthority {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config {
	return &t.cfg
}

// Find returns the rule of the authority with the longest prefix of the path, or nil.
// The authority is the HTTP host that the request names.
func (t *Table) Find(authority, path string) *Rule {
	for _, r := range t.byAuthority[authority] {
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
		Class:         classOf(r.Importance),
		Lifetime:      r.Lifetime,
		Objective:     r.Objective,
		NonIdempotent: r.NonIdempotent,
		Retries:       teaseltack.Retries(r.Attempts - 1),
	}, true
}

// classOf maps an importance to a class: 0 is protected, 1 high, 2 normal, all others
// low.
func classOf(importance int) teaseltack.Class {
	return teaseltack.ClassProtected - teaseltack.Class(min(max(importance, 0), int(teaseltack.ClassProtected)))
}
