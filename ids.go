// Package teaseltack holds the ids, units, messages and interfaces that the
// decision logic (core) and the servers and clients (io) share.
package teaseltack

import "fmt"

// HostID names a host with a backend server, and the daemon on it.
type HostID string

// DataCentre names a data centre.
type DataCentre string

// Region names a region, a group of data centres.
type Region string

// Service names a service, a set of equal backend servers.
type Service string

// Method names one operation of a service.
type Method string

// RequestID names one root request through its whole call tree.
type RequestID string

// Nonce identifies a call at a home. An attempt at another home or with another
// ticket gets a new nonce; a retry with the same ticket keeps it.
type Nonce string

// Ticket permits one non-idempotent request to run at one incarnation of a home.
type Ticket string

// Incarnation is the random id of one run of a daemon process.
type Incarnation uint64

// Generation numbers the accepted configurations in rising order.
type Generation uint64

// InstanceID names one backend server; a restarted server may keep it.
type InstanceID string

// LeaseID names a lease of the platform's store in one era.
type LeaseID uint64

// StoreEra numbers the eras of the platform's store. The store loses writes that it has
// acknowledged only when it comes back from an older copy, and then starts the next era.
// 0 stands for a store that names no era.
type StoreEra uint64

// Revision is a revision of the platform's store; the zero Revision is none. In a new era
// the store gives revisions out again, so those of two eras can't be ordered.
type Revision struct {
	Era    StoreEra
	Number uint64
}

// IsZero reports whether r is no revision.
func (r Revision) IsZero() bool {
	return r.Number == 0
}

// Covers reports whether r is of the same era as other and not before it.
func (r Revision) Covers(other Revision) bool {
	return r.Era == other.Era && r.Number >= other.Number
}

// Lease is a lease of the platform's store; the zero Lease is none. In a new era the store
// gives ids out again, so the lease of an earlier one may be another daemon's.
type Lease struct {
	Era StoreEra
	ID  LeaseID
}

// Retries is a number of retries.
type Retries int64

// Level is an admission level in priority buckets: calls whose bucket lies
// below it are being shed.
type Level uint32

// Target is a method of a service.
type Target struct {
	Service Service
	Method  Method
}

// String returns service/method.
func (t Target) String() string {
	return fmt.Sprintf("%s/%s", t.Service, t.Method)
}
