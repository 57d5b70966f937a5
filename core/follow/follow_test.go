package follow_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"teaseltack"
	"teaseltack/core/follow"
	"teaseltack/core/rules"
	"teaseltack/io/clock"
	"teaseltack/io/random"
)

// fakeStore holds one key. Its faults apply to the next calls.
type fakeStore struct {
	teaseltack.Store
	mu          sync.Mutex
	value       string
	era         teaseltack.StoreEra
	revision    uint64
	changed     chan struct{}
	down        bool
	compacted   bool
	watchBroken bool
	// watchRefused makes watches fail.
	watchRefused bool
	// reads counts the reads of the key.
	reads int
	// swallowing makes new calls hang until their contexts end, lost counts how often
	// the open ones were made to.
	swallowing bool
	lost       int
}

// swallow makes the calls that are open, and new ones until restore, hang until their
// contexts end.
func (s *fakeStore) swallow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swallowing = true
	s.lost++
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore makes the store answer new calls again.
func (s *fakeStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swallowing = false
}

// isSwallowed reports whether a call that began after lost losses hangs. s.mu must be held.
func (s *fakeStore) isSwallowed(lost int) bool {
	return s.swallowing || s.lost > lost
}

// refuseWatches makes watches fail while the key can be read.
func (s *fakeStore) refuseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchRefused = true
}

// readCount returns how often the key was read.
func (s *fakeStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// breakWatch makes watches miss all further changes without an error.
func (s *fakeStore) breakWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchBroken = true
}

func (s *fakeStore) set(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setFaults(down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.compacted = down, compacted
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store return with an earlier value and revision. Watches that wait
// are not told.
func (s *fakeStore) comeBack(value string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.value, s.revision = value, revision
}

func (s *fakeStore) at() teaseltack.Revision {
	return teaseltack.Revision{Era: s.era, Number: s.revision}
}

func (s *fakeStore) items(after uint64) []teaseltack.Item {
	if s.revision <= after || s.value == "" {
		return nil
	}
	return []teaseltack.Item{{Key: "config", Value: []byte(s.value), Revision: s.at()}}
}

func (s *fakeStore) Range(ctx context.Context, _ string) ([]teaseltack.Item, teaseltack.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.swallowing {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return nil, teaseltack.Revision{}, ctx.Err()
	}
	if s.down {
		return nil, teaseltack.Revision{}, errors.New("the store is down")
	}
	s.compacted = false
	return s.items(0), s.at(), nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after teaseltack.Revision, wait time.Duration) ([]teaseltack.Item, teaseltack.Revision, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.isSwallowed(lost) {
			s.mu.Unlock()
			<-ctx.Done()
			return nil, teaseltack.Revision{}, ctx.Err()
		}
		down, items, revision, changed := s.down || s.watchRefused, s.items(after.Number), s.at(), s.changed
		compacted := s.compacted || after.Era != s.era
		if s.watchBroken {
			items = nil
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, teaseltack.Revision{}, errors.New("the store is down")
		case compacted:
			return nil, teaseltack.Revision{}, teaseltack.ErrCompacted
		case len(items) > 0:
			return items, revision, nil
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

func decode(document []byte) (*rules.Config, error) {
	n, err := strconv.Atoi(string(document))
	if err != nil {
		return nil, err
	}
	return &rules.Config{Generation: teaseltack.Generation(n), Document: document}, nil
}

func start(t *testing.T, store *fakeStore) *follow.Follower {
	t.Helper()
	return startPolling(t, store, 2*time.Second)
}

func startPolling(t *testing.T, store *fakeStore, period time.Duration) *follow.Follower {
	t.Helper()
	return run(t, follow.Config{Rand: random.Seeded(1), Store: store, PollPeriod: func() time.Duration { return period }})
}

// startSeeded starts a follower that does not poll, with the seed of the jitter.
func startSeeded(t *testing.T, store *fakeStore, seed byte, storeDown func() bool) *follow.Follower {
	t.Helper()
	return run(t, follow.Config{Rand: random.Seeded(seed), Store: store, StoreDown: storeDown})
}

// run fills the rest of the configuration and runs a follower until the test's end. Without
// a period it does not poll.
func run(t *testing.T, cfg follow.Config) *follow.Follower {
	t.Helper()
	cfg.Timers, cfg.Key, cfg.Decode = clock.Clock{}, "config", decode
	if cfg.PollPeriod == nil {
		cfg.PollPeriod = func() time.Duration { return time.Hour }
	}
	if cfg.OnInForce == nil {
		cfg.OnInForce = func(*rules.Table, string) {}
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(*rules.Table) {}
	}
	cfg.OnReject, cfg.OnDecoded, cfg.OnStoreResult = func(error) {}, func(teaseltack.Generation) {}, func(string, error) {}
	f := follow.New(cfg)
	done := make(chan struct{})
	go func() {
		f.Run()
		close(done)
	}()
	t.Cleanup(func() {
		f.Close()
		<-done
	})
	return f
}

func assertGeneration(t *testing.T, f *follow.Follower, want teaseltack.Generation) {
	t.Helper()
	generation, _ := f.Current()
	assert.Equal(t, generation, want)
}

func TestAChangeIsInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		synctest.Wait()
		assertGeneration(t, f, 0)
		for n := 1; n <= 3; n++ {
			store.set(strconv.Itoa(n))
			synctest.Wait()
			assertGeneration(t, f, teaseltack.Generation(n))
		}
	})
}

func TestAnOlderDocumentNeverReplacesANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		f.Adopt(9, []byte("9"))
		store.set("7")
		synctest.Wait()
		assertGeneration(t, f, 9)
		f.Adopt(8, []byte("8"))
		assertGeneration(t, f, 9)
		store.set("10")
		synctest.Wait()
		assertGeneration(t, f, 10)
	})
}

