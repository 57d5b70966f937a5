package roster

import (
	"context"
	"errors"
	"time"

	"teaseltack"
)

// watch reads all records once and then follows the changes.
func (r *Roster) watch() {
	failures := 0
	for r.ctx.Err() == nil {
		err := r.follow()
		if err == nil {
			failures = 0
			continue
		}
		if errors.Is(err, teaseltack.ErrCompacted) {
			r.forgetRevision()
			continue
		}
		r.probe()
		r.backoff.Wait(r.ctx, failures, longestWatchPause, r.back)
		if r.StoreDown() {
			r.backoff.Sleep(r.ctx, awayPause, r.back)
		}
		failures++
	}
}

func (r *Roster) forgetRevision() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = 0
}

func (r *Roster) follow() error {
	r.mu.Lock()
	after, count := r.revision, len(r.members)
	r.mu.Unlock()
	if after == 0 {
		return r.list()
	}
	var items []teaseltack.Item
	refreshed := false
	err := r.call("watch", watchTime+watchMargin, func(ctx context.Context) error {
		watch, again := context.WithCancel(ctx)
		defer again()
		r.mu.Lock()
		r.again = again
		refreshed = r.revision == 0
		r.mu.Unlock()
		if refreshed {
			return nil
		}
		var err error
		items, after, err = r.cfg.Store.Watch(watch, r.cfg.Prefix, after, watchTime)
		if watch.Err() != nil && ctx.Err() == nil {
			refreshed = true
			return nil
		}
		return err
	})
	if refreshed {
		return nil
	}
	if err != nil {
		r.silent()
		return err
	}
	r.apply(items, after)
	if len(items) > 0 {
		r.backoff.Sleep(r.ctx, r.gatherTime(count), nil)
	}
	return nil
}

// gatherTime is how long changes are gathered before the next watch.
func (r *Roster) gatherTime(hosts int) time.Duration {
	length := min(time.Duration(hosts)*gatherPerHost, longestGather)
	if r.cfg.Timers.Now().Sub(r.started) < startTime {
		return max(length, startGather)
	}
	return length
}

// silent starts the count of missing records anew: they are counted from the
// store's return on.
func (r *Roster) silent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = time.Time{}
}

// list reads all records.
func (r *Roster) list() error {
	var items []teaseltack.Item
	var revision uint64
	err := r.call("list", 2*callTime, func(ctx context.Context) error {
		var err error
		items, revision, err = r.cfg.Store.Range(ctx, r.cfg.Prefix)
		return err
	})
	if err != nil {
		r.silent()
		return err
	}
	r.mu.Lock()
	found := map[string]bool{}
	for _, item := range items {
		found[item.Key] = true
	}
	for host := range r.members {
		if key := r.cfg.Prefix + string(host); !found[key] {
			items = append(items, teaseltack.Item{Key: key, Removed: true})
		}
	}
	ownLost := !found[r.cfg.Prefix+string(r.own.Host)]
	r.listed = true
	r.mu.Unlock()
	if ownLost {
		items = append(items, teaseltack.Item{Key: r.cfg.Prefix + string(r.cfg.Own.Host), Removed: true})
	}
	r.apply(items, revision)
	return nil
}

// apply takes changes in.
func (r *Roster) apply(items []teaseltack.Item, revision uint64) {
	now := r.cfg.Timers.Now()
	r.mu.Lock()
	r.revision = revision
	if r.answered.IsZero() {
		r.answered = now
	}
	changed := false
	for _, item := range items {
		changed = r.applyOne(item, now) || changed
	}
	changed = r.expire(now) || changed
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

func (r *Roster) applyOne(item teaseltack.Item, now time.Time) bool {
	if item.Key == r.cfg.Prefix+string(r.own.Host) {
		if item.Removed {
			r.ownLost = true
			r.nudge()
		}
		return false
	}
	if item.Removed {
		host := teaseltack.HostID(item.Key[len(r.cfg.Prefix):])
		if m := r.members[host]; m != nil && m.missingSince.IsZero() {
			m.missingSince = now
			r.cfg.Timers.After(returnTime+time.Millisecond, r.expireNow)
		}
		return false
	}
	record, ok := recordOf(item.Key, r.cfg.Prefix, item.Value)
	if !ok {
		return false
	}
	m := r.members[record.Host]
	if m != nil && m.revision >= item.Revision {
		m.missingSince = time.Time{}
		return false
	}
	changed := m == nil || m.record != record
	r.members[record.Host] = &member{record: record, revision: item.Revision}
	return changed
}

// expireNow drops what is missing for too long, also while no change comes.
func (r *Roster) expireNow() {
	r.mu.Lock()
	now := r.cfg.Timers.Now()
	changed := r.expire(now)
	again := false
	for _, m := range r.members {
		again = again || !m.missingSince.IsZero()
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	if again && r.ctx.Err() == nil {
		r.cfg.Timers.After(returnTime/2, r.expireNow)
	}
}

// expire drops the records that the store, while it answered, did not hold for
// the return time. A stopped daemon's goes at once.
func (r *Roster) expire(now time.Time) bool {
	if r.answered.IsZero() || now.Sub(r.answered) < returnTime {
		return false
	}
	changed := false
	for host, m := range r.members {
		if !m.missingSince.IsZero() && now.Sub(m.missingSince) >= returnTime {
			delete(r.members, host)
			changed = true
		}
	}
	return changed
}
