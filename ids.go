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

// LeaseID names a lease of the platform's store.
type LeaseID uint64

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
