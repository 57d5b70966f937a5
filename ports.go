package teaseltack

import (
	"context"
	"errors"
	"time"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
)

// Timers is the timer service. Parts subscribe to it and read no other clock.
type Timers interface {
	// Now returns the time with its monotonic reading.
	Now() time.Time
	// After calls run once after the delay unless stopped before.
	After(delay time.Duration, run func()) (stop func())
	// Every calls run each period until stopped; a late run is not repeated.
	Every(period time.Duration, run func()) (stop func())
}

// RandSource draws random numbers; it is safe for concurrent use.
type RandSource interface {
	Uint64() uint64
}

// Server dispatches calls to the local backend server. Its error is a
// *Refusal; without one the answer is whole.
type Server interface {
	Dispatch(ctx context.Context, call *Call, contextToken string) (*Answer, error)
}

// HomeClient hands calls to the daemon beside a backend server. An error means
// that no word of the home came back; it is a *Refusal whose verdict is NotRun
// only when no byte of the call was handed over.
type HomeClient interface {
	Forward(ctx context.Context, to Record, call *Call) (*Answer, error)
	IssueTickets(ctx context.Context, to Record, target Target, count int) ([]Ticket, error)
}

// Gate admits calls to the local backend server.
type Gate interface {
	// Offer decides on a waiter now or later by one call of its Decide.
	Offer(w *Waiter)
	// Withdraw takes back a waiter; false means that it was decided before.
	Withdraw(w *Waiter) bool
	// Release ends an admitted call.
	Release(w *Waiter, outcome Outcome)
	// Resize sets the slots and connections that the server announced; cold says
	// that the server has just started.
	Resize(slots, connections int, cold bool)
	// Load reports the gate's state with the admission level of one method.
	Load(method Method) Load
}

// Waiter is a call that stands before a gate.
type Waiter struct {
	Method   Method
	Priority Priority
	Deadline time.Time
	// Decide receives nil on admission or the refusal; called once.
	Decide func(*Refusal)
	// Index is the place in the queue, kept by the gate.
	Index   int
	Arrived time.Time
	Started time.Time
	// NestedWait is the time that the call's nested calls waited in queues, set before
	// the release.
	NestedWait time.Duration
}

// Outcome tells a gate how an admitted call ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeWhole is a whole answer in time.
	OutcomeWhole Outcome = iota
	// OutcomeFailed is a server that broke the call off.
	OutcomeFailed
	// OutcomeErrored is a whole answer that reports an error.
	OutcomeErrored
	// OutcomeCancelled is a call that ran out of time or lost its caller.
	OutcomeCancelled
)

// Policies holds the operators' policies in force.
type Policies interface {
	// Policy returns the policy of a target; false means that the configuration
	// in force does not know it.
	Policy(target Target) (Policy, bool)
}

// PeerClient carries control messages to another daemon. Addresses are IP:port.
type PeerClient interface {
	Exchange(ctx context.Context, address string, m Exchange) (Exchange, error)
	Pull(ctx context.Context, address string, buckets []uint32, records []Record) ([]Record, error)
	// FetchDocument returns the peer's document, or nil unless it is newer.
	FetchDocument(ctx context.Context, address string, above Generation) (*operatorv1.Document, error)
}

// KeyValue is the platform's service. An error of Swap leaves open whether the
// write took effect.
type KeyValue interface {
	Get(ctx context.Context, key string) (KVEntry, error)
	Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (KVEntry, error)
	Watch(ctx context.Context, key string, known uint64, wait time.Duration) (KVEntry, error)
}

// KVEntry is one key's state; revision 0 means that the key does not exist.
type KVEntry struct {
	Value    []byte
	Revision uint64
	// Swapped says whether the Swap that returned this entry wrote it.
	Swapped bool
}

// Store is the platform's store as leases, ranges and watches. Errors that the
// callers tell apart are ErrCompacted, ErrLeaseEnded and ErrConflict; any other
// leaves open whether a write took effect.
type Store interface {
	// Range returns the items whose key has the prefix, and the store's revision
	// from which a Watch goes on.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits for changes after the revision and returns them with the
	// revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// Put writes the key if its revision is the expected one; 0 stands for a key
	// that does not exist. It returns the new revision.
	Put(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (uint64, error)
	// Grant makes a lease.
	Grant(ctx context.Context, length time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// Item is one key of the store, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// The errors of a Store that say what the store did.
var (
	// ErrCompacted says that the history of a watch is no longer kept.
	ErrCompacted = errors.New("the store no longer has this history")
	// ErrLeaseEnded says that the lease has ended.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrConflict says that the key has another revision; nothing was written.
	ErrConflict = errors.New("the key has another revision")
)
