// Package follow keeps the newest configuration in force in the sidecar on the
// users' platform. It watches one key of the platform's store and accepts newer
// documents from other daemons. An older document never replaces a newer one. The
// packages watch and active are its counterparts in the stand-alone daemon.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"teaseltack"
	"teaseltack/core/jitter"
	"teaseltack/core/rules"
)

const (
	// watchWait is the length of one watch. It is below the 20 s of history that
	// the users' stores keep, so that the next watch can continue from the last
	// revision. Keep-alive probes detect a dead connection sooner.
	watchWait = 18 * time.Second
	// watchMargin is added to watchWait for the network round trip.
	watchMargin = time.Second
	// watchLagLimit is how much later than a poll or a peer the watch may deliver
	// a change before it counts as missed.
	watchLagLimit = time.Second
	// callTimeout bounds one read of the key.
	callTimeout = time.Second
	// firstRetryDelay and maxRetryDelay are the first and the longest pause between
	// attempts while the store fails, before jitter.
	firstRetryDelay = 150 * time.Millisecond
	maxRetryDelay   = 1200 * time.Millisecond
	// storeDownDelay is added to the pause between attempts while StoreDown reports
	// true; StoreRecovered ends it. A store that answers reads and refuses other calls
	// gives no such sign, so the sum of one attempt and the pause after it is below 5 s.
	storeDownDelay = 2 * time.Second
)

// errWatchRestart is returned by a watch that checkWatch cancelled.
var errWatchRestart = errors.New("the watch has missed a change")

// Config configures a follower.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Store  teaseltack.Store
	Key    string
	// Decode decodes a document. After an error the configuration in force stays.
	// It is called on the goroutine that calls Adopt, on Run's or on the poll's.
	Decode func(document []byte) (*rules.Config, error)
	// PollPeriod returns the mean time between two polls of the key. They are needed
	// because the watch may silently miss a change. The period grows with the fleet,
	// so that the read rate of the whole fleet stays constant.
	PollPeriod func() time.Duration
	// OnMissedChange is called from a timer when the watch has missed a change, since
	// other watches may have missed changes too; it may be nil.
	OnMissedChange func()
	// StoreDown reports that other calls to the store fail and that StoreRecovered
	// will be called once one succeeds; it may be nil.
	StoreDown func() bool
	// OnDecoded is called without locks with the generation of each document that was
	// decoded, before it is compared with the one in force.
	OnDecoded func(generation teaseltack.Generation)
	// OnInForce is called under the follower's lock at the moment at which a configuration
	// comes into force, so calls are in the order of generations. It must not block. from
	// is the source of the document: store, poll or peer.
	OnInForce func(table *rules.Table, from string)
	// OnChange is called without locks, on a goroutine of its own, after a configuration
	// has come into force. Calls do not overlap and are in the order of generations. A
	// configuration that is replaced during a call for an earlier one is skipped; the
	// last call has the one in force. No call begins after Close.
	OnChange func(table *rules.Table)
	// OnReject is called without locks when a document could not be decoded, on the
	// goroutine that called Decode.
	OnReject func(err error)
	// OnStoreResult is called after each call to the store, with its error or nil,
	// on the goroutine of Run or of the poll. part names the purpose of the call:
	// configuration or poll. Calls that Close interrupts are not reported.
	OnStoreResult func(part string, err error)
}

// Follower holds the configuration in force. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	backoff *jitter.Backoff
	ctx     context.Context
	stop    context.CancelFunc
	table   atomic.Pointer[rules.Table]
	failing atomic.Bool
	mu      sync.Mutex
	// watchedGeneration is the newest generation that the watch has delivered.
	watchedGeneration teaseltack.Generation
	// latest is Run's latest call to the store; nil before the first.
	latest atomic.Pointer[attempt]
	// unreported is set while OnChange has not been called for the configuration in force,
	// reporting while a goroutine calls it.
	unreported, reporting bool
	// recovered ends the pause after an attempt during which the store has recovered.
	recovered chan struct{}
}

// attempt is a read or a watch of the key.
type attempt struct {
	// cancel ends the attempt, so that the key is read again.
	cancel context.CancelFunc
	watch  bool
}

// New returns a follower without a configuration; Run starts it.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, backoff: jitter.New(jitter.Config{Timers: cfg.Timers, Rand: cfg.Rand, First: firstRetryDelay}), recovered: make(chan struct{}, 1)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

// Close ends Run. A call of OnChange that is in progress may outlast it.
func (f *Follower) Close() {
	f.stop()
}

// StoreRecovered makes Run read the key again, since the store is reachable again: it ends
// a pause between attempts, and a watch whose connection may have been lost. A read that
// is in progress is left to its timeout.
func (f *Follower) StoreRecovered() {
	select {
	case f.recovered <- struct{}{}:
	default:
	}
	f.endWatch()
}

// endWatch ends an open watch, whose connection may be lost, so that the key is read again.
func (f *Follower) endWatch() {
	if a := f.latest.Load(); a != nil && a.watch {
		a.cancel()
	}
}

// StoreReturned makes Run read the key again, since the store has come back from an older
// copy.
func (f *Follower) StoreReturned() {
	f.restartWatch()
}

func (f *Follower) restartWatch() {
	if a := f.latest.Load(); a != nil {
		a.cancel()
	}
}

// Table returns the configuration in force, or nil before the first one.
func (f *Follower) Table() *rules.Table {
	return f.table.Load()
}

// Policy returns the policy of a target in the configuration in force.
func (f *Follower) Policy(target teaseltack.Target) (teaseltack.Policy, bool) {
	table := f.table.Load()
	if table == nil {
		return teaseltack.Policy{}, false
	}
	return table.Policy(target)
}

