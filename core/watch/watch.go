// Package watch learns new generations from the platform. A few daemons per
// data centre, those first in a rendezvous order of their own view, hold a
// watch; the others read only when nobody has confirmed the generation lately.
// The load on the platform grows with the data centres and not with the
// daemons.
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
	// watchers is the number of daemons per data centre that hold a watch.
	watchers = 2
	// waitTime is how long one watch waits before it is issued anew.
	waitTime = 4 * time.Second
	// patience is the time beyond waitTime after which a silent watch is given
	// up.
	patience = time.Second
	// period is the time between two looks at the own duty.
	period = 250 * time.Millisecond
	// staleAfter is the age of the last confirmation at which a daemon reads the
	// platform itself.
	staleAfter = 8 * time.Second
	// readGap spaces the reads of the stale daemons of one data centre.
	readGap = 50 * time.Millisecond
	// leastRest is the shortest rest between two reads of one daemon.
	leastRest = 5 * time.Second
	// retryRest is the rest after a failed watch.
	retryRest = time.Second
)

// Config configures a watcher.
type Config struct {
	Timers  teaseltack.Timers
	Rand    teaseltack.RandSource
	Store   teaseltack.KeyValue
	Members *member.Table
	Holder  *active.Holder
	// OnDocument is called without locks with each document that was read.
	OnDocument func(*operatorv1.Document)
}

// Watcher follows the document. It is safe for concurrent use.
type Watcher struct {
	cfg       Config
	mu        sync.Mutex
	busy      bool
	revision  uint64
	notBefore time.Time
	reachable bool
	// viewed is the revision of the membership that onDuty and population were
	// computed from; only tick uses the three.
	viewed     uint64
	onDuty     bool
	population int
	// stale is set while the generation is unconfirmed for too long.
	stale  bool
	stop   func()
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a watcher that subscribes to the timers until Close.
func New(cfg Config) *Watcher {
	w := &Watcher{cfg: cfg}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.stop = cfg.Timers.Every(period, w.tick)
	return w
}

// Close ends the subscription to the timers and the watch.
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
	if revision != w.viewed {
		w.onDuty, w.population = w.duty()
		w.viewed = revision
	}
	_, age := w.cfg.Holder.Generation()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || now.Before(w.notBefore) {
		return
	}
	if w.onDuty {
		w.busy = true
		go w.watch()
		return
	}
	if age < staleAfter {
		w.stale = false
		return
	}
	if !w.stale {
		w.stale = true
		w.notBefore = now.Add(w.spread(time.Duration(w.population) * readGap))
		return
	}
	w.busy = true
	w.notBefore = now.Add(leastRest + w.spread(time.Duration(w.population)*readGap))
	go w.read()
}

// spread draws a time up to the span. Spans that grow with the number of daemons
// keep the rate of their reads; the first reader's news reaches the others.
func (w *Watcher) spread(span time.Duration) time.Duration {
	return time.Duration(w.cfg.Rand.Uint64() % uint64(max(span, 1)))
}

// duty reports whether this daemon is among the watchers of its view, and how
// many daemons its data centre has.
func (w *Watcher) duty() (bool, int) {
	own := w.cfg.Members.Own()
	var hosts []teaseltack.HostID
	for _, r := range w.cfg.Members.Records() {
		if r.DataCentre == own.DataCentre && r.State == teaseltack.Alive {
			hosts = append(hosts, r.Host)
		}
	}
	index := order.New("watch", hosts).Index(own.Host)
	return index >= 0 && index < watchers, len(hosts)
}

func (w *Watcher) watch() {
	w.mu.Lock()
	revision := w.revision
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, waitTime+patience)
	defer cancel()
	started := w.cfg.Timers.Now()
	entry, err := w.cfg.Store.Watch(ctx, editor.DocumentKey, revision, waitTime)
	if err != nil {
		w.finish(entry, err, 0, retryRest)
		return
	}
	age := w.cfg.Timers.Now().Sub(started)
	if len(entry.Value) == 0 {
		// An answer without a change speaks of the end of the wait.
		age = max(age-waitTime, 0)
	}
	w.finish(entry, nil, age, 0)
}

func (w *Watcher) read() {
	ctx, cancel := context.WithTimeout(w.ctx, patience)
	defer cancel()
	started := w.cfg.Timers.Now()
	entry, err := w.cfg.Store.Get(ctx, editor.DocumentKey)
	w.finish(entry, err, w.cfg.Timers.Now().Sub(started), 0)
}

// finish takes in an answer of some age. A frozen daemon may hold an old one;
// the holder refuses older generations.
func (w *Watcher) finish(entry teaseltack.KVEntry, err error, age, rest time.Duration) {
	now := w.cfg.Timers.Now()
	w.mu.Lock()
	w.busy = false
	w.reachable = err == nil
	if rest > 0 {
		w.notBefore = now.Add(rest)
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
		known, _ := w.cfg.Holder.Generation()
		w.cfg.Holder.Confirm(known, age)
		return
	}
	document, err := editor.Decode(entry.Value)
	if err != nil {
		return
	}
	w.cfg.OnDocument(document)
	w.cfg.Holder.Confirm(teaseltack.Generation(document.Generation), age)
}
