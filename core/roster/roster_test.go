package roster_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/roster"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

var errStoreDown = errors.New("the store is down")

// fakeStore is an in-memory store. Its leases never expire by themselves.
type fakeStore struct {
	mu         sync.Mutex
	era        teaseltack.StoreEra
	revision   uint64
	items      map[string]teaseltack.Item
	leases     map[teaseltack.LeaseID][]string
	changed    chan struct{}
	down       bool
	loseAnswer bool
	// silentAfter makes each watch that continues from this revision, or a later one,
	// hang until its context ends; 0 makes none hang.
	silentAfter uint64
	// swallowing makes new calls hang until their contexts end, lost counts how often
	// the open ones were made to.
	swallowing bool
	lost       int
	// listedAt holds the times of the calls of Range.
	listedAt []time.Time
	writes   int
	reads    int
	// answered counts the successful lists and the watches that returned changes.
	answered int
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, items: map[string]teaseltack.Item{}, leases: map[teaseltack.LeaseID][]string{}, changed: make(chan struct{})}
}

func (s *fakeStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// swallow makes the calls that are open, and new ones until restore, hang until their
// contexts end.
func (s *fakeStore) swallow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swallowing = true
	s.lost++
	s.wakeWatches()
}

// restore makes the store answer new calls again.
func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swallowing = false
}

// awaitStore hangs while the store swallows calls, and returns an error if it does.
func (s *fakeStore) awaitStore(ctx context.Context) error {
	s.mu.Lock()
	swallowing := s.swallowing
	s.mu.Unlock()
	if !swallowing {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// listsSince returns the times of the calls of Range from the given time on.
func (s *fakeStore) listsSince(from time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.listedAt), func(at time.Time) bool { return at.Before(from) })
}

// removeAll removes all keys and leases, as a store may while it refuses calls.
func (s *fakeStore) removeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		s.revision++
		s.items[key] = teaseltack.Item{Key: key, Revision: s.at(), Removed: true}
	}
	clear(s.leases)
	s.wakeWatches()
}

// backup is a copy of the store.
type backup struct {
	revision uint64
	items    map[string]teaseltack.Item
	leases   map[teaseltack.LeaseID][]string
}

func (s *fakeStore) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{s.revision, maps.Clone(s.items), maps.Clone(s.leases)}
}

// comeBack makes the store return from a copy. Watches that wait are not told.
func (s *fakeStore) comeBack(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.leases = b.revision, b.items, b.leases
	for key, item := range s.items {
		item.Revision.Era = s.era
		s.items[key] = item
	}
}

// spoil overwrites a value, as another program may.
func (s *fakeStore) spoil(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = teaseltack.Item{Key: key, Value: []byte("{"), Revision: s.at()}
	s.wakeWatches()
}

// value returns what the store holds at the key.
func (s *fakeStore) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// keysUnder returns the keys under a lease.
func (s *fakeStore) keysUnder(lease teaseltack.Lease) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases[lease.ID]
}

func (s *fakeStore) at() teaseltack.Revision {
	return teaseltack.Revision{Era: s.era, Number: s.revision}
}

