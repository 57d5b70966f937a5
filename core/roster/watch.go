package roster

import (
	"context"
	"errors"
	"strings"
	"time"

	"teaseltack"
)

// watch reads all records and then watches for changes until Close. It reads all
// again when the store has dropped the history or Refresh asks for it.
func (r *Roster) watch() {
	failures := 0
	for r.ctx.Err() == nil {
		err := r.watchOnce()
		if err == nil {
			failures = 0
			continue
		}
		if errors.Is(err, teaseltack.ErrCompacted) {
			r.resetRevision()
			continue
		}
		r.requestRenewal()
		r.backoff.Wait(r.ctx, failures, maxWatchRetryDelay, r.wakeWatch)
		if r.WritesFailing() {
			r.backoff.Sleep(r.ctx, storeDownDelay, r.wakeWatch)
		}
		failures++
	}
}

func (r *Roster) resetRevision() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = teaseltack.Revision{}
}

// watchOnce makes one watch and applies the changes that it returns. Without a
// revision to continue from it reads all records instead.
func (r *Roster) watchOnce() error {
	r.mu.Lock()
	after, count := r.revision, len(r.members)
	r.mu.Unlock()
	if after.IsZero() {
		return r.list()
	}
	var items []teaseltack.Item
	reread := false
	err := r.callStore("watch", watchWait+watchMargin, func(ctx context.Context) error {
		watchCtx, cancelWatch := context.WithCancel(ctx)
		defer cancelWatch()
		r.mu.Lock()
		r.cancelWatch = cancelWatch
		reread = r.revision.IsZero()
		r.watching = !reread
		r.mu.Unlock()
		if reread {
			return nil
		}
		var err error
		items, after, err = r.cfg.Store.Watch(watchCtx, r.cfg.Prefix, after, watchWait)
		r.mu.Lock()
		r.watching = false
		r.mu.Unlock()
		if watchCtx.Err() != nil && ctx.Err() == nil {
			reread = true
			return nil
		}
		return err
	})
	if reread {
		return nil
	}
	if err != nil {
		r.resetRespondingSince()
		return err
	}
	r.apply(items, after)
	if len(items) > 0 {
		r.backoff.Sleep(r.ctx, r.batchDelay(count), nil)
	}
	return nil
}

// batchDelay returns the time to wait after a change before the next watch.
func (r *Roster) batchDelay(hosts int) time.Duration {
	delay := min(time.Duration(hosts)*batchDelayPerHost, maxBatchDelay)
	if r.cfg.Timers.Now().Sub(r.started) < startupTime {
		return max(delay, minStartupBatchDelay)
	}
	return delay
}

// resetRespondingSince suspends the removal of missing records after a failed call;
// their timeout counts from the recovery of the store.
func (r *Roster) resetRespondingSince() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.respondingSince = time.Time{}
}

// list reads all records and marks those that are no longer in the store as missing.
func (r *Roster) list() error {
	var items []teaseltack.Item
	var revision teaseltack.Revision
	err := r.callStore("list", 2*callTimeout, func(ctx context.Context) error {
		var err error
		items, revision, err = r.cfg.Store.Range(ctx, r.cfg.Prefix)
		return err
	})
	if err != nil {
		r.resetRespondingSince()
		return err
	}
	r.mu.Lock()
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
	}
	for host := range r.members {
		if key := r.cfg.Prefix + string(host); !present[key] {
			items = append(items, teaseltack.Item{Key: key, Removed: true})
		}
	}
	ownKey := r.cfg.Prefix + string(r.own.Host)
	ownMissing := !present[ownKey]
	r.synced = true
	r.mu.Unlock()
	if ownMissing {
		r.reportPredecessor(nil, revision.Era)
	}
	for _, item := range items {
		if item.Key == ownKey {
			r.reportPredecessor(&item, revision.Era)
		}
	}
	if ownMissing {
		items = append(items, teaseltack.Item{Key: ownKey, Removed: true})
	}
	r.apply(items, revision)
	return nil
}

// apply applies changes up to the revision and removes records that timed out.
func (r *Roster) apply(items []teaseltack.Item, revision teaseltack.Revision) {
	now := r.cfg.Timers.Now()
	r.mu.Lock()
	r.revision = revision
	if r.respondingSince.IsZero() {
		r.respondingSince = now
	}
	changed := false
	for _, item := range items {
		changed = r.applyItemLocked(item, now) || changed
	}
	changed = r.expireLocked(now, func(*member) bool { return true }) || changed
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

func (r *Roster) applyItemLocked(item teaseltack.Item, now time.Time) bool {
	if item.Key == r.cfg.Prefix+string(r.own.Host) {
		if item.Removed {
			r.ownRemoved = true
			r.notifyWriter()
		}
		return false
	}
	if item.Removed {
		host := teaseltack.HostID(strings.TrimPrefix(item.Key, r.cfg.Prefix))
		if m := r.members[host]; m != nil && m.missingSince.IsZero() {
			m.missingSince = now
			r.cfg.Timers.After(missingTimeout+time.Millisecond, r.expireOnTimer)
		}
		return false
	}
	record, ok := decodeRecord(item.Key, r.cfg.Prefix, item.Value)
	if !ok {
		return false
	}
	m := r.members[record.Host]
	if m != nil && m.revision.Covers(item.Revision) {
		m.missingSince = time.Time{}
		return false
	}
	if m != nil && isStale(m, record, item.Revision) {
		m.revision, m.missingSince = item.Revision, time.Time{}
		return false
	}
	changed := m == nil || m.record != record
	r.members[record.Host] = &member{record: record, revision: item.Revision}
	return changed
}

// isStale reports whether a record of a new era is older than the one known, which the store
// has lost. The records of two processes of a daemon have no order.
func isStale(known *member, record teaseltack.Record, revision teaseltack.Revision) bool {
	return known.revision.Era != revision.Era && known.record.Incarnation == record.Incarnation && known.record.Version > record.Version
}

// expireOnTimer runs on a timer, so that missing records are removed even if the
// store reports no further change. The watch may have fallen silent since it reported
// the removal, and the records may be back: they are read again, and apply removes those
// that are still missing. The records of daemons that stopped are removed without that.
func (r *Roster) expireOnTimer() {
	r.mu.Lock()
	now := r.cfg.Timers.Now()
	changed := r.expireLocked(now, func(m *member) bool { return m.record.State == teaseltack.Left })
	pending, overdue := false, false
	for _, m := range r.members {
		pending = pending || !m.missingSince.IsZero()
		overdue = overdue || r.isOverdueLocked(m, now)
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	if overdue {
		r.Refresh()
	}
	if pending && r.ctx.Err() == nil {
		r.cfg.Timers.After(missingTimeout/2, r.expireOnTimer)
	}
}

// expireLocked removes the matching records that were missing from a responding store
// for missingTimeout. A stopped daemon needs no timeout: its last record has the state
// Left, which applies at once.
func (r *Roster) expireLocked(now time.Time, matches func(*member) bool) bool {
	changed := false
	for host, m := range r.members {
		if r.isOverdueLocked(m, now) && matches(m) {
			delete(r.members, host)
			changed = true
		}
	}
	return changed
}

// isOverdueLocked reports whether the record was missing from a responding store for
// missingTimeout.
func (r *Roster) isOverdueLocked(m *member, now time.Time) bool {
	if r.respondingSince.IsZero() || now.Sub(r.respondingSince) < missingTimeout {
		return false
	}
	return !m.missingSince.IsZero() && now.Sub(m.missingSince) >= missingTimeout
}