func TestAnUnreadableDocumentLeavesTheOneInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		store.set("4")
		synctest.Wait()
		store.set("{")
		synctest.Wait()
		assertGeneration(t, f, 4)
	})
}

// TestChangesDuringAnOutageAndAfterLostHistoryAreFound guards against a change that is
// never applied: it is written while the store is down, and the store then no longer
// has the history from which the watch would continue.
func TestChangesDuringAnOutageAndAfterLostHistoryAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		store.set("4")
		synctest.Wait()
		store.setFaults(true, false)
		store.set("5")
		time.Sleep(20 * time.Second)
		assertGeneration(t, f, 4)
		assert.Assert(t, f.MayBeStale())
		store.setFaults(false, true)
		time.Sleep(2 * time.Second)
		assertGeneration(t, f, 5)
		assert.Assert(t, !f.MayBeStale())
	})
}

// TestAChangeThatTheWatchMissesIsFoundByTheReads guards against a configuration that
// stays old because the watch silently returns no changes, as with a store that is
// about to drop its history.
func TestAChangeThatTheWatchMissesIsFoundByTheReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		store.set("4")
		synctest.Wait()
		store.breakWatch()
		store.set("5")
		time.Sleep(4 * time.Second)
		assertGeneration(t, f, 5)
	})
}

// TestAMissedChangeIsTold guards against a missed change that is not reported, or
// reported although the watch delivered it. A peer delivers generation 3, which the
// store does not have.
func TestAMissedChangeIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		var missed atomic.Int64
		f := follow.New(follow.Config{
			Timers: clock.Clock{}, Rand: random.Seeded(1), Store: store, Key: "config", Decode: decode,
			PollPeriod: func() time.Duration { return time.Hour }, OnMissedChange: func() { missed.Add(1) },
			OnInForce: func(*rules.Table, string) {},
			OnChange:  func(*rules.Table) {}, OnReject: func(error) {}, OnDecoded: func(teaseltack.Generation) {}, OnStoreResult: func(string, error) {},
		})
		go f.Run()
		synctest.Wait()
		f.Adopt(3, []byte("3"))
		time.Sleep(2 * time.Second)
		assert.Equal(t, missed.Load(), int64(1))
		store.set("4")
		synctest.Wait()
		f.Adopt(4, []byte("4"))
		time.Sleep(2 * time.Second)
		assert.Equal(t, missed.Load(), int64(1))
		f.Close()
		synctest.Wait()
	})
}

