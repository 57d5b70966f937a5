// Package watch fetches new generations of the configuration from the platform for
// the stand-alone daemon; package follow does so for the sidecar. In each data centre only a few daemons hold a watch: those that come first when a
// daemon orders the known ones by rendezvous hashing. The other daemons read only
// if the generation has not been confirmed for some time. The load on the platform
// thus grows with the number of data centres, not of daemons.
package watch

import (
	"context"
	"sync"
	"time"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"

	"teaseltack"
	"teaseltack/core/active"
	"teaseltack/core/editor"
	"teaseltack/core/member"
	"teaseltack/core/order"
)

const (
	// watchersPerDataCentre is the number of daemons per data centre that hold a watch.
	watchersPerDataCentre = 2
	// watchWait is how long one watch waits for a change.
	watchWait = 4 * time.Second
	// callTimeout bounds a read; a watch may take watchWait longer.
	callTimeout = time.Second
	// tickPeriod is the time between two checks of whether to watch or read.
	tickPeriod = 250 * time.Millisecond
	// staleAfter is the age of the last confirmation of the generation from which a
	// daemon reads the platform itself.
	staleAfter = 8 * time.Second
	// readSpacing is the mean time, within one data centre, between the reads of
	// daemons whose generation is unconfirmed.
	readSpacing = 50 * time.Millisecond
	// minReadInterval is the shortest time between two reads of one daemon.
	minReadInterval = 5 * time.Second
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = time.Second
)

// Config configures a watcher.
type Config struct {
	Timers  teaseltack.Timers
	Rand    teaseltack.RandSource
	Store   teaseltack.KeyValue
	Members *member.Table
	Holder  *active.Holder
	// OnDocument is called without locks with each document that a watch or read
	// returned, on the goroutine of that call.
	OnDocument func(*operatorv1.Document)
}

// Watcher watches or reads the document. It is safe for concurrent use.
type Watcher struct {
	cfg       Config
	mu        sync.Mutex
	calling   bool
	revision  uint64
	notBefore time.Time
	reachable bool
	// membersRevision is the revision of the membership from which isWatcher and
	// daemons were computed. Only tick uses the three, so they need no lock.
	membersRevision uint64
	isWatcher       bool
	daemons         int
	// wasStale is set once a tick has found the generation unconfirmed for
	// staleAfter; reads start after a random delay from then.
	wasStale bool
	stop     func()
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a watcher that runs on a timer until Close.
func New(cfg Config) *Watcher {
	w := &Watcher{cfg: cfg}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.stop = cfg.Timers.Every(tickPeriod, w.tick)
	return w
}

// Close stops the timer and cancels a call in progress.
func (w *Watcher) Close() {
	w.stop()
	w.cancel()
}

// Reachable reports whether the last call to the platform was answered.
func (w *Watcher) Reachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reachable
}

func (w *Watcher) tick() {
	now := w.cfg.Timers.Now()
	revision := w.cfg.Members.Revision()
	if revision != w.membersRevision {
		w.isWatcher, w.daemons = w.computeRole()
		w.membersRevision = revision
	}
	_, age := w.cfg.Holder.Generation()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calling || now.Before(w.notBefore) {
		return
	}
	if w.isWatcher {
		w.calling = true
		go w.watch()
		return
	}
	if age < staleAfter {
		w.wasStale = false
		return
	}
	if !w.wasStale {
		w.wasStale = true
		w.notBefore = now.Add(w.randomDelay(time.Duration(w.daemons) * readSpacing))
		return
	}
	w.calling = true
	w.notBefore = now.Add(minReadInterval + w.randomDelay(time.Duration(w.daemons)*readSpacing))
	go w.read()
}

// randomDelay returns a random delay below the limit. tick lets the limit grow with
// the number of daemons, so that the rate of their reads stays constant; the others
// receive the first reader's document from their peers.
func (w *Watcher) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(w.cfg.Rand.Uint64() % uint64(max(limit, 1)))
}

// computeRole reports whether this daemon is a watcher according to the members that
// it knows, and how many daemons its data centre has.
func (w *Watcher) computeRole() (bool, int) {
	own := w.cfg.Members.Own()
	var hosts []teaseltack.HostID
	for _, r := range w.cfg.Members.Records() {
		if r.DataCentre == own.DataCentre && r.State == teaseltack.Alive {
			hosts = append(hosts, r.Host)
		}
	}
	index := order.New("watch", hosts).Index(own.Host)
	return index >= 0 && index < watchersPerDataCentre, len(hosts)
}

func (w *Watcher) watch() {
	w.mu.Lock()
	revision := w.revision
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, watchWait+callTimeout)
	defer cancel()
	started := w.cfg.Timers.Now()
	entry, err := w.cfg.Store.Watch(ctx, editor.DocumentKey, revision, watchWait)
	if err != nil {
		w.finish(entry, err, 0, watchRetryDelay)
		return
	}
	age := w.cfg.Timers.Now().Sub(started)
	if len(entry.Value) == 0 {
		// An answer without a change shows the state at the end of the wait.
		age = max(age-watchWait, 0)
	}
	w.finish(entry, nil, age, 0)
}

func (w *Watcher) read() {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	started := w.cfg.Timers.Now()
	entry, err := w.cfg.Store.Get(ctx, editor.DocumentKey)
	w.finish(entry, err, w.cfg.Timers.Now().Sub(started), 0)
}

// finish ends a call and applies its answer. age is at least the time since the
// platform sent the answer, which is long if the daemon was frozen meanwhile; the
// holder ignores generations older than the one in force.
func (w *Watcher) finish(entry teaseltack.KVEntry, err error, age, delay time.Duration) {
	now := w.cfg.Timers.Now()
	w.mu.Lock()
	w.calling = false
	w.reachable = err == nil
	if delay > 0 {
		w.notBefore = now.Add(delay)
	}
	if err == nil && entry.Revision > w.revision {
		w.revision = entry.Revision
	}
	w.mu.Unlock()
	if err != nil {
		return
	}
	w.adopt(entry, age)
}

func (w *Watcher) adopt(entry teaseltack.KVEntry, age time.Duration) {
	if len(entry.Value) == 0 {
		generation, _ := w.cfg.Holder.Generation()
		w.cfg.Holder.Confirm(generation, age)
		return
	}
	document, err := editor.Decode(entry.Value)
	if err != nil {
		return
	}
	w.cfg.OnDocument(document)
	w.cfg.Holder.Confirm(teaseltack.Generation(document.Generation), age)
}
