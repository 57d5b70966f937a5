// Package ring orders hosts by rendezvous hashing, so that every daemon with
// the same view makes the same choice without any agreement.
package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaseltack"
)

// Ring is an order of hosts by hash for one purpose.
type Ring struct {
	hosts []teaseltack.HostID
}

// New orders the hosts by their hash with the purpose.
func New(purpose string, hosts []teaseltack.HostID) Ring {
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
	return Ring{hosts: ordered}
}

// Len returns the number of hosts.
func (r Ring) Len() int {
	return len(r.hosts)
}

// Index returns the position of a host, or -1.
func (r Ring) Index(host teaseltack.HostID) int {
	return slices.Index(r.hosts, host)
}

// At returns the host at a position, wrapping around.
func (r Ring) At(index int) teaseltack.HostID {
	return r.hosts[index%len(r.hosts)]
}
