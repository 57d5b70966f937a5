package gossip

import (
	"maps"
	"slices"

	"teaseltack"
	"teaseltack/core/order"
)

// partner is the far end of an exchange. A first contact has no host yet.
type partner struct {
	host       teaseltack.HostID
	dataCentre teaseltack.DataCentre
	address    string
}

func partnerOf(r teaseltack.Record) partner {
	return partner{host: r.Host, dataCentre: r.DataCentre, address: r.PeerAddress}
}

// view is the membership as partners are chosen from it.
type view struct {
	revision     uint64
	own          teaseltack.Record
	records      map[teaseltack.HostID]teaseltack.Record
	localOrder   order.Order
	remoteOrders map[teaseltack.DataCentre]order.Order
	lost         []teaseltack.Record
}

// view returns the partners to choose from, computed anew only after a change.
func (m *Gossiper) view() *view {
	revision := m.cfg.Members.Revision()
	m.mu.Lock()
	kept := m.kept
	m.mu.Unlock()
	if kept != nil && kept.revision == revision {
		return kept
	}
	v := m.look(revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept = v
	return v
}

func (m *Gossiper) look(revision uint64) *view {
	v := &view{
		revision:     revision,
		own:          m.cfg.Members.Own(),
		records:      map[teaseltack.HostID]teaseltack.Record{},
		remoteOrders: map[teaseltack.DataCentre]order.Order{},
	}
	var local []teaseltack.HostID
	others := map[teaseltack.DataCentre][]teaseltack.HostID{}
	for _, r := range m.cfg.Members.Records() {
		v.records[r.Host] = r
		switch {
		case r.State >= teaseltack.Dead:
			v.lost = append(v.lost, r)
		case r.DataCentre == v.own.DataCentre:
			local = append(local, r.Host)
		default:
			others[r.DataCentre] = append(others[r.DataCentre], r.Host)
		}
	}
	v.localOrder = order.New("mesh", local)
	for name, hosts := range others {
		v.remoteOrders[name] = order.New("across "+string(name), hosts)
	}
	return v
}

// chords returns the partners of the own data centre, the next one first.
func (v *view) chords() []teaseltack.HostID {
	index := v.localOrder.Index(v.own.Host)
	var chords []teaseltack.HostID
	for distance := 1; distance < v.localOrder.Len(); distance *= 2 {
		chords = append(chords, v.localOrder.At(index+distance))
	}
	return chords
}

// across returns one partner in each other data centre, another one each round.
func (v *view) across(round int) []partner {
	index := max(v.localOrder.Index(v.own.Host), 0)
	var partners []partner
	for _, name := range slices.Sorted(maps.Keys(v.remoteOrders)) {
		host := v.remoteOrders[name].At(index + round)
		partners = append(partners, partnerOf(v.records[host]))
	}
	return partners
}

// choose returns the partners of this round.
func (m *Gossiper) choose() []partner {
	v := m.view()
	m.mu.Lock()
	m.round++
	round := m.round
	m.mu.Unlock()
	var partners []partner
	chords := v.chords()
	if len(chords) > 0 {
		partners = append(partners, partnerOf(v.records[chords[0]]))
	}
	if len(chords) > 1 {
		partners = append(partners, partnerOf(v.records[chords[1+round%(len(chords)-1)]]))
	}
	if across := v.across(round); len(across) > 0 && round%crossEvery == 0 {
		partners = append(partners, across[round/crossEvery%len(across)])
	}
	if round%seedEvery == 0 || len(v.records) == 1 {
		partners = append(partners, m.farther(v)...)
	}
	return partners
}

// farther returns a lost host and a first contact, so that healed partitions
// and replaced fleets find each other.
func (m *Gossiper) farther(v *view) []partner {
	var partners []partner
	if len(v.lost) > 0 {
		r := v.lost[m.cfg.Rand.Uint64()%uint64(len(v.lost))]
		partners = append(partners, partner{address: r.PeerAddress})
	}
	seeds := m.cfg.Seeds()
	if len(seeds) > 0 {
		partners = append(partners, partner{address: seeds[m.cfg.Rand.Uint64()%uint64(len(seeds))]})
	}
	return partners
}
