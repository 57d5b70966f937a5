// Package member holds the membership records of all daemons. Merging records is
// commutative, associative and idempotent, so daemons that have received the same
// records in any order agree.
package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaseltack"
)

const (
	// suspectTimeout is the time that a daemon has to refute a suspicion.
	suspectTimeout = 4 * time.Second
	// deadRetention is how long the record of a dead daemon is kept, so that outdated
	// records do not make it alive again and gossip can reconnect to it after a
	// partition heals.
	deadRetention = 30 * time.Minute
	// recentChangeAge is how long a changed record is sent with every exchange.
	recentChangeAge = 3 * time.Second
	// maxRecentChanges limits the changed records that one exchange carries.
	maxRecentChanges = 40
)

// Config configures a Table.
type Config struct {
	Timers teaseltack.Timers
	Own    teaseltack.Record
	// OnChange is called without locks after the records changed, on the goroutine
	// that changed them; it may be nil.
	OnChange func()
}

// entry is a record with its hash in the digests.
type entry struct {
	record    teaseltack.Record
	hash      uint64
	changedAt time.Time
}

// Table holds the records and their digests. It is safe for concurrent use.
type Table struct {
	timers   teaseltack.Timers
	onChange func()
	mu       sync.Mutex
	own      teaseltack.Record
	entries  map[teaseltack.HostID]*entry
	// buckets and digest are the XOR of the record hashes, per bucket and over all.
	buckets [teaseltack.DigestBucketCount]uint64
	digest  uint64
	// revision counts the changes of the records.
	revision uint64
}

// New returns a table that contains only the own record.
func New(cfg Config) *Table {
	t := &Table{
		timers:   cfg.Timers,
		onChange: cfg.OnChange,
		own:      cfg.Own,
		entries:  map[teaseltack.HostID]*entry{},
	}
	t.store(cfg.Own)
	return t
}

// Compare orders two records of one host; the greater one wins a merge. The version
// comes before the incarnation: a restarted daemon raises its version above that of its
// old record (see refute).
func Compare(a, b teaseltack.Record) int {
	return cmp.Or(
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Serving, b.Serving),
		cmp.Compare(a.Generation, b.Generation),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Connections, b.Connections),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Region, b.Region),
	)
}

// bucketOf returns the digest bucket of a host.
func bucketOf(host teaseltack.HostID) uint32 {
	return uint32(xxhash.Sum64String(string(host)) % teaseltack.DigestBucketCount)
}

