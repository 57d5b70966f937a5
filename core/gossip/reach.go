package gossip

import (
	"time"

	"teaseltack"
)

type reach struct {
	answeredAt time.Time
	cut        bool
}

// failed counts a failed call. A suspicion is raised once per row of failures.
func (m *Gossiper) failed(p partner) {
	if p.host == "" {
		return
	}
	local := p.dataCentre == m.cfg.Members.Own().DataCentre
	m.mu.Lock()
	m.failures[p.host]++
	suspect := local && m.failures[p.host] == suspectAfter
	wentOut := !local && m.loseReach(p.dataCentre)
	m.mu.Unlock()
	if suspect {
		m.cfg.Members.Suspect(p.host)
	}
	if wentOut {
		m.cfg.OnUnreachable(p.dataCentre, true)
	}
}

// loseReach notes a failed call to another data centre and reports whether the
// data centre went out of reach by it.
func (m *Gossiper) loseReach(name teaseltack.DataCentre) bool {
	now := m.cfg.Timers.Now()
	r := m.reaches[name]
	if r == nil {
		r = &reach{answeredAt: now}
		m.reaches[name] = r
	}
	if r.cut || now.Sub(r.answeredAt) < cutAfter {
		return false
	}
	r.cut = true
	return true
}

func (m *Gossiper) answered(p partner) {
	if p.host == "" {
		return
	}
	m.mu.Lock()
	delete(m.failures, p.host)
	r := m.reaches[p.dataCentre]
	cameBack := r != nil && r.cut
	m.reaches[p.dataCentre] = &reach{answeredAt: m.cfg.Timers.Now()}
	m.mu.Unlock()
	if cameBack {
		m.cfg.OnUnreachable(p.dataCentre, false)
	}
}

// Unreachable returns the data centres that are unreachable.
func (m *Gossiper) Unreachable() []teaseltack.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []teaseltack.DataCentre
	for name, r := range m.reaches {
		if r.cut {
			names = append(names, name)
		}
	}
	return names
}