// TestTheKeyIsReadAgainAfterTheStoreReturned guards against a change that is missed because
// the watch goes on from a revision of an earlier era, and against a configuration that
// goes back to the older copy.
func TestTheKeyIsReadAgainAfterTheStoreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := startPolling(t, store, time.Hour)
		store.set("5")
		time.Sleep(time.Second)
		store.set("7")
		time.Sleep(time.Second)
		assertGeneration(t, f, 7)
		store.comeBack("5", 2)
		f.StoreReturned()
		time.Sleep(time.Second)
		assertGeneration(t, f, 7)
		store.set("8")
		time.Sleep(time.Second)
		assertGeneration(t, f, 8)
		store.comeBack("9", 2)
		f.StoreReturned()
		time.Sleep(time.Second)
		assertGeneration(t, f, 9)
	})
}

// TestARetryIsGivenUpSoon guards against a change that comes late because the attempt
// after a failed watch is a watch too, which waits for its whole length on a connection
// that the network swallowed.
func TestARetryIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		store.set("4")
		synctest.Wait()
		store.setFaults(true, false)
		synctest.Wait()
		store.swallow()
		store.setFaults(false, false)
		time.Sleep(time.Second)
		store.restore()
		store.set("5")
		time.Sleep(3 * time.Second)
		assertGeneration(t, f, 5)
	})
}

// TestOneFailedWatchDoesNotMakeAHostStale guards against polls that rest, and peers that
// are asked, for the whole length of the watch after a failed one.
func TestOneFailedWatchDoesNotMakeAHostStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := start(t, store)
		synctest.Wait()
		store.setFaults(true, false)
		synctest.Wait()
		assert.Assert(t, f.MayBeStale())
		store.setFaults(false, false)
		time.Sleep(time.Second)
		assert.Assert(t, !f.MayBeStale())
		store.breakWatch()
		store.set("5")
		time.Sleep(4 * time.Second)
		assertGeneration(t, f, 5)
	})
}

// TestAStoreThatRefusesWatchesIsAskedLittle guards against pauses that stay short because
// a read succeeds between two failed watches.
func TestAStoreThatRefusesWatchesIsAskedLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		store.refuseWatches()
		startPolling(t, store, time.Hour)
		const seconds = 60
		time.Sleep(seconds * time.Second)
		reads := store.readCount()
		assert.Assert(t, reads <= seconds+10, "%d reads in %d s", reads, seconds)
	})
}

// TestAWatchDoesNotOutliveTheRecoveryOfTheStore guards against a change that comes late
// because the watch waits on a connection that was lost with the store.
func TestAWatchDoesNotOutliveTheRecoveryOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := startPolling(t, store, time.Hour)
		store.set("4")
		synctest.Wait()
		store.swallow()
		time.Sleep(3 * time.Second)
		store.restore()
		store.set("5")
		f.StoreRecovered()
		synctest.Wait()
		assertGeneration(t, f, 5)
		store.set("6")
		synctest.Wait()
		assertGeneration(t, f, 6)
	})
}