func (s *fakeStore) Era() teaseltack.StoreEra {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *fakeStore) Range(ctx context.Context, prefix string) ([]teaseltack.Item, teaseltack.Revision, error) {
	if err := s.awaitStore(ctx); err != nil {
		return nil, teaseltack.Revision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.listedAt = append(s.listedAt, time.Now())
	if s.down {
		return nil, teaseltack.Revision{}, errStoreDown
	}
	s.answered++
	var items []teaseltack.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && !item.Removed {
			items = append(items, item)
		}
	}
	return items, s.at(), nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after teaseltack.Revision, wait time.Duration) ([]teaseltack.Item, teaseltack.Revision, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	silent := s.silentAfter > 0 && after.Number >= s.silentAfter || s.swallowing
	lost := s.lost
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if silent || s.lost > lost {
			s.mu.Unlock()
			<-ctx.Done()
			return nil, teaseltack.Revision{}, ctx.Err()
		}
		s.reads++
		var events []teaseltack.Item
		for key, item := range s.items {
			if strings.HasPrefix(key, prefix) && item.Revision.Number > after.Number {
				events = append(events, item)
			}
		}
		revision, changed, down, lost := s.at(), s.changed, s.down, after.Era != s.era
		if len(events) > 0 {
			s.answered++
		}
		s.mu.Unlock()
		if down {
			return nil, teaseltack.Revision{}, errStoreDown
		}
		if lost {
			return nil, teaseltack.Revision{}, teaseltack.ErrCompacted
		}
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, teaseltack.Revision{}, ctx.Err()
		}
	}
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, expected teaseltack.Revision, lease teaseltack.Lease) (teaseltack.Revision, error) {
	if err := s.awaitStore(ctx); err != nil {
		return teaseltack.Revision{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return teaseltack.Revision{}, errStoreDown
	}
	old := s.items[key]
	if old.Removed {
		old.Revision = teaseltack.Revision{}
	}
	if old.Revision != expected {
		return teaseltack.Revision{}, teaseltack.ErrConflict
	}
	if !s.holds(lease) {
		return teaseltack.Revision{}, teaseltack.ErrLeaseEnded
	}
	s.revision++
	s.items[key] = teaseltack.Item{Key: key, Value: value, Revision: s.at()}
	s.leases[lease.ID] = append(s.leases[lease.ID], key)
	s.wakeWatches()
	if s.loseAnswer {
		s.loseAnswer = false
		return teaseltack.Revision{}, errStoreDown
	}
	return s.at(), nil
}

// holds reports whether the lease was granted in this era and has not ended. s.mu must be
// held.
func (s *fakeStore) holds(lease teaseltack.Lease) bool {
	_, ok := s.leases[lease.ID]
	return ok && lease.Era == s.era
}

func (s *fakeStore) Grant(ctx context.Context, _ time.Duration) (teaseltack.Lease, error) {
	if err := s.awaitStore(ctx); err != nil {
		return teaseltack.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return teaseltack.Lease{}, errStoreDown
	}
	s.revision++
	s.leases[teaseltack.LeaseID(s.revision)] = nil
	return teaseltack.Lease{Era: s.era, ID: teaseltack.LeaseID(s.revision)}, nil
}

func (s *fakeStore) KeepAlive(ctx context.Context, lease teaseltack.Lease) error {
	if err := s.awaitStore(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errStoreDown
	}
	if !s.holds(lease) {
		return teaseltack.ErrLeaseEnded
	}
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, lease teaseltack.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holds(lease) {
		return teaseltack.ErrLeaseEnded
	}
	for _, key := range s.leases[lease.ID] {
		s.revision++
		s.items[key] = teaseltack.Item{Key: key, Revision: s.at(), Removed: true}
	}
	delete(s.leases, lease.ID)
	s.wakeWatches()
	return nil
}

func (s *fakeStore) counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func (s *fakeStore) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, item := range s.items {
		if !item.Removed {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func start(t *testing.T, store *fakeStore, name string) *roster.Roster {
	t.Helper()
	return startProcess(t, store, teaseltack.Record{Host: teaseltack.HostID(name)}, nil)
}

// startProcess starts a process of the host in own.
func startProcess(t *testing.T, store *fakeStore, own teaseltack.Record, onPredecessor func(*teaseltack.Record, teaseltack.StoreEra)) *roster.Roster {
	t.Helper()
	return startSeeded(t, store, own, onPredecessor, 1)
}

// startSeeded is startProcess with the seed of the jitter.
func startSeeded(t *testing.T, store *fakeStore, own teaseltack.Record, onPredecessor func(*teaseltack.Record, teaseltack.StoreEra), seed byte) *roster.Roster {
	t.Helper()
	own.Service, own.PeerAddress, own.Version = "s", "10.0.0.1:1", 1
	r := roster.New(roster.Config{
		Timers: clock.Clock{}, Rand: random.Seeded(seed), Store: store, Prefix: "h/", Own: own,
		OnChange: func([]teaseltack.Record) {}, OnStoreResult: func(string, error) {}, OnPredecessor: onPredecessor,
	})
	done := make(chan struct{})
	go func() {
		r.Run()
		close(done)
	}()
	t.Cleanup(func() {
		r.Close()
		<-done
	})
	return r
}

func hasRecord(r *roster.Roster, name string) bool {
	return slices.ContainsFunc(r.Records(), func(record teaseltack.Record) bool { return string(record.Host) == name })
}

func TestHostsFindEachOtherAndTheirChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(5 * time.Second)
		assert.Assert(t, hasRecord(a, "b") && hasRecord(b, "a"))
		b.Update(func(r *teaseltack.Record) { r.Serving = teaseltack.Ready })
		time.Sleep(time.Second)
		for _, record := range a.Records() {
			if record.Host == "b" {
				assert.Equal(t, record.Serving, teaseltack.Ready)
			}
		}
	})
}

