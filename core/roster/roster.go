// Package roster maintains the membership of the sidecars on the users' platform in
// the platform's store: each daemon writes its own record under a lease and watches
// the records of all. While the store is unreachable the last known members are
// kept; a record that is still missing some time after the store recovers is
// removed. The stand-alone daemon uses the packages member and gossip instead.
package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
	"teaseltack/core/jitter"
)

const (
	// leaseTTL is the time after which the record of a dead daemon expires.
	leaseTTL = 8 * time.Second
	// renewPeriod is the time between two renewals of the lease.
	renewPeriod = 2500 * time.Millisecond
	// missingTimeout is how long a record may be missing from a responding store
	// before it is removed; the users' letter allows two seconds.
	missingTimeout = 2500 * time.Millisecond
	// watchWait is the length of one watch. It is below the 20 s of history that
	// the users' stores keep, so that the next watch can continue from the last
	// revision. Keep-alive probes detect a dead connection sooner.
	watchWait = 18 * time.Second
	// watchMargin is added to watchWait for the network round trip.
	watchMargin = time.Second
	// callTimeout bounds every other call to the store; a list may take twice as
	// long.
	callTimeout = time.Second
	// firstRetryDelay and maxRetryDelay are the first and the longest pause between
	// attempts on the lease or the record while the store fails, before jitter.
	firstRetryDelay = 150 * time.Millisecond
	maxRetryDelay   = 600 * time.Millisecond
	// maxWatchRetryDelay is the longest pause between attempts to watch while the
	// store still renews the lease, before jitter.
	maxWatchRetryDelay = 1200 * time.Millisecond
	// storeDownDelay is added to the pause between attempts to watch while renewals
	// of the lease fail as well. A renewal costs a tenth as much as another call,
	// detects the recovery of the store sooner, and then wakes the watch.
	storeDownDelay = 5 * time.Second
	// batchDelayPerHost is the delay of the next watch per known host, so that one
	// watch returns several changes. Each change ends the watch of every host, and
	// calls to the store are limited and charged. Old records do no harm meanwhile:
	// homes refuse calls that were sent because of them.
	batchDelayPerHost = 40 * time.Millisecond
	// maxBatchDelay bounds that delay; daemons have to find a new server within 4 s.
	maxBatchDelay = 4 * time.Second
	// startupTime is the time after the start in which the records of a fleet that
	// starts at once arrive one by one; the delay is then at least
	// minStartupBatchDelay.
	startupTime          = 6 * time.Second
	minStartupBatchDelay = time.Second
	// maxFirstWriteDelay is how long the first write waits for the state of the
	// local backend server, so that a second write is not needed.
	maxFirstWriteDelay = 2 * time.Second
)

// Config configures a roster.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Store  teaseltack.Store
	// Prefix is the key prefix of the records.
	Prefix string
	Own    teaseltack.Record
	// OnChange is called without locks after a change, with all known records
	// including this daemon's, on a goroutine of Run, of a timer, or of a caller of Update
	// or AddKnown. Calls do not overlap, and the last one has the current records. A
	// change during a call is reported on the goroutine of that call.
	OnChange func([]teaseltack.Record)
	// OnRecover is called on the goroutine that renews the lease when a call
	// succeeds again after failures; it may be nil.
	OnRecover func()
	// OnPredecessor is called once, on one of Run's goroutines, with the record that an
	// earlier process of this daemon has left in the store, or nil if there was none in the
	// era. It may be nil.
	OnPredecessor func(record *teaseltack.Record, era teaseltack.StoreEra)
	// OnStoreResult is called after each call to the store, with its error or nil,
	// on one of Run's goroutines. part names the purpose of the call: lease, record,
	// list or watch. Calls that Close interrupts are not reported.
	OnStoreResult func(part string, err error)
}

// Roster holds the records. It is safe for concurrent use.
type Roster struct {
	cfg        Config
	backoff    *jitter.Backoff
	ctx        context.Context
	stop       context.CancelFunc
	wakeWriter chan struct{}
	// wakeWatch ends the watch's retry delay once the store has recovered.
	wakeWatch chan struct{}
	// writesFailing is set while calls on the lease or the record return errors.
	writesFailing atomic.Bool
	started       time.Time

	mu  sync.Mutex
	own teaseltack.Record
	// cancelWatch ends the current watch, so that all records are read again.
	cancelWatch context.CancelFunc
	// watching is set while a watch is open.
	watching bool
	// renewalRequested makes the writer renew the lease before it is due.
	renewalRequested bool
	// ownRemoved is set when the store has removed this daemon's record.
	ownRemoved bool
	members    map[teaseltack.HostID]*member
	revision   teaseltack.Revision
	synced     bool
	// notifying is set while OnChange is called, and changedMeanwhile if the records have
	// changed since that call's were taken.
	notifying, changedMeanwhile bool
	// predecessorKnown is set once OnPredecessor has been called.
	predecessorKnown bool
	// firstWriteEra is the era of the first attempt to write the record.
	firstWriteEra *teaseltack.StoreEra
	// respondingSince is the time of the first list or watch that succeeded after
	// the last failed one. Only then do missing records start to time out.
	respondingSince time.Time
}

type member struct {
	record   teaseltack.Record
	revision teaseltack.Revision
	// missingSince is set while the store does not hold the record.
	missingSince time.Time
}

