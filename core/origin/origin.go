// Package origin detects, at a home, which routes only backend servers call and
// which ones callers use. Callers are spread over all hosts; a route whose
// calls never come from the hosts of some service is called by servers only.
package origin

import (
	"sync"

	"teaseltack"
)

const (
	// leastExpected is the number of calls that a service's hosts would have sent
	// on a callers' route before their absence counts.
	leastExpected = 12
	// strayShare is the share of the expected calls up to which a service counts
	// as absent.
	strayShare = 0.05
	// memory is the number of calls from which the counts are halved.
	memory = 4000
	// maxMethods bounds the routes that are counted.
	maxMethods = 10_000
)

// Table counts the calls of each route by the service of the host where they
// began. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	hosts   map[teaseltack.Service]int
	total   int
	methods map[teaseltack.Method]*counts
}

type counts struct {
	all       float64
	byService map[teaseltack.Service]float64
	inner     bool
	checkAt   float64
}

// New returns an empty table.
func New() *Table {
	return &Table{methods: map[teaseltack.Method]*counts{}}
}

// SetHosts sets the number of hosts of each service.
func (t *Table) SetHosts(hosts map[teaseltack.Service]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = hosts
	t.total = 0
	for _, n := range hosts {
		t.total += n
	}
}

// Observe counts a call and reports whether only servers call its route.
func (t *Table) Observe(method teaseltack.Method, caller teaseltack.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.methods[method]
	if c == nil {
		if len(t.methods) >= maxMethods {
			return false
		}
		c = &counts{byService: map[teaseltack.Service]float64{}}
		t.methods[method] = c
	}
	c.all++
	c.byService[caller]++
	if c.all >= c.checkAt {
		c.inner = t.innerOnly(c)
		c.checkAt = c.all + leastExpected
	}
	if c.all >= memory {
		c.halve()
	}
	return c.inner
}

func (c *counts) halve() {
	c.all /= 2
	c.checkAt = 0
	for service := range c.byService {
		c.byService[service] /= 2
	}
}

func (t *Table) innerOnly(c *counts) bool {
	for service, hosts := range t.hosts {
		expected := c.all * float64(hosts) / float64(max(t.total, 1))
		if expected >= leastExpected && c.byService[service] <= strayShare*expected {
			return true
		}
	}
	return false
}