// TestTheViewStandsWhileTheStoreIsAway guards against daemons that lose the known
// records when the store is unreachable and drops all records meanwhile.
func TestTheViewStandsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(5 * time.Second)
		store.setDown(true)
		store.removeAll()
		time.Sleep(time.Minute)
		assert.Assert(t, hasRecord(a, "b") && hasRecord(b, "a"))
	})
}

func TestEntriesAreBackWithinTwoSecondsOfTheReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(5 * time.Second)
		store.setDown(true)
		store.removeAll()
		time.Sleep(30 * time.Second)
		store.setDown(false)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, store.keys(), []string{"h/a", "h/b"})
		time.Sleep(10 * time.Second)
		assert.Assert(t, hasRecord(a, "b") && hasRecord(b, "a"))
	})
}

// TestOneThatIsStillMissingIsTakenAsGone guards against records of dead daemons that
// stay known for ever: a daemon stops during an outage of the store, so its record
// does not come back after the recovery.
func TestOneThatIsStillMissingIsTakenAsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(5 * time.Second)
		store.setDown(true)
		b.Close()
		store.removeAll()
		time.Sleep(10 * time.Second)
		assert.Assert(t, hasRecord(a, "b"))
		store.setDown(false)
		time.Sleep(8 * time.Second)
		assert.Assert(t, !hasRecord(a, "b"))
	})
}

// TestARevokedRecordIsWrittenAgain guards against a live host that stays missing after
// the store removed its record and its lease.
func TestARevokedRecordIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		start(t, store, "a")
		time.Sleep(5 * time.Second)
		store.removeAll()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, store.keys(), []string{"h/a"})
	})
}

// TestALostAnswerToAWriteIsResolved guards against a record that can no longer be
// written: the answer to a successful write is lost, so the host expects an old
// revision.
func TestALostAnswerToAWriteIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.loseAnswer = true
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(6 * time.Second)
		a.Update(func(r *teaseltack.Record) { r.Slots = 7 })
		time.Sleep(3 * time.Second)
		assert.Assert(t, slices.ContainsFunc(b.Records(), func(r teaseltack.Record) bool { return r.Host == "a" && r.Slots == 7 }))
	})
}

func TestSpoiledEntriesNameNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		lease, err := store.Grant(t.Context(), time.Minute)
		assert.NilError(t, err)
		for key, value := range map[string]string{
			"h/x": "\x00", "h/y": `{"host":"other","peer-address":"1:1"}`, "h/z": `{"host":"z"}`, "h/v": `[1]`, "h/w": `{"host":7,"peer-address":"1:1"}`,
		} {
			_, err := store.Put(t.Context(), key, []byte(value), teaseltack.Revision{}, lease)
			assert.NilError(t, err)
		}
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(a.Records()), 2)
		assert.Equal(t, len(b.Records()), 2)
	})
}

func TestAStoppedHostTakesItsRecordAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a := start(t, store, "a")
		time.Sleep(5 * time.Second)
		a.Update(func(r *teaseltack.Record) { r.State = teaseltack.Left })
		a.Close()
		time.Sleep(time.Second)
		assert.Equal(t, len(store.keys()), 0)
	})
}

// TestAHostThatMayLackTombstonesLeavesItsRecord guards against a process that takes an
// incomplete list of tombstones for complete, because the process before it has stopped as
// planned and taken away the record that says so.
func TestAHostThatMayLackTombstonesLeavesItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.comeBack(store.backup())
		a := start(t, store, "a")
		time.Sleep(5 * time.Second)
		a.Update(func(r *teaseltack.Record) { r.State = teaseltack.Left })
		a.Close()
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.keys(), []string{"h/a"})
	})
}

// TestTheRecordOfAnEarlierProcessIsReported guards against a process that does not learn
// what the process before it knew to be stored, since its own record takes that place.
func TestTheRecordOfAnEarlierProcessIsReported(t *testing.T) {
	const era = 3
	for name, c := range map[string]struct {
		// earlier is set if there was an earlier process, spoiled if another program wrote
		// over its record, lost if the answer to the first write is lost.
		earlier, spoiled, lost bool
		// down is how long the store fails after the start.
		down time.Duration
		want *teaseltack.StoreEra
	}{
		"none":                           {false, false, false, 0, nil},
		"none, the store fails":          {false, false, false, 5 * time.Second, nil},
		"none, and a lost answer":        {false, false, true, 5 * time.Second, nil},
		"one, and a lost answer":         {true, false, true, 5 * time.Second, new(teaseltack.StoreEra(era))},
		"one":                            {true, false, false, 0, new(teaseltack.StoreEra(era))},
		"one, the store fails":           {true, false, false, 5 * time.Second, new(teaseltack.StoreEra(era))},
		"one, with an unreadable record": {true, true, false, 0, new(teaseltack.StoreEra(0))},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				if c.earlier {
					earlier := startProcess(t, store, teaseltack.Record{Host: "a", Incarnation: 1, TombstonesEra: era}, nil)
					time.Sleep(5 * time.Second)
					earlier.Close()
				}
				if c.spoiled {
					store.spoil("h/a")
				}
				store.setDown(c.down > 0)
				store.loseAnswer = c.lost
				reported := make(chan *teaseltack.Record, 10)
				startProcess(t, store, teaseltack.Record{Host: "a", Incarnation: 2}, func(r *teaseltack.Record, _ teaseltack.StoreEra) { reported <- r })
				time.Sleep(c.down)
				store.setDown(false)
				if c.down == 0 {
					// Before the first write, which waits for the server's state.
					time.Sleep(500 * time.Millisecond)
					assert.Equal(t, len(reported), 1)
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, len(reported), 1)
				got := <-reported
				assert.Equal(t, got != nil, c.want != nil)
				if got != nil {
					assert.Equal(t, got.TombstonesEra, *c.want)
					assert.Equal(t, got.TombstonesUnknown, c.spoiled)
				}
			})
		})
	}
}

// TestCallsToTheStoreDoNotGrowWithTheFleet guards against calls per idle host that
// grow with the number of hosts, or idle hosts that write.
func TestCallsToTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{3, 60} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			for i := range count {
				start(t, store, "host-"+string(rune('A'+i)))
			}
			time.Sleep(10 * time.Second)
			readsBefore, writesBefore := store.counts()
			time.Sleep(100 * time.Second)
			reads, writes := store.counts()
			assert.Assert(t, reads-readsBefore <= 10*count, "%d reads of %d hosts", reads-readsBefore, count)
			assert.Equal(t, writes, writesBefore)
		})
	}
}