// New returns a roster with this daemon's record only; Run starts it.
func New(cfg Config) *Roster {
	r := &Roster{
		cfg: cfg, backoff: jitter.New(jitter.Config{Timers: cfg.Timers, Rand: cfg.Rand, First: firstRetryDelay}), own: cfg.Own, started: cfg.Timers.Now(), members: map[teaseltack.HostID]*member{},
		wakeWriter: make(chan struct{}, 1), wakeWatch: make(chan struct{}, 1),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Run writes this daemon's record and watches the others until Close.
func (r *Roster) Run() {
	var loops sync.WaitGroup
	loops.Go(r.maintainRecord)
	loops.Go(r.watch)
	loops.Wait()
}

// Close ends Run. If the state in this daemon's record is Left, the lease is revoked, unless
// the store may lack tombstones: then the record tells the next process so. Otherwise the
// record expires with the lease.
func (r *Roster) Close() {
	r.stop()
}

// Update changes this daemon's record; one of Run's goroutines writes it.
func (r *Roster) Update(change func(*teaseltack.Record)) {
	r.mu.Lock()
	before := r.own
	change(&r.own)
	same := r.own == before
	if !same {
		r.own.Version++
	}
	r.mu.Unlock()
	if same {
		return
	}
	r.notifyWriter()
	r.notify()
}

func (r *Roster) notifyWriter() {
	select {
	case r.wakeWriter <- struct{}{}:
	default:
	}
}

// Own returns this daemon's record.
func (r *Roster) Own() teaseltack.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// Records returns the known records, this daemon's first.
func (r *Roster) Records() []teaseltack.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordsLocked()
}

func (r *Roster) recordsLocked() []teaseltack.Record {
	list := make([]teaseltack.Record, 0, len(r.members)+1)
	list = append(list, r.own)
	for _, m := range r.members {
		list = append(list, m.record)
	}
	return list
}

// Synced reports whether the records in the store were read at least once.
func (r *Roster) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// notify calls OnChange, unless a call is in progress; then that call's goroutine calls it
// again.
func (r *Roster) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changedMeanwhile = true
	if r.notifying {
		return
	}
	r.notifying = true
	defer func() { r.notifying = false }()
	for r.changedMeanwhile {
		r.changedMeanwhile = false
		records := r.recordsLocked()
		r.mu.Unlock()
		r.cfg.OnChange(records)
		r.mu.Lock()
	}
}

// AddKnown adds records that another daemon knows. It does nothing once the records
// in the store have been read.
func (r *Roster) AddKnown(records []teaseltack.Record) {
	r.mu.Lock()
	added := false
	for _, record := range records {
		if r.synced || record.Host == r.own.Host || r.members[record.Host] != nil {
			continue
		}
		r.members[record.Host] = &member{record: record, missingSince: r.cfg.Timers.Now()}
		added = true
	}
	r.mu.Unlock()
	if added {
		r.notify()
	}
}

// Refresh makes the watch read all records again, for use when the watch may have
// missed changes.
func (r *Roster) Refresh() {
	r.mu.Lock()
	r.revision = teaseltack.Revision{}
	cancelWatch := r.cancelWatch
	r.mu.Unlock()
	if cancelWatch != nil {
		cancelWatch()
	}
}

// StoreReturned makes Run write this daemon's record again and read all records, since the
// store has come back from an older copy.
func (r *Roster) StoreReturned() {
	r.notifyWriter()
	r.Refresh()
}

// WritesFailing reports whether the last attempt to obtain or renew the lease or to
// write the record returned an error, which may also be an answer of the store.
func (r *Roster) WritesFailing() bool {
	return r.writesFailing.Load()
}

// requestRenewal makes the writer renew the lease now. A renewal shows whether the
// store is unreachable at a tenth of the price of another call.
func (r *Roster) requestRenewal() {
	r.mu.Lock()
	r.renewalRequested = true
	r.mu.Unlock()
	r.notifyWriter()
}

// takeRenewalRequest reports whether a renewal was requested, and resets the flag.
func (r *Roster) takeRenewalRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	requested := r.renewalRequested
	r.renewalRequested = false
	return requested
}

// reportPredecessor calls OnPredecessor, unless it has been called. item is what the store
// holds at this daemon's key in the era; nil if it holds nothing there.
func (r *Roster) reportPredecessor(item *teaseltack.Item, era teaseltack.StoreEra) {
	var found *teaseltack.Record
	readable := false
	if item != nil {
		found = &teaseltack.Record{}
		*found, readable = decodeRecord(item.Key, r.cfg.Prefix, item.Value)
		found.TombstonesUnknown = found.TombstonesUnknown || !readable
	}
	r.mu.Lock()
	known := r.predecessorKnown
	r.predecessorKnown = true
	if readable && r.firstWriteEra != nil && found.Incarnation == r.own.Incarnation {
		// The answer to the first write was lost. That write has found no record.
		found, era = nil, *r.firstWriteEra
	}
	r.mu.Unlock()
	if !known && r.cfg.OnPredecessor != nil {
		r.cfg.OnPredecessor(found, era)
	}
}

// markFirstWrite records the era of the first attempt to write the record.
func (r *Roster) markFirstWrite(era teaseltack.StoreEra) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstWriteEra == nil {
		r.firstWriteEra = &era
	}
}

// storeRecovered ends the watch's retry delay and calls OnRecover. After an outage it also
// ends a watch that is open, whose connection may have been lost; a single call that failed
// is none.
func (r *Roster) storeRecovered(outage bool) {
	select {
	case r.wakeWatch <- struct{}{}:
	default:
	}
	r.mu.Lock()
	watching := r.watching
	r.mu.Unlock()
	if watching && outage {
		r.Refresh()
	}
	if r.cfg.OnRecover != nil {
		r.cfg.OnRecover()
	}
}

func (r *Roster) callStore(part string, timeout time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	err := do(ctx)
	if r.ctx.Err() == nil {
		r.cfg.OnStoreResult(part, err)
	}
	return err
}
