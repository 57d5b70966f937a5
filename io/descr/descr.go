// Package descr divides the descriptors that a process may open among its listeners.
package descr

import (
	"math"
	"syscall"
)

// Limit is the number of descriptors that a process may open.
type Limit int64

// OfProcess returns the limit that the system has set for this process.
func OfProcess() Limit {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return Limit(limit.Cur)
}

// The shares of the listeners leave an eighth or more for the connections that a daemon
// opens itself, its files and its listeners.
const (
	outerShare    = 0.4375
	peerShare     = 0.25
	innerShare    = 0.125
	operatorShare = 0.03125
)

// Outer returns the connections of callers.
func (l Limit) Outer() int64 { return l.share(outerShare) }

// Peer returns the connections of other daemons.
func (l Limit) Peer() int64 { return l.share(peerShare) }

// Inner returns the connections of the local backend server.
func (l Limit) Inner() int64 { return l.share(innerShare) }

// Operator returns the connections of operators, and of any other listener that few clients
// use.
func (l Limit) Operator() int64 { return l.share(operatorShare) }

func (l Limit) share(share float64) int64 {
	return max(int64(float64(l)*share), 1)
}