// TestARecoveryCostsOneRead guards against a fleet that reads the key several times for
// each recovery of the store.
func TestARecoveryCostsOneRead(t *testing.T) {
	for name, lose := range map[string]func(*fakeStore){
		"watch open":   func(s *fakeStore) { s.swallow() },
		"watch failed": func(s *fakeStore) { s.setFaults(true, false) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
				f := startPolling(t, store, time.Hour)
				synctest.Wait()
				for range 3 {
					lose(store)
					time.Sleep(5 * time.Second)
					store.restore()
					store.setFaults(false, false)
					before := store.readCount()
					f.StoreRecovered()
					time.Sleep(30 * time.Second)
					assert.Equal(t, store.readCount()-before, 1)
				}
			})
		})
	}
}

// TestARecoveryDoesNotEndALaterPause guards against pauses that an earlier recovery of the
// store cuts short while the store is down again.
func TestARecoveryDoesNotEndALaterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		f := startPolling(t, store, time.Hour)
		synctest.Wait()
		f.StoreRecovered()
		time.Sleep(time.Second)
		store.setFaults(true, false)
		before := store.readCount()
		synctest.Wait()
		assert.Equal(t, store.readCount(), before)
	})
}

// TestTheKeyIsReadSoonAfterTheStoreIsBack guards against pauses that alone take longer
// than a change may take after trouble with the store, where no other call tells that the
// store is back: it answers reads and still refuses the renewal of leases.
func TestTheKeyIsReadSoonAfterTheStoreIsBack(t *testing.T) {
	const limit = 5 * time.Second
	for name, lose := range map[string]func(*fakeStore){
		"calls swallowed": func(s *fakeStore) { s.swallow() },
		"calls refused":   func(s *fakeStore) { s.setFaults(true, false) },
	} {
		t.Run(name, func(t *testing.T) {
			var longest time.Duration
			for seed := range 256 {
				synctest.Test(t, func(t *testing.T) {
					store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
					f := startSeeded(t, store, byte(seed), func() bool { return true })
					synctest.Wait()
					lose(store)
					time.Sleep(30*time.Second + time.Duration(seed)*30*time.Millisecond)
					store.restore()
					store.setFaults(false, false)
					store.set("5")
					restored := time.Now()
					for f.Table() == nil {
						time.Sleep(10 * time.Millisecond)
					}
					longest = max(longest, time.Since(restored))
				})
			}
			t.Logf("the longest time was %v", longest)
			assert.Assert(t, longest <= limit, "%v", longest)
		})
	}
}

// TestADownStoreIsAskedLittle guards against a fleet that keeps a store from coming back.
// A host's lease asks it every 0.15 to 0.9 s at a tenth of the price meanwhile.
func TestADownStoreIsAskedLittle(t *testing.T) {
	const hosts, seconds = 100, 100
	reads := 0
	for seed := range hosts {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
			startSeeded(t, store, byte(seed), func() bool { return true })
			synctest.Wait()
			store.setFaults(true, false)
			time.Sleep(seconds * time.Second)
			reads += store.readCount()
		})
	}
	perSecond := float64(reads) / hosts / seconds
	t.Logf("%.3f reads/s of a host", perSecond)
	assert.Assert(t, perSecond <= 0.35, "%.3f reads/s of a host", perSecond)
}

// Guards against a host that takes its configuration for the newest one while its reads fail.
func TestAHostWhosePollsFailIsStaleSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{changed: make(chan struct{}), value: "1", revision: 1}
		f := startPolling(t, store, 2*time.Second)
		time.Sleep(time.Second)
		begin := time.Now()
		store.swallow()
		for !f.MayBeStale() {
			assert.Assert(t, time.Since(begin) < 7*time.Second, "not stale after %v", time.Since(begin))
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a host that reads everything again for each copy of a document.
func TestCopiesOfOneDocumentCountAsOneMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{changed: make(chan struct{}), value: "1", revision: 1}
		var missed atomic.Int64
		f := run(t, follow.Config{Rand: random.Seeded(1), Store: store, OnMissedChange: func() { missed.Add(1) }})
		time.Sleep(time.Second)
		store.breakWatch()
		for range 25 {
			f.Adopt(2, []byte("2"))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, missed.Load(), int64(1))
	})
}