// TestAFailingStoreIsAskedLittle guards against a host that retries too often while
// the store fails, or that waits so long that it writes its record late after the
// recovery.
func TestAFailingStoreIsAskedLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		start(t, store, "a")
		time.Sleep(5 * time.Second)
		store.setDown(true)
		readsBefore, writesBefore := store.counts()
		const downSeconds = 30
		const maxReads = 12
		time.Sleep(downSeconds * time.Second)
		reads, writes := store.counts()
		assert.Assert(t, reads-readsBefore+writes-writesBefore <= 3*downSeconds, "%d calls in %d s", reads-readsBefore+writes-writesBefore, downSeconds)
		assert.Assert(t, reads-readsBefore <= maxReads, "%d reads in %d s", reads-readsBefore, downSeconds)
		store.removeAll()
		store.setDown(false)
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.keys(), []string{"h/a"})
	})
}

// TestAStartingFleetReadsLittle guards against a burst of reads when all hosts start
// at once: their servers report within two seconds, and each report ends the watch
// of every host unless changes are batched.
func TestAStartingFleetReadsLittle(t *testing.T) {
	const count, maxReadsPerHost = 60, 5
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		rosters := make([]*roster.Roster, count)
		for i := range rosters {
			rosters[i] = start(t, store, "host-"+string(rune('A'+i)))
			time.AfterFunc(time.Duration(i)*2*time.Second/count, func() {
				rosters[i].Update(func(r *teaseltack.Record) { r.Serving = teaseltack.Ready })
			})
		}
		time.Sleep(8 * time.Second)
		store.mu.Lock()
		answered := store.answered
		store.mu.Unlock()
		assert.Assert(t, answered <= maxReadsPerHost*count, "%d reads of %d hosts", answered, count)
		for _, r := range rosters {
			assert.Equal(t, len(r.Records()), count)
		}
	})
}

// TestASilentWatchDoesNotEmptyTheView guards against hosts that are taken as gone because
// the watch reported the removal of their records and then fell silent, so that it missed
// their return (soak seed 20261311).
func TestASilentWatchDoesNotEmptyTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, _, _ := start(t, store, "a"), start(t, store, "b"), start(t, store, "c")
		time.Sleep(10 * time.Second)
		store.removeAll()
		store.mu.Lock()
		store.silentAfter = store.revision
		store.mu.Unlock()
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, hasRecord(a, "b") && hasRecord(a, "c"), "a host was taken as gone")
		}
		assert.DeepEqual(t, store.keys(), []string{"h/a", "h/b", "h/c"})
	})
}

// TestALateNotificationDoesNotBringOldRecordsBack guards against calls to a host that has
// left or is draining, since a notification with older records overtook the last one.
func TestALateNotificationDoesNotBringOldRecordsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var versions []uint64
		r := roster.New(roster.Config{
			Timers: clock.Clock{}, Rand: random.Seeded(1), Store: newFakeStore(), Prefix: "h/",
			Own: teaseltack.Record{Host: "a", Service: "s", PeerAddress: "10.0.0.1:1", Version: 1},
			OnChange: func(records []teaseltack.Record) {
				if records[0].Serving == teaseltack.Ready {
					time.Sleep(time.Second)
				}
				mu.Lock()
				defer mu.Unlock()
				versions = append(versions, records[0].Version)
			},
		})
		update := func(serving teaseltack.Serving) {
			r.Update(func(own *teaseltack.Record) { own.Serving = serving })
		}
		go update(teaseltack.Ready)
		time.Sleep(500 * time.Millisecond)
		update(teaseltack.Leaving)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.DeepEqual(t, versions, []uint64{2, 3})
	})
}

// TestARecordIsWrittenAgainAfterTheStoreReturned guards against a host that stays missing,
// or that renews a lease which the store has given to another host meanwhile, after the
// store has come back from a copy without its record.
func TestARecordIsWrittenAgainAfterTheStoreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		empty := store.backup()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(10 * time.Second)
		store.comeBack(empty)
		foreign, err := store.Grant(t.Context(), time.Minute)
		assert.NilError(t, err)
		a.StoreReturned()
		b.StoreReturned()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, store.keys(), []string{"h/a", "h/b"})
		assert.Equal(t, len(store.keysUnder(foreign)), 0, "a record is under another's lease")
		time.Sleep(10 * time.Second)
		assert.Assert(t, hasRecord(a, "b") && hasRecord(b, "a"))
	})
}

