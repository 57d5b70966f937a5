package roster

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"teaseltack"
)

// keep holds the lease and writes the own record whenever it changed or the
// store lost it.
func (r *Roster) keep() {
	k := &keeper{roster: r}
	r.awaitServer()
	failures := 0
	for r.ctx.Err() == nil {
		err := k.step()
		r.away.Store(err != nil)
		if err != nil {
			r.backoff.Wait(r.ctx, failures, longestPause, nil)
			failures++
			continue
		}
		if failures > 0 {
			r.returned()
		}
		failures = 0
		k.await()
	}
	if k.lease != 0 && r.Own().State == teaseltack.Left {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		r.cfg.OnStoreResult("lease", r.cfg.Store.Revoke(ctx, k.lease))
	}
}

// awaitServer waits a short time for the first word of the server beside.
func (r *Roster) awaitServer() {
	over := make(chan struct{})
	stop := r.cfg.Timers.After(firstWrite, func() { close(over) })
	defer stop()
	for {
		select {
		case <-r.wake:
			if r.Own().Serving != teaseltack.Absent {
				return
			}
		case <-over:
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// keeper is the state of the own record in the store.
type keeper struct {
	roster   *Roster
	lease    teaseltack.LeaseID
	renewed  time.Time
	revision uint64
	written  uint64
	isIn     bool
	// due is set until the lease is renewed.
	due bool
}

// step does what is due: a lease, its renewal, or the record.
func (k *keeper) step() error {
	r := k.roster
	now := r.cfg.Timers.Now()
	if k.lease == 0 {
		return k.grant(now)
	}
	own := r.Own()
	if !k.isIn || k.written != own.Version {
		return k.put(own)
	}
	k.due = r.probed() || k.due || now.Sub(k.renewed) >= keepPeriod
	if !k.due {
		return nil
	}
	err := r.call("lease", callTime, func(ctx context.Context) error { return r.cfg.Store.KeepAlive(ctx, k.lease) })
	if errors.Is(err, teaseltack.ErrLeaseEnded) {
		k.lease, k.isIn = 0, false
		return k.grant(now)
	}
	if err == nil {
		k.renewed, k.due = now, false
	}
	return err
}

func (k *keeper) grant(now time.Time) error {
	r := k.roster
	return r.call("lease", callTime, func(ctx context.Context) error {
		lease, err := r.cfg.Store.Grant(ctx, leaseLength)
		if err == nil {
			k.lease, k.renewed = lease, now
			r.nudge()
		}
		return err
	})
}

// put writes the record on top of the revision that it has. A write whose answer
// was lost is found by the conflict of the next one.
func (k *keeper) put(own teaseltack.Record) error {
	r := k.roster
	key := r.cfg.Prefix + string(own.Host)
	value, err := json.Marshal(entryOf(own))
	if err != nil {
		return err
	}
	err = r.call("record", callTime, func(ctx context.Context) error {
		revision, err := r.cfg.Store.Put(ctx, key, value, k.revision, k.lease)
		if err == nil {
			k.revision, k.written, k.isIn = revision, own.Version, true
		}
		return err
	})
	switch {
	case errors.Is(err, teaseltack.ErrLeaseEnded):
		k.lease, k.isIn = 0, false
	case errors.Is(err, teaseltack.ErrConflict):
		return k.find(key)
	}
	return err
}

// find reads the revision that the own key has.
func (k *keeper) find(key string) error {
	r := k.roster
	err := r.call("record", callTime, func(ctx context.Context) error {
		items, _, err := r.cfg.Store.Range(ctx, key)
		if err != nil {
			return err
		}
		k.revision = 0
		for _, item := range items {
			if item.Key == key {
				k.revision = item.Revision
			}
		}
		return nil
	})
	if err == nil {
		r.nudge()
	}
	return err
}

// await waits until something is due.
func (k *keeper) await() {
	r := k.roster
	due := make(chan struct{})
	stop := r.cfg.Timers.After(max(keepPeriod-r.cfg.Timers.Now().Sub(k.renewed), time.Millisecond), func() { close(due) })
	defer stop()
	select {
	case <-due:
	case <-r.wake:
		if r.lost() {
			k.isIn = false
		}
	case <-r.ctx.Done():
	}
}

// lost takes the note that the store removed the own record.
func (r *Roster) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.ownLost
	r.ownLost = false
	return lost
}

// entry is a record as it is written to the store.
type entry struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	DataCentre  string `json:"data-centre"`
	Region      string `json:"region"`
	PeerAddress string `json:"peer-address"`
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Serving     string `json:"serving"`
	Stopping    bool   `json:"stopping"`
}

func entryOf(r teaseltack.Record) entry {
	return entry{
		Host: string(r.Host), Incarnation: uint64(r.Incarnation), Version: r.Version,
		DataCentre: string(r.DataCentre), Region: string(r.Region), PeerAddress: r.PeerAddress,
		Service: string(r.Service), Slots: r.Slots, Serving: r.Serving.String(), Stopping: r.State == teaseltack.Left,
	}
}

// recordOf reads an entry; one that another writer spoiled names no host.
func recordOf(key, prefix string, value []byte) (teaseltack.Record, bool) {
	var e entry
	if err := json.Unmarshal(value, &e); err != nil || e.Host == "" || prefix+e.Host != key || !strings.Contains(e.PeerAddress, ":") {
		return teaseltack.Record{}, false
	}
	record := teaseltack.Record{
		Host: teaseltack.HostID(e.Host), Incarnation: teaseltack.Incarnation(e.Incarnation), Version: e.Version,
		DataCentre: teaseltack.DataCentre(e.DataCentre), Region: teaseltack.Region(e.Region), PeerAddress: e.PeerAddress,
		Service: teaseltack.Service(e.Service), Slots: e.Slots,
	}
	if e.Stopping {
		record.State = teaseltack.Left
	}
	for _, s := range []teaseltack.Serving{teaseltack.Absent, teaseltack.Ready, teaseltack.Leaving} {
		if s.String() == e.Serving {
			record.Serving = s
		}
	}
	return record, true
}