// hashOf returns the hash of a record in the digests. It covers all fields that Compare
// orders by, so that equal digests mean that a merge would change nothing.
func hashOf(r teaseltack.Record) uint64 {
	buffer := make([]byte, 0, 128)
	for _, text := range []string{string(r.Host), r.PeerAddress, string(r.Service), string(r.DataCentre), string(r.Region)} {
		buffer = append(buffer, text...)
		buffer = append(buffer, 0)
	}
	for _, number := range []uint64{uint64(r.Incarnation), r.Version, uint64(r.Generation), uint64(r.Slots), uint64(r.Connections)} {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	buffer = append(buffer, byte(r.State), byte(r.Serving))
	return xxhash.Sum64(buffer)
}

// store sets the record of a host and updates the digests.
func (t *Table) store(r teaseltack.Record) {
	bucket := bucketOf(r.Host)
	e := t.entries[r.Host]
	if e == nil {
		e = &entry{}
		t.entries[r.Host] = e
	}
	hash := hashOf(r)
	t.buckets[bucket] ^= e.hash ^ hash
	t.digest ^= e.hash ^ hash
	e.record, e.hash, e.changedAt = r, hash, t.timers.Now()
	t.revision++
}

func (t *Table) remove(host teaseltack.HostID) {
	e := t.entries[host]
	t.buckets[bucketOf(host)] ^= e.hash
	t.digest ^= e.hash
	delete(t.entries, host)
	t.revision++
}

// Revision returns a counter of the changes; what was computed from the records is valid
// while the counter is unchanged.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// Merge merges the records of other daemons and reports whether anything changed.
func (t *Table) Merge(records []teaseltack.Record) bool {
	t.mu.Lock()
	changed := false
	for _, r := range records {
		changed = t.merge(r) || changed
	}
	t.mu.Unlock()
	t.notify(changed)
	return changed
}

func (t *Table) merge(r teaseltack.Record) bool {
	if r.Host == t.own.Host {
		return t.refute(r)
	}
	e := t.entries[r.Host]
	if e == nil && r.State >= teaseltack.Dead {
		return false
	}
	if e != nil && Compare(r, e.record) <= 0 {
		return false
	}
	t.store(r)
	return true
}

// refute raises the own version above that of a received record about the own host that
// would win over the own record, such as a suspicion or a record of an earlier
// incarnation.
func (t *Table) refute(r teaseltack.Record) bool {
	if Compare(r, t.own) <= 0 {
		return false
	}
	t.own.Version = r.Version + 1
	t.store(t.own)
	return true
}

func (t *Table) notify(changed bool) {
	if changed && t.onChange != nil {
		t.onChange()
	}
}

// UpdateOwn applies the change to the own record, under the lock, and raises the version
// if the record differs.
func (t *Table) UpdateOwn(change func(*teaseltack.Record)) {
	t.mu.Lock()
	before := t.own
	change(&t.own)
	changed := t.own != before
	if changed {
		t.own.Version++
		t.store(t.own)
	}
	t.mu.Unlock()
	t.notify(changed)
}

// Suspect marks an alive daemon that did not answer as suspect. Only a record of its
// owner with a higher version clears the mark.
func (t *Table) Suspect(host teaseltack.HostID) {
	t.mu.Lock()
	e := t.entries[host]
	changed := e != nil && host != t.own.Host && e.record.State == teaseltack.Alive
	if changed {
		r := e.record
		r.State = teaseltack.Suspect
		t.store(r)
	}
	t.mu.Unlock()
	t.notify(changed)
}

// Tick declares the suspect daemons of the own data centre dead that have not refuted the
// suspicion in time. It spares daemons of other data centres, since a whole data centre
// may be unreachable. It removes the records of daemons that died or left long ago.
func (t *Table) Tick() {
	t.mu.Lock()
	now := t.timers.Now()
	changed := false
	for host, e := range t.entries {
		age := now.Sub(e.changedAt)
		switch {
		case e.record.State == teaseltack.Suspect && age >= suspectTimeout && e.record.DataCentre == t.own.DataCentre:
			r := e.record
			r.State = teaseltack.Dead
			t.store(r)
			changed = true
		case e.record.State >= teaseltack.Dead && age >= deadRetention:
			t.remove(host)
		}
	}
	t.mu.Unlock()
	t.notify(changed)
}

// Own returns the own record.
func (t *Table) Own() teaseltack.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own
}

// Records returns all records ordered by host.
func (t *Table) Records() []teaseltack.Record {
	return t.selectRecords(func(*entry) bool { return true })
}

// RecentChanges returns up to maxRecentChanges records that changed within
// recentChangeAge, the newest change first.
func (t *Table) RecentChanges() []teaseltack.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.timers.Now()
	var recent []*entry
	for _, e := range t.entries {
		if now.Sub(e.changedAt) < recentChangeAge {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *entry) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.record.Host, b.record.Host))
	})
	records := make([]teaseltack.Record, 0, min(len(recent), maxRecentChanges))
	for _, e := range recent[:min(len(recent), maxRecentChanges)] {
		records = append(records, e.record)
	}
	return records
}

// InBuckets returns the records in the given digest buckets, ordered by host.
func (t *Table) InBuckets(buckets []uint32) []teaseltack.Record {
	return t.selectRecords(func(e *entry) bool { return slices.Contains(buckets, bucketOf(e.record.Host)) })
}

// selectRecords returns the matching records ordered by host.
func (t *Table) selectRecords(match func(*entry) bool) []teaseltack.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]teaseltack.Record, 0, len(t.entries))
	for _, e := range t.entries {
		if match(e) {
			records = append(records, e.record)
		}
	}
	slices.SortFunc(records, func(a, b teaseltack.Record) int { return cmp.Compare(a.Host, b.Host) })
	return records
}

// Find returns the record of a host, or false if there is none.
func (t *Table) Find(host teaseltack.HostID) (teaseltack.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[host]
	if e == nil {
		return teaseltack.Record{}, false
	}
	return e.record, true
}

// Digest returns the digest of all records and the digest of each bucket.
func (t *Table) Digest() (uint64, []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest, slices.Clone(t.buckets[:])
}