// TestAChangeAfterTheStoreReturnedIsSeen guards against records that are taken as old
// because their revisions are below those of the era before.
func TestAChangeAfterTheStoreReturnedIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(10 * time.Second)
		old := store.backup()
		for slots := range 20 {
			b.Update(func(r *teaseltack.Record) { r.Slots = slots })
			time.Sleep(time.Second)
		}
		store.comeBack(old)
		a.StoreReturned()
		assert.Equal(t, recordOfB(a).Slots, 19)
		b.StoreReturned()
		b.Update(func(r *teaseltack.Record) { r.Slots = 50 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, recordOfB(a).Slots, 50)
	})
}

// TestAnOlderCopyDoesNotReplaceANewerRecord guards against a server that has left and gets
// calls again, because the store has come back with its host's record of before.
func TestAnOlderCopyDoesNotReplaceANewerRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		b.Update(func(r *teaseltack.Record) { r.Serving = teaseltack.Ready })
		time.Sleep(10 * time.Second)
		old := store.backup()
		b.Update(func(r *teaseltack.Record) { r.Serving = teaseltack.Leaving })
		time.Sleep(5 * time.Second)
		store.comeBack(old)
		a.StoreReturned()
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, recordOfB(a).Serving, teaseltack.Leaving)
		}
		b.StoreReturned()
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, strings.Contains(store.value("h/b"), `"serving":"leaving"`), store.value("h/b"))
		time.Sleep(5 * time.Second)
		assert.Equal(t, recordOfB(a).Serving, teaseltack.Leaving)
	})
}

// TestAWatchDoesNotOutliveTheRecoveryOfTheStore guards against records that come late
// because the watch waits on a connection that was lost with the store.
func TestAWatchDoesNotOutliveTheRecoveryOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a, b := start(t, store, "a"), start(t, store, "b")
		time.Sleep(10 * time.Second)
		store.swallow()
		time.Sleep(4 * time.Second)
		store.restore()
		b.Update(func(r *teaseltack.Record) { r.Slots = 7 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, recordOfB(a).Slots, 7)
	})
}

// TestAFleetReadsOnceAndSpreadAfterARecovery guards against hosts that read the records
// several times for each recovery of the store, or all at the same instant.
func TestAFleetReadsOnceAndSpreadAfterARecovery(t *testing.T) {
	const count, window = 60, 100 * time.Millisecond
	const maxPerWindow = count / 4
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		rosters := make([]*roster.Roster, count)
		for i := range rosters {
			rosters[i] = startSeeded(t, store, teaseltack.Record{Host: teaseltack.HostID("host-" + string(rune('A'+i)))}, nil, byte(i))
		}
		time.Sleep(20 * time.Second)
		for slots := range 3 {
			// All watches are opened again, so that none ends by itself in the outage.
			rosters[0].Update(func(r *teaseltack.Record) { r.Slots = 1 + slots })
			time.Sleep(5 * time.Second)
			store.swallow()
			time.Sleep(6 * time.Second)
			store.restore()
			restored := time.Now()
			time.Sleep(30 * time.Second)
			lists := store.listsSince(restored)
			assert.Equal(t, len(lists), count)
			for i, at := range lists {
				next := slices.IndexFunc(lists, func(other time.Time) bool { return other.Sub(at) > window })
				if next < 0 {
					next = count
				}
				assert.Assert(t, next-i <= maxPerWindow, "%d lists within %v", next-i, window)
			}
		}
	})
}

// recordOfB returns the record of the host b that r knows.
func recordOfB(r *roster.Roster) teaseltack.Record {
	for _, record := range r.Records() {
		if record.Host == "b" {
			return record
		}
	}
	return teaseltack.Record{}
}
