// Package follow keeps the newest configuration in force. It watches one key of
// the platform's store and accepts newer documents from other daemons; an older
// one never replaces a newer one.
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
	// watchTime bounds one watch below the 20 s of history that the users' stores
	// keep, so that it goes on from where it ended; keep-alive probes find a silent
	// connection sooner.
	watchTime = 18 * time.Second
	// watchMargin is added to it for the way.
	watchMargin = time.Second
	// missedTime is how long the watch may tell a change later than other ways.
	missedTime = time.Second
	// callTime bounds one read of the key.
	callTime = time.Second
	// firstPause and longestPause bound the time between attempts while the store
	// fails.
	firstPause   = 150 * time.Millisecond
	longestPause = 1200 * time.Millisecond
	// awayPause is the time between attempts while the store is known to be away;
	// StoreRecovered ends it.
	awayPause = 5 * time.Second
)

// errAgain ends a watch that has missed a change.
var errAgain = errors.New("the watch has missed a change")

// Config configures a follower.
type Config struct {
	Timers teaseltack.Timers
	Rand   teaseltack.RandSource
	Store  teaseltack.Store
	Key    string
	// Decode decodes a document; after an error the one in force stays.
	Decode func(document []byte) (*rules.Config, error)
	// PollPeriod returns the time between two reads in addition to the watch, which
	// may miss a change silently. It grows with the fleet, so that the read rate of
	// the whole fleet stays constant.
	PollPeriod func() time.Duration
	// OnMissedChange is called on a timer when the watch has missed a change, since
	// other watches may have too; it may be nil.
	OnMissedChange func()
	// StoreDown reports that the store is known to be unreachable and that
	// StoreRecovered will be called once it is back; it may be nil.
	StoreDown func() bool
	// OnChange is called under the follower's lock when a configuration has come
	// into force, so calls come in the order of generations. from is the source of
	// the document: store, poll or peer.
	OnChange func(table *rules.Table, from string)
	// OnReject is called when a document could not be decoded.
	OnReject func(err error)
	// OnStoreResult is called after each call to the store, with its error or nil,
	// on the goroutine of Run or of the poll.
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
	// watched is the newest generation that the watch has told.
	watched teaseltack.Generation
	// again ends the watch that waits, so that the key is read anew.
	again context.CancelFunc
	// back ends a pause once the store answers again.
	back chan struct{}
}

// New returns a follower without a configuration; Run starts it.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, backoff: jitter.New(jitter.Config{Timers: cfg.Timers, Rand: cfg.Rand, First: firstPause}), back: make(chan struct{}, 1)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

// Close ends Run.
func (f *Follower) Close() {
	f.stop()
}

// StoreRecovered ends a pause between attempts, since the store is reachable
// again.
func (f *Follower) StoreRecovered() {
	select {
	case f.back <- struct{}{}:
	default:
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

// MayBeStale reports that the last read or watch of the key failed, so that a newer
// configuration may be in force elsewhere.
func (f *Follower) MayBeStale() bool {
	return f.failing.Load()
}

// Adopt puts a document from another daemon into force if it is newer.
func (f *Follower) Adopt(_ teaseltack.Generation, document []byte) {
	f.take(document, fromPeer)
}

// The ways on which a document comes.
const (
	fromWatch = "store"
	fromPoll  = "poll"
	fromPeer  = "peer"
)

func (f *Follower) take(document []byte, from string) {
	config, err := f.cfg.Decode(document)
	if err != nil {
		f.cfg.OnReject(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == fromWatch {
		f.watched = max(f.watched, config.Generation)
	} else if f.watched < config.Generation {
		f.cfg.Timers.After(missedTime, func() { f.checkWatch(config.Generation) })
	}
	if old := f.table.Load(); old != nil && old.Config().Generation >= config.Generation {
		return
	}
	table := rules.New(*config)
	f.table.Store(table)
	f.cfg.OnChange(table, from)
}

// checkWatch reads the key anew if the watch has not told the generation that
// came on another way.
func (f *Follower) checkWatch(generation teaseltack.Generation) {
	f.mu.Lock()
	missed, again := f.watched < generation, f.again
	f.mu.Unlock()
	if !missed || f.ctx.Err() != nil {
		return
	}
	if again != nil {
		again()
	}
	if f.cfg.OnMissedChange != nil {
		f.cfg.OnMissedChange()
	}
}

// poll reads the key from time to time, whatever the watch tells.
func (f *Follower) poll() {
	for f.ctx.Err() == nil {
		period := f.cfg.PollPeriod()
		f.backoff.Sleep(f.ctx, period/2+time.Duration(f.cfg.Rand.Uint64()%uint64(period)), nil)
		if f.failing.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(f.ctx, callTime)
		items, _, err := f.cfg.Store.Range(ctx, f.cfg.Key)
		cancel()
		if f.ctx.Err() == nil {
			f.cfg.OnStoreResult("poll", err)
		}
		f.takeAll(items, fromPoll)
	}
}

func (f *Follower) takeAll(items []teaseltack.Item, from string) {
	for _, item := range items {
		if item.Key == f.cfg.Key && !item.Removed {
			f.take(item.Value, from)
		}
	}
}

// Run follows the key until Close.
func (f *Follower) Run() {
	go f.poll()
	failures := 0
	revision := uint64(0)
	for f.ctx.Err() == nil {
		next, err := f.step(revision)
		switch {
		case err == nil:
			revision, failures = next, 0
			f.failing.Store(false)
		case errors.Is(err, teaseltack.ErrCompacted):
			revision = 0
		case errors.Is(err, errAgain):
			revision = 0
		default:
			f.failing.Store(true)
			f.pause(failures)
			failures++
		}
	}
}

// step reads the key once, or waits for its next change.
func (f *Follower) step(revision uint64) (uint64, error) {
	length := callTime
	if revision > 0 {
		length = watchTime + watchMargin
	}
	ctx, cancel := context.WithTimeout(f.ctx, length)
	defer cancel()
	watch, again := context.WithCancel(ctx)
	defer again()
	f.mu.Lock()
	f.again = again
	f.mu.Unlock()
	items, next, err := f.read(watch, revision)
	if watch.Err() != nil && ctx.Err() == nil {
		return 0, errAgain
	}
	if f.ctx.Err() == nil {
		f.cfg.OnStoreResult("configuration", err)
	}
	if err != nil {
		return 0, err
	}
	f.takeAll(items, fromWatch)
	return next, nil
}

func (f *Follower) read(ctx context.Context, revision uint64) ([]teaseltack.Item, uint64, error) {
	if revision == 0 {
		return f.cfg.Store.Range(ctx, f.cfg.Key)
	}
	return f.cfg.Store.Watch(ctx, f.cfg.Key, revision, watchTime)
}

func (f *Follower) pause(failures int) {
	f.backoff.Wait(f.ctx, failures, longestPause, f.back)
	if f.cfg.StoreDown != nil && f.cfg.StoreDown() {
		f.backoff.Sleep(f.ctx, awayPause, f.back)
	}
}
