// Package contacts chooses the hosts that a daemon stays connected to whether or not it
// calls them, so that what one data centre learns reaches every other one.
package contacts

import (
	"slices"

	"teaseltack"
	"teaseltack/core/order"
)

// Choose returns up to count hosts of each data centre, its own one included, sorted by
// data centre and in the order of preference within each. Hosts have independent
// preferences, so that no host is the contact of all others. Hosts that are dead or have
// left are not chosen.
func Choose(host teaseltack.HostID, records []teaseltack.Record, count int) [][]teaseltack.Record {
	byHost := make(map[teaseltack.HostID]teaseltack.Record, len(records))
	hosts := map[teaseltack.DataCentre][]teaseltack.HostID{}
	for _, r := range records {
		if r.Host == host || r.State >= teaseltack.Dead {
			continue
		}
		byHost[r.Host] = r
		hosts[r.DataCentre] = append(hosts[r.DataCentre], r.Host)
	}
	names := make([]teaseltack.DataCentre, 0, len(hosts))
	for name := range hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	chosen := make([][]teaseltack.Record, 0, len(names))
	for _, name := range names {
		preferred := order.New("contacts/"+string(host), hosts[name])
		var ofDataCentre []teaseltack.Record
		for i := range min(count, preferred.Len()) {
			ofDataCentre = append(ofDataCentre, byHost[preferred.At(i)])
		}
		chosen = append(chosen, ofDataCentre)
	}
	return chosen
}
