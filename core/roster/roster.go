// Package roster maintains the membership of the daemons in the platform's store:
// each daemon writes its own record under a lease and watches the records of all.
// While the store is unreachable the last known members are kept; a record that is
// still missing some time after the store recovers is removed.
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
	// leaseLength is the time after which the record of a dead daemon lapses.
	leaseLength = 8 * time.Second
	// keepPeriod is the period of renewing the lease.
	keepPeriod = 2500 * time.Millisecond
	// returnTime is the time that a record may be missing from a store that
	// answers; the users' letter allows two seconds.
	returnTime = 2500 * time.Millisecond
	// watchTime bounds one watch below the 20 s of history that the users' stores
	// keep, so that it goes on from where it ended; keep-alive probes find a silent
	// connection sooner.
	watchTime = 18 * time.Second
	// watchMargin is added to it for the way.
	watchMargin = time.Second
	// callTime bounds one other call to the store.
	callTime = time.Second
	// firstPause and longestPause bound the time between attempts while the store
	// fails.
	firstPause   = 150 * time.Millisecond
	longestPause = 600 * time.Millisecond
	// longestWatchPause bounds the time between attempts to watch a store that
	// renews the lease.
	longestWatchPause = 1200 * time.Millisecond
	// awayPause is the time between attempts to watch while the renewal of the
	// lease fails as well: that costs a tenth of a call, finds the store's return
	// sooner and wakes the watch.
	awayPause = 5 * time.Second
	// gatherPerHost is the time per known host in which changes are gathered
	// before the next watch: each change returns the watch of every host, and the
	// store's calls are bounded and priced. Homes themselves refuse what a stale
	// view sends them.
	gatherPerHost = 40 * time.Millisecond
	// longestGather bounds it; a new server has to be seen within 4 s.
	longestGather = 4 * time.Second
	// startTime is the time after the start in which the records of a fleet that
	// starts together arrive one by one, and startGather the least time in which
	// they are gathered then.
	startTime   = 6 * time.Second
	startGather = time.Second
	// firstWrite is how long the first record waits for the word of the server
	// beside, so that one write does for both.
	firstWrite = 2 * time.Second
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
	// including the own one. Calls may overlap: they come from Run's goroutines,
	// from timers, and from callers of Update and AddKnown.
	OnChange func([]teaseltack.Record)
	// OnRecover is called on the goroutine that renews the lease when a call
	// succeeds again after failures; it may be nil.
	OnRecover func()
	// OnStoreResult is called after each call to the store, with its error or nil,
	// on one of Run's goroutines.
	OnStoreResult func(part string, err error)
}

// Roster holds the records. It is safe for concurrent use.
type Roster struct {
	cfg     Config
	backoff *jitter.Backoff
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	// back wakes the watch once the store answers again.
	back chan struct{}
	// away is set while the lease cannot be renewed.
	away    atomic.Bool
	started time.Time

	mu  sync.Mutex
	own teaseltack.Record
	// again ends the watch that waits, so that the records are read anew.
	again context.CancelFunc
	// probing asks for a renewal of the lease before it is due.
	probing bool
	// ownLost is set when the store removed the own record.
	ownLost  bool
	members  map[teaseltack.HostID]*member
	revision uint64
	listed   bool
	// answered is the time of the store's last answer to a watch, after which
	// missing records are counted.
	answered time.Time
}

type member struct {
	record   teaseltack.Record
	revision uint64
	// missingSince is set while the store does not hold the record.
	missingSince time.Time
}

// New returns a roster with the own record only; Run starts it.
func New(cfg Config) *Roster {
	r := &Roster{
		cfg: cfg, backoff: jitter.New(jitter.Config{Timers: cfg.Timers, Rand: cfg.Rand, First: firstPause}), own: cfg.Own, started: cfg.Timers.Now(), members: map[teaseltack.HostID]*member{},
		wake: make(chan struct{}, 1), back: make(chan struct{}, 1),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Run writes the own record and watches the others until Close.
func (r *Roster) Run() {
	var parts sync.WaitGroup
	parts.Go(r.keep)
	parts.Go(r.watch)
	parts.Wait()
}

// Close ends Run. The lease is revoked if the own record's state is Left;
// otherwise the record expires with the lease.
func (r *Roster) Close() {
	r.stop()
}

// Update changes the own record and writes it.
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
	r.nudge()
	r.notify()
}

func (r *Roster) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Own returns the own record.
func (r *Roster) Own() teaseltack.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// Records returns the known records, the own one first.
func (r *Roster) Records() []teaseltack.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]teaseltack.Record, 0, len(r.members)+1)
	list = append(list, r.own)
	for _, m := range r.members {
		list = append(list, m.record)
	}
	return list
}

// Synced reports whether the records in the store have been read at least once.
func (r *Roster) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

func (r *Roster) notify() {
	r.cfg.OnChange(r.Records())
}

// AddKnown adds records that another daemon knows, until the records in the store
// have been read.
func (r *Roster) AddKnown(records []teaseltack.Record) {
	r.mu.Lock()
	added := false
	for _, record := range records {
		if r.listed || record.Host == r.own.Host || r.members[record.Host] != nil {
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

// Refresh makes the watch read all records again, since it may have missed
// changes.
func (r *Roster) Refresh() {
	r.mu.Lock()
	r.revision = 0
	again := r.again
	r.mu.Unlock()
	if again != nil {
		again()
	}
}

// StoreDown reports whether the last attempt to renew the lease or to write the
// record failed.
func (r *Roster) StoreDown() bool {
	return r.away.Load()
}

// probe renews the lease now, which tells at a tenth of a call's price whether
// the store is away.
func (r *Roster) probe() {
	r.mu.Lock()
	r.probing = true
	r.mu.Unlock()
	r.nudge()
}

// probed takes the wish for a renewal.
func (r *Roster) probed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	wished := r.probing
	r.probing = false
	return wished
}

// returned wakes what waits for the store.
func (r *Roster) returned() {
	select {
	case r.back <- struct{}{}:
	default:
	}
	if r.cfg.OnRecover != nil {
		r.cfg.OnRecover()
	}
}

func (r *Roster) call(part string, length time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, length)
	defer cancel()
	err := do(ctx)
	if r.ctx.Err() == nil {
		r.cfg.OnStoreResult(part, err)
	}
	return err
}
