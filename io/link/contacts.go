package link

import (
	"teaseltack"
	"teaseltack/core/contacts"
)

const (
	// contactsPerDataCentre is the number of hosts in each data centre that a host stays
	// connected to even if it sends them no calls.
	contactsPerDataCentre = 2
	// contactCandidates bounds the hosts of a data centre that are dialled as contacts
	// while some are out of reach.
	contactCandidates = 4
)

// keepContacts dials the contacts that are not connected. In each data centre it passes
// over hosts that are out of reach.
func (l *Links) keepContacts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recordsChanged {
		l.candidates = contacts.Choose(l.cfg.Host, l.records, contactCandidates)
		l.recordsChanged = false
	}
	for _, ofDataCentre := range l.candidates {
		reachable := 0
		for _, r := range ofDataCentre {
			if reachable == contactsPerDataCentre {
				break
			}
			if p := l.peer(r); !p.unreachable {
				reachable++
				l.connect(p)
			}
		}
	}
}

// connect starts dialling a host that is not connected. The caller holds l.mu.
func (l *Links) connect(p *peer) {
	if p.conn == nil {
		l.startDial(p)
	}
}

// oneOfEachDataCentre returns a connection to each data centre in which a host is
// connected, chosen by the random iteration order of maps.
func (l *Links) oneOfEachDataCentre() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[teaseltack.DataCentre]bool{}
	var conns []*conn
	for _, p := range l.peers {
		if p.conn != nil && !seen[p.record.DataCentre] {
			seen[p.record.DataCentre] = true
			conns = append(conns, p.conn)
		}
	}
	return conns
}

// compareWith exchanges the generation in force with up to count hosts and with one of
// each data centre.
func (l *Links) compareWith(count int) {
	pinged := map[*conn]bool{}
	for _, c := range append(l.oneOfEachDataCentre(), l.pickConns(count)...) {
		if !pinged[c] {
			pinged[c] = true
			c.compare()
		}
	}
}
