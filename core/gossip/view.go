package gossip

import (
	"maps"
	"slices"

	"teaseltack"
	"teaseltack/core/order"
)

// partner is a daemon to exchange with. The host is empty for a seed or a dead host.
type partner struct {
	host       teaseltack.HostID
	dataCentre teaseltack.DataCentre
	address    string
}

func partnerOf(r teaseltack.Record) partner {
	return partner{host: r.Host, dataCentre: r.DataCentre, address: r.PeerAddress}
}

// view is the membership at one revision, prepared for the choice of partners.
type view struct {
	revision     uint64
	own          teaseltack.Record
	records      map[teaseltack.HostID]teaseltack.Record
	localOrder   order.Order
	remoteOrders map[teaseltack.DataCentre]order.Order
	// dead holds the records of hosts that are dead or left.
	dead []teaseltack.Record
}

// view returns the view of the current membership; it is rebuilt only after a change.
func (g *Gossiper) view() *view {
	revision := g.cfg.Members.Revision()
	g.mu.Lock()
	cached := g.cachedView
	g.mu.Unlock()
	if cached != nil && cached.revision == revision {
		return cached
	}
	v := g.buildView(revision)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cachedView = v
	return v
}

func (g *Gossiper) buildView(revision uint64) *view {
	v := &view{
		revision:     revision,
		own:          g.cfg.Members.Own(),
		records:      map[teaseltack.HostID]teaseltack.Record{},
		remoteOrders: map[teaseltack.DataCentre]order.Order{},
	}
	var local []teaseltack.HostID
	remote := map[teaseltack.DataCentre][]teaseltack.HostID{}
	for _, r := range g.cfg.Members.Records() {
		v.records[r.Host] = r
		switch {
		case r.State >= teaseltack.Dead:
			v.dead = append(v.dead, r)
		case r.DataCentre == v.own.DataCentre:
			local = append(local, r.Host)
		default:
			remote[r.DataCentre] = append(remote[r.DataCentre], r.Host)
		}
	}
	v.localOrder = order.New("mesh", local)
	for name, hosts := range remote {
		v.remoteOrders[name] = order.New("across "+string(name), hosts)
	}
	return v
}

// localPartners returns the partners in the local data centre, the next host first.
func (v *view) localPartners() []teaseltack.HostID {
	index := v.localOrder.Index(v.own.Host)
	var partners []teaseltack.HostID
	for distance := 1; distance < v.localOrder.Len(); distance *= 2 {
		partners = append(partners, v.localOrder.At(index+distance))
	}
	return partners
}

// remotePartners returns one partner in each other data centre, which changes each
// round. The choice starts from this daemon's position in the local order, so that
// the daemons call different hosts.
func (v *view) remotePartners(round int) []partner {
	index := max(v.localOrder.Index(v.own.Host), 0)
	var partners []partner
	for _, name := range slices.Sorted(maps.Keys(v.remoteOrders)) {
		host := v.remoteOrders[name].At(index + round)
		partners = append(partners, partnerOf(v.records[host]))
	}
	return partners
}

// choosePartners returns the partners of this round.
func (g *Gossiper) choosePartners() []partner {
	v := g.view()
	g.mu.Lock()
	g.round++
	round := g.round
	g.mu.Unlock()
	var partners []partner
	local := v.localPartners()
	if len(local) > 0 {
		partners = append(partners, partnerOf(v.records[local[0]]))
	}
	if len(local) > 1 {
		partners = append(partners, partnerOf(v.records[local[1+round%(len(local)-1)]]))
	}
	if remote := v.remotePartners(round); len(remote) > 0 && round%remoteEvery == 0 {
		partners = append(partners, remote[round/remoteEvery%len(remote)])
	}
	if round%seedEvery == 0 || len(v.records) == 1 {
		partners = append(partners, g.discoveryPartners(v)...)
	}
	return partners
}

// discoveryPartners returns a dead host and a seed, each chosen at random, so that
// the sides of a healed partition and the daemons of a replaced fleet find each other.
func (g *Gossiper) discoveryPartners(v *view) []partner {
	var partners []partner
	if len(v.dead) > 0 {
		r := v.dead[g.cfg.Rand.Uint64()%uint64(len(v.dead))]
		partners = append(partners, partner{address: r.PeerAddress})
	}
	seeds := g.cfg.Seeds()
	if len(seeds) > 0 {
		partners = append(partners, partner{address: seeds[g.cfg.Rand.Uint64()%uint64(len(seeds))]})
	}
	return partners
}
