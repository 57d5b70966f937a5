// Package contacts chooses the hosts that a daemon stays connected to whether or not it
// calls them, so that what one data centre learns reaches every other one.
package contacts

import (
	"slices"

	"teaseltack"
	"teaseltack/core/order"
)

// maxChosenBy bounds the hosts of one data centre that choose contacts in another one, per
// host of that one. The others learn from hosts of their own data centre.
const maxChosenBy = 16

// Choose returns up to count hosts of each data centre, its own one included, sorted by
// data centre and in the order of preference within each. Hosts have independent
// preferences, and only some hosts of a large data centre have contacts in a small one.
// Hosts that are dead or have left are not chosen.
func Choose(host teaseltack.HostID, records []teaseltack.Record, count int) [][]teaseltack.Record {
	byHost := make(map[teaseltack.HostID]teaseltack.Record, len(records))
	hosts := map[teaseltack.DataCentre][]teaseltack.HostID{}
	for _, r := range records {
		if r.State < teaseltack.Dead {
			byHost[r.Host] = r
			hosts[r.DataCentre] = append(hosts[r.DataCentre], r.Host)
		}
	}
	own, known := byHost[host]
	names := make([]teaseltack.DataCentre, 0, len(hosts))
	for name, list := range hosts {
		if name == own.DataCentre || !known || choosesIn(host, hosts[own.DataCentre], list) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	chosen := make([][]teaseltack.Record, 0, len(names))
	for _, name := range names {
		if ofDataCentre := preferred(host, hosts[name], count); len(ofDataCentre) > 0 {
			chosen = append(chosen, recordsOf(byHost, ofDataCentre))
		}
	}
	return chosen
}

// choosesIn reports whether the host is one of those of its data centre that have contacts
// among the others.
func choosesIn(host teaseltack.HostID, own, others []teaseltack.HostID) bool {
	limit := maxChosenBy * len(others)
	return len(own) <= limit || order.New("contacts", own).Index(host) < limit
}

// preferred returns up to count hosts other than the host itself, in its order of preference.
func preferred(host teaseltack.HostID, hosts []teaseltack.HostID, count int) []teaseltack.HostID {
	all := order.New("contacts/"+string(host), hosts)
	var chosen []teaseltack.HostID
	for i := 0; i < all.Len() && len(chosen) < count; i++ {
		if all.At(i) != host {
			chosen = append(chosen, all.At(i))
		}
	}
	return chosen
}

func recordsOf(byHost map[teaseltack.HostID]teaseltack.Record, hosts []teaseltack.HostID) []teaseltack.Record {
	records := make([]teaseltack.Record, len(hosts))
	for i, h := range hosts {
		records[i] = byHost[h]
	}
	return records
}
