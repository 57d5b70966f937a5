package roster

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"teaseltack"
)

// maintainRecord renews the lease and writes this daemon's record whenever the
// record changes or the store has lost it.
func (r *Roster) maintainRecord() {
	w := &recordWriter{roster: r}
	r.awaitServerState()
	failures := 0
	for r.ctx.Err() == nil {
		err := w.step()
		r.writesFailing.Store(err != nil)
		if err != nil {
			r.backoff.Wait(r.ctx, failures, maxRetryDelay, nil)
			failures++
			continue
		}
		if failures > 0 {
			r.storeRecovered(failures > 1)
		}
		failures = 0
		w.wait()
	}
	own := r.Own()
	tombstonesStored := !own.TombstonesUnknown && own.TombstonesEra == r.cfg.Store.Era()
	if w.lease.ID != 0 && own.State == teaseltack.Left && tombstonesStored {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		r.cfg.OnStoreResult("lease", r.cfg.Store.Revoke(ctx, w.lease))
	}
}

// awaitServerState waits at most maxFirstWriteDelay until this daemon's record has a
// backend server that is not absent.
func (r *Roster) awaitServerState() {
	timedOut := make(chan struct{})
	stop := r.cfg.Timers.After(maxFirstWriteDelay, func() { close(timedOut) })
	defer stop()
	for {
		select {
		case <-r.wakeWriter:
			if r.Own().Serving != teaseltack.Absent {
				return
			}
		case <-timedOut:
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// recordWriter is the state of this daemon's record in the store.
type recordWriter struct {
	roster         *Roster
	lease          teaseltack.Lease
	renewedAt      time.Time
	revision       teaseltack.Revision
	writtenVersion uint64
	stored         bool
	// renewalDue stays set until a renewal of the lease succeeds.
	renewalDue bool
}

// step makes the next call that is due: it grants a lease, writes the record or
// renews the lease.
func (w *recordWriter) step() error {
	r := w.roster
	now := r.cfg.Timers.Now()
	if w.lease.ID == 0 || w.lease.Era != r.cfg.Store.Era() {
		w.forget()
		return w.grant(now)
	}
	own := r.Own()
	if !w.stored || w.writtenVersion != own.Version {
		return w.put(own)
	}
	w.renewalDue = r.takeRenewalRequest() || w.renewalDue || now.Sub(w.renewedAt) >= renewPeriod
	if !w.renewalDue {
		return nil
	}
	err := r.callStore("lease", callTimeout, func(ctx context.Context) error { return r.cfg.Store.KeepAlive(ctx, w.lease) })
	if errors.Is(err, teaseltack.ErrLeaseEnded) {
		w.forget()
		return w.grant(now)
	}
	if err == nil {
		w.renewedAt, w.renewalDue = now, false
	}
	return err
}

// forget forgets the lease and that the record is stored under it.
func (w *recordWriter) forget() {
	w.lease, w.stored = teaseltack.Lease{}, false
}

func (w *recordWriter) grant(now time.Time) error {
	r := w.roster
	return r.callStore("lease", callTimeout, func(ctx context.Context) error {
		lease, err := r.cfg.Store.Grant(ctx, leaseTTL)
		if err == nil {
			w.lease, w.renewedAt = lease, now
			r.notifyWriter()
		}
		return err
	})
}

// put writes the record if the key still has the last known revision. If the answer
// to a successful write was lost, the next write conflicts and reads the revision.
func (w *recordWriter) put(own teaseltack.Record) error {
	r := w.roster
	key := r.cfg.Prefix + string(own.Host)
	value, err := json.Marshal(newStoredRecord(own))
	if err != nil {
		return err
	}
	r.markFirstWrite(w.lease.Era)
	err = r.callStore("record", callTimeout, func(ctx context.Context) error {
		revision, err := r.cfg.Store.Put(ctx, key, value, w.revision, w.lease)
		if err == nil {
			w.revision, w.writtenVersion, w.stored = revision, own.Version, true
			r.reportPredecessor(nil, revision.Era)
		}
		return err
	})
	switch {
	case errors.Is(err, teaseltack.ErrLeaseEnded):
		w.forget()
	case errors.Is(err, teaseltack.ErrConflict):
		return w.readRevision(key)
	}
	return err
}

// readRevision reads the current revision of the key, the zero one if it does not exist.
func (w *recordWriter) readRevision(key string) error {
	r := w.roster
	err := r.callStore("record", callTimeout, func(ctx context.Context) error {
		items, _, err := r.cfg.Store.Range(ctx, key)
		if err != nil {
			return err
		}
		w.revision = teaseltack.Revision{}
		for _, item := range items {
			if item.Key == key {
				w.revision = item.Revision
				r.reportPredecessor(&item, item.Revision.Era)
			}
		}
		return nil
	})
	if err == nil {
		r.notifyWriter()
	}
	return err
}

// wait returns when the lease has to be renewed, on a wake-up, or on Close. If the
// store has removed the record, it marks the record as not stored on a wake-up, so
// that step writes it again.
func (w *recordWriter) wait() {
	r := w.roster
	renewal := make(chan struct{})
	stop := r.cfg.Timers.After(max(renewPeriod-r.cfg.Timers.Now().Sub(w.renewedAt), time.Millisecond), func() { close(renewal) })
	defer stop()
	select {
	case <-renewal:
	case <-r.wakeWriter:
		if r.takeOwnRemoved() {
			w.stored = false
		}
	case <-r.ctx.Done():
	}
}

// takeOwnRemoved reports whether the store removed this daemon's record, and resets
// the flag.
func (r *Roster) takeOwnRemoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := r.ownRemoved
	r.ownRemoved = false
	return removed
}

// storedRecord is the stored form of a record.
type storedRecord struct {
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
	// The fields below are missing in the records of earlier versions.
	TombstonesEra     uint64 `json:"tombstones-era,omitempty"`
	TombstonesUnknown bool   `json:"tombstones-unknown,omitempty"`
}

func newStoredRecord(r teaseltack.Record) storedRecord {
	return storedRecord{
		Host: string(r.Host), Incarnation: uint64(r.Incarnation), Version: r.Version,
		DataCentre: string(r.DataCentre), Region: string(r.Region), PeerAddress: r.PeerAddress,
		Service: string(r.Service), Slots: r.Slots, Serving: r.Serving.String(), Stopping: r.State == teaseltack.Left,
		TombstonesEra: uint64(r.TombstonesEra), TombstonesUnknown: r.TombstonesUnknown,
	}
}

// maxSlots is the largest number of slots that a record may have, as of a heartbeat.
const maxSlots = 100_000

// decodeRecord decodes a stored record. It returns false if the value is invalid,
// for example because another writer corrupted it.
func decodeRecord(key, prefix string, value []byte) (teaseltack.Record, bool) {
	var e storedRecord
	if err := json.Unmarshal(value, &e); err != nil || e.Host == "" || prefix+e.Host != key || e.Slots < 0 || e.Slots > maxSlots {
		return teaseltack.Record{}, false
	}
	serving, known := servingNamed(e.Serving)
	if !known || !canBeDialled(e.PeerAddress) {
		return teaseltack.Record{}, false
	}
	record := teaseltack.Record{
		Host: teaseltack.HostID(e.Host), Incarnation: teaseltack.Incarnation(e.Incarnation), Version: e.Version,
		DataCentre: teaseltack.DataCentre(e.DataCentre), Region: teaseltack.Region(e.Region), PeerAddress: e.PeerAddress,
		Service: teaseltack.Service(e.Service), Slots: e.Slots, Serving: serving,
		TombstonesEra: teaseltack.StoreEra(e.TombstonesEra), TombstonesUnknown: e.TombstonesUnknown,
	}
	if e.Stopping {
		record.State = teaseltack.Left
	}
	return record, true
}

// canBeDialled reports whether the address is that of one host, as IP:port.
func canBeDialled(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}

// servingNamed returns the serving state with the name.
func servingNamed(name string) (teaseltack.Serving, bool) {
	for _, s := range []teaseltack.Serving{teaseltack.Absent, teaseltack.Ready, teaseltack.Leaving} {
		if s.String() == name {
			return s, true
		}
	}
	return teaseltack.Absent, false
}
