package teaseltack

import (
	"context"
	"errors"
	"time"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
)

// Timers is the clock and timer service. Components use no other clock.
type Timers interface {
	// Now returns the time with its monotonic reading.
	Now() time.Time
	// After calls run once after the delay, unless stopped before.
	After(delay time.Duration, run func()) (stop func())
	// Every calls run once per period until stopped; a missed run is skipped.
	Every(period time.Duration, run func()) (stop func())
}

// RandSource generates random numbers. It is safe for concurrent use.
type RandSource interface {
	Uint64() uint64
}

// ServerClient dispatches calls to the local backend server. Its error is a
// *Refusal; without one the answer is complete.
type ServerClient interface {
	Dispatch(ctx context.Context, call *Call, contextToken string) (*Answer, error)
}

// HomeClient sends calls to the daemon on a backend server's host. An error means
// that there is no answer of the home.
type HomeClient interface {
	// Forward's error is a *Refusal. Its verdict is NotRun only if the call has not
	// run and will not: nothing of it was sent, the home's RPC server rejected it as
	// malformed or unauthenticated, or it needs a confirmation (Call.Confirm) and
	// got none.
	Forward(ctx context.Context, to Record, call *Call) (*Answer, error)
	IssueTickets(ctx context.Context, to Record, target Target, count int) ([]Ticket, error)
}

// Gate is the admission control of the local backend server.
type Gate interface {
	// Offer admits, refuses or queues a waiter. Decide is called exactly once, now
	// or later, unless Withdraw returns true.
	Offer(w *Waiter)
	// Withdraw removes a queued waiter; false means that it was decided before.
	Withdraw(w *Waiter) bool
	// Release reports the end of an admitted call and frees its slot.
	Release(w *Waiter, outcome Outcome)
	// Resize sets the slots and connections that the server announced; cold is set
	// if the server has just started.
	Resize(slots, connections int, cold bool)
	// Load returns the gate's load, with the admission level of one method.
	Load(method Method) Load
}

// Waiter is a call that was offered to a gate.
type Waiter struct {
	Method   Method
	Priority Priority
	Deadline time.Time
	// Decide is called once, with nil on admission or with the refusal.
	Decide func(*Refusal)
	// Index is the position in the queue, maintained by the gate.
	Index   int
	Arrived time.Time
	Started time.Time
	// NestedWait is the time that the call's nested calls waited in queues; set
	// before Release.
	NestedWait time.Duration
}

// Outcome is how an admitted call ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeComplete is a complete answer in time.
	OutcomeComplete Outcome = iota
	// OutcomeFailed is a call that ended without a complete answer and may have run.
	OutcomeFailed
	// OutcomeErrored is an answer that reports an error, or a call that the server
	// did not run.
	OutcomeErrored
	// OutcomeCancelled is a call that timed out, whose caller disconnected or that
	// was not dispatched after its admission.
	OutcomeCancelled
)

// Policies holds the operators' policies in force.
type Policies interface {
	// Policy returns the policy of a target; false means that the configuration
	// in force has none.
	Policy(target Target) (Policy, bool)
}

// Router chooses the targets of requests by the configuration in force.
type Router interface {
	// Reroute returns the target of the call's request and the generation in force, if the
	// call was routed by an older one. It returns false if it was not, or if no rule
	// matches the request any more. The service stays if the configuration in force sends
	// the request there too.
	Reroute(call *Call) (Target, Generation, bool)
}

// PeerClient sends control messages to other daemons. Addresses are IP:port.
type PeerClient interface {
	Exchange(ctx context.Context, address string, m Exchange) (Exchange, error)
	Pull(ctx context.Context, address string, buckets []uint32, records []Record) ([]Record, error)
	// FetchDocument returns the peer's document, or nil unless it is newer.
	FetchDocument(ctx context.Context, address string, above Generation) (*operatorv1.Document, error)
}

// KeyValue is the platform's key-value service. After an error of Swap the write
// may or may not have taken effect.
type KeyValue interface {
	Get(ctx context.Context, key string) (KVEntry, error)
	Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (KVEntry, error)
	Watch(ctx context.Context, key string, known uint64, wait time.Duration) (KVEntry, error)
}

// KVEntry is the state of one key; revision 0 means that it does not exist.
type KVEntry struct {
	Value    []byte
	Revision uint64
	// Swapped is set if the Swap that returned this entry wrote it.
	Swapped bool
}

// Store is the platform's store with leases, ranges and watches. After an error
// other than ErrCompacted, ErrLeaseEnded and ErrConflict a write may or may not
// have taken effect.
type Store interface {
	// Era returns the current era, as far as answers have named it.
	Era() StoreEra
	// Range returns the items whose key has the prefix, and the store's revision
	// from which a Watch continues.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch waits for changes after the revision and returns them with the
	// revision to continue from. A revision of an earlier era gets ErrCompacted.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Put writes the key if its revision is the expected one; the zero Revision means
	// that the key does not exist. It returns the new revision. An expected revision of
	// an earlier era gets ErrConflict, a lease of an earlier era ErrLeaseEnded.
	Put(ctx context.Context, key string, value []byte, expected Revision, lease Lease) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, length time.Duration) (Lease, error)
	// KeepAlive renews a lease. One of an earlier era gets ErrLeaseEnded.
	KeepAlive(ctx context.Context, lease Lease) error
	// Revoke ends a lease and deletes its keys. One of an earlier era gets ErrLeaseEnded.
	Revoke(ctx context.Context, lease Lease) error
}

// Item is one key of the store, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// The errors of a Store after which the effect on the store is known.
var (
	// ErrCompacted means that the history that a watch needs was compacted, or was
	// lost with an earlier era.
	ErrCompacted = errors.New("the store no longer has this history")
	// ErrLeaseEnded means that the lease has expired, was revoked, or is of an earlier
	// era.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrConflict means that the key has another revision; nothing was written.
	ErrConflict = errors.New("the key has another revision")
)
