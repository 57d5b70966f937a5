// Package order sorts hosts by rendezvous hashing, so that daemons with the same
// membership records choose the same hosts without coordination.
package order

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaseltack"
)

// Order is a list of hosts sorted by the hash of purpose and host. Different
// purposes give independent orders.
type Order struct {
	hosts []teaseltack.HostID
}

// New sorts the hosts by the hash of purpose and host. Hosts with equal hashes
// are sorted by ID, so the order does not depend on that of the input.
func New(purpose string, hosts []teaseltack.HostID) Order {
	type hashed struct {
		host teaseltack.HostID
		hash uint64
	}
	list := make([]hashed, len(hosts))
	for i, h := range hosts {
		list[i] = hashed{h, xxhash.Sum64String(purpose + "/" + string(h))}
	}
	slices.SortFunc(list, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	ordered := make([]teaseltack.HostID, len(list))
	for i, h := range list {
		ordered[i] = h.host
	}
	return Order{hosts: ordered}
}

// Len returns the number of hosts.
func (o Order) Len() int {
	return len(o.hosts)
}

// Index returns the position of the host, or -1 if the order lacks it.
func (o Order) Index(host teaseltack.HostID) int {
	return slices.Index(o.hosts, host)
}

// At returns the host at a position; positions past the end wrap around to the
// first host.
func (o Order) At(index int) teaseltack.HostID {
	return o.hosts[index%len(o.hosts)]
}