// Current returns the generation in force and its document.
func (f *Follower) Current() (teaseltack.Generation, []byte) {
	table := f.table.Load()
	if table == nil {
		return 0, nil
	}
	return table.Config().Generation, table.Config().Document
}

// MayBeStale reports that Run's reads and watches of the key fail, so that a newer
// configuration may be in force elsewhere. Polls, and answers that the store has
// dropped its history, don't change it.
func (f *Follower) MayBeStale() bool {
	return f.failing.Load()
}

// Adopt puts a document from another daemon into force if it is newer. The generation is
// the one that the daemon names for it.
func (f *Follower) Adopt(generation teaseltack.Generation, document []byte) {
	if current, _ := f.Current(); generation <= current {
		return
	}
	f.apply(document, fromPeer)
}

// The sources of a document.
const (
	fromWatch = "store"
	fromPoll  = "poll"
	fromPeer  = "peer"
)

func (f *Follower) apply(document []byte, from string) {
	config, err := f.cfg.Decode(document)
	if err != nil {
		f.cfg.OnReject(err)
		return
	}
	f.cfg.OnDecoded(config.Generation)
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == fromWatch {
		f.watchedGeneration = max(f.watchedGeneration, config.Generation)
	} else if f.watchedGeneration < config.Generation {
		f.cfg.Timers.After(watchLagLimit, func() { f.checkWatch(config.Generation) })
	}
	if old := f.table.Load(); old != nil && old.Config().Generation >= config.Generation {
		return
	}
	table := rules.New(*config)
	f.table.Store(table)
	f.cfg.OnInForce(table, from)
	f.unreported = true
	if !f.reporting {
		f.reporting = true
		go f.report()
	}
}

// report calls OnChange until no change is left.
func (f *Follower) report() {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.reporting = false }()
	for f.unreported && f.ctx.Err() == nil {
		f.unreported = false
		table := f.table.Load()
		f.mu.Unlock()
		f.cfg.OnChange(table)
		f.mu.Lock()
	}
}

// checkWatch cancels the watch and calls OnMissedChange if the watch has not
// delivered a generation that a poll or a peer delivered before.
func (f *Follower) checkWatch(generation teaseltack.Generation) {
	f.mu.Lock()
	missed := f.watchedGeneration < generation
	f.mu.Unlock()
	if !missed || f.ctx.Err() != nil {
		return
	}
	f.restartWatch()
	if f.cfg.OnMissedChange != nil {
		f.cfg.OnMissedChange()
	}
}

// poll reads the key periodically, unless the watch is already failing.
func (f *Follower) poll() {
	for f.ctx.Err() == nil {
		period := f.cfg.PollPeriod()
		f.backoff.Sleep(f.ctx, period/2+time.Duration(f.cfg.Rand.Uint64()%uint64(period)), nil)
		if f.failing.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
		items, _, err := f.cfg.Store.Range(ctx, f.cfg.Key)
		cancel()
		if f.ctx.Err() == nil {
			f.cfg.OnStoreResult("poll", err)
		}
		if err != nil {
			f.endWatch()
		}
		f.applyItems(items, fromPoll)
	}
}

func (f *Follower) applyItems(items []teaseltack.Item, from string) {
	for _, item := range items {
		if item.Key == f.cfg.Key && !item.Removed {
			f.apply(item.Value, from)
		}
	}
}

// Run watches and polls the key until Close.
func (f *Follower) Run() {
	go f.poll()
	failures := 0
	var revision teaseltack.Revision
	for f.ctx.Err() == nil {
		next, err := f.step(revision)
		switch {
		case err == nil:
			if !revision.IsZero() {
				failures = 0
			}
			f.failing.Store(false)
		case errors.Is(err, teaseltack.ErrCompacted), errors.Is(err, errWatchRestart):
		default:
			f.failing.Store(true)
			f.pause(failures)
			failures++
		}
		// After an error the revision is zero: a read of the key is given up sooner than
		// a watch, and its answer shows that the configuration is not stale.
		revision = next
	}
}

// step reads the key if revision is zero and waits for its next change otherwise. It
// returns the revision to continue from, after an error the zero one.
func (f *Follower) step(revision teaseltack.Revision) (teaseltack.Revision, error) {
	timeout := callTimeout
	if !revision.IsZero() {
		timeout = watchWait + watchMargin
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	watchCtx, cancelWatch := context.WithCancel(ctx)
	defer cancelWatch()
	f.latest.Store(&attempt{cancel: cancelWatch, watch: !revision.IsZero()})
	f.forgetRecovery()
	items, next, err := f.read(watchCtx, revision)
	if watchCtx.Err() != nil && ctx.Err() == nil {
		return teaseltack.Revision{}, errWatchRestart
	}
	if f.ctx.Err() == nil {
		f.cfg.OnStoreResult("configuration", err)
	}
	if err != nil {
		return teaseltack.Revision{}, err
	}
	f.applyItems(items, fromWatch)
	return next, nil
}

// forgetRecovery forgets a recovery of the store before the current attempt.
func (f *Follower) forgetRecovery() {
	select {
	case <-f.recovered:
	default:
	}
}

func (f *Follower) read(ctx context.Context, revision teaseltack.Revision) ([]teaseltack.Item, teaseltack.Revision, error) {
	if revision.IsZero() {
		return f.cfg.Store.Range(ctx, f.cfg.Key)
	}
	return f.cfg.Store.Watch(ctx, f.cfg.Key, revision, watchWait)
}

func (f *Follower) pause(failures int) {
	f.backoff.Wait(f.ctx, failures, maxRetryDelay, f.recovered)
	if f.cfg.StoreDown != nil && f.cfg.StoreDown() {
		f.backoff.Sleep(f.ctx, storeDownDelay, f.recovered)
	}
}
