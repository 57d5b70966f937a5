package gossip

import (
	"time"

	"teaseltack"
)

// remoteState is the reachability of another data centre.
type remoteState struct {
	// answeredAt is the time of the last answer, or of the first failure before any
	// answer.
	answeredAt  time.Time
	unreachable bool
}

// recordFailure counts a failed call. It marks a local host as suspect once per series
// of consecutive failures. Calls to partners without a host are not counted.
func (g *Gossiper) recordFailure(p partner) {
	if p.host == "" {
		return
	}
	local := p.dataCentre == g.cfg.Members.Own().DataCentre
	g.mu.Lock()
	g.consecutiveFailures[p.host]++
	suspect := local && g.consecutiveFailures[p.host] == suspectAfter
	becameUnreachable := !local && g.recordRemoteFailure(p.dataCentre)
	g.mu.Unlock()
	if suspect {
		g.cfg.Members.Suspect(p.host)
	}
	if becameUnreachable {
		g.reportReachability()
	}
}

// reportReachability calls OnUnreachable for each data centre whose state differs from
// what was reported last. If a call is in progress, its goroutine makes the next ones.
func (g *Gossiper) reportReachability() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reporting {
		return
	}
	g.reporting = true
	defer func() { g.reporting = false }()
	for {
		name, unreachable, changed := g.nextReport()
		if !changed {
			return
		}
		if unreachable {
			g.reported[name] = true
		} else {
			delete(g.reported, name)
		}
		g.mu.Unlock()
		g.cfg.OnUnreachable(name, unreachable)
		g.mu.Lock()
	}
}

// nextReport returns a data centre whose state differs from what was reported last, and
// that state. The caller holds the lock.
func (g *Gossiper) nextReport() (name teaseltack.DataCentre, unreachable, changed bool) {
	for name, r := range g.remoteStates {
		if r.unreachable != g.reported[name] {
			return name, r.unreachable, true
		}
	}
	for name := range g.reported {
		if g.remoteStates[name] == nil {
			return name, false, true
		}
	}
	return "", false, false
}

// recordRemoteFailure records a failed call to another data centre and reports whether
// the data centre became unreachable by it. The caller holds the lock.
func (g *Gossiper) recordRemoteFailure(name teaseltack.DataCentre) bool {
	now := g.cfg.Timers.Now()
	r := g.remoteStates[name]
	if r == nil {
		r = &remoteState{answeredAt: now}
		g.remoteStates[name] = r
	}
	if r.unreachable || now.Sub(r.answeredAt) < unreachableAfter {
		return false
	}
	r.unreachable = true
	return true
}

func (g *Gossiper) recordAnswer(p partner) {
	if p.host == "" {
		return
	}
	g.mu.Lock()
	delete(g.consecutiveFailures, p.host)
	r := g.remoteStates[p.dataCentre]
	becameReachable := r != nil && r.unreachable
	g.remoteStates[p.dataCentre] = &remoteState{answeredAt: g.cfg.Timers.Now()}
	g.mu.Unlock()
	if becameReachable {
		g.reportReachability()
	}
}

// forgetDataCentres forgets the data centres of which no host is known any more, and
// reports those that were unreachable as no longer so.
func (g *Gossiper) forgetDataCentres() {
	known := g.view().remoteOrders
	g.mu.Lock()
	for name := range g.remoteStates {
		if _, exists := known[name]; !exists {
			delete(g.remoteStates, name)
		}
	}
	g.mu.Unlock()
	g.reportReachability()
}

// Unreachable returns the data centres that are unreachable.
func (g *Gossiper) Unreachable() []teaseltack.DataCentre {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []teaseltack.DataCentre
	for name, r := range g.remoteStates {
		if r.unreachable {
			names = append(names, name)
		}
	}
	return names
}
