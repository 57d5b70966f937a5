package follow_test

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"teaseltack"
	"teaseltack/core/follow"
	"teaseltack/core/rules"
	"teaseltack/io/random"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 10 * time.Second

// reports records the calls of OnChange. Each waits for a value of release, unless it is
// closed.
type reports struct {
	entered, release chan struct{}
	running          atomic.Int64
	overlapped       atomic.Bool
	mu               sync.Mutex
	generations      []teaseltack.Generation
}

func newReports() *reports {
	return &reports{entered: make(chan struct{}, 100), release: make(chan struct{})}
}

func (r *reports) onChange(table *rules.Table) {
	if r.running.Add(1) > 1 {
		r.overlapped.Store(true)
	}
	defer r.running.Add(-1)
	r.mu.Lock()
	r.generations = append(r.generations, table.Config().Generation)
	r.mu.Unlock()
	r.entered <- struct{}{}
	<-r.release
}

// releaseOne ends a call of OnChange, if there is one.
func (r *reports) releaseOne() {
	select {
	case r.release <- struct{}{}:
	case <-time.After(time.Millisecond):
	}
}

func (r *reports) last() teaseltack.Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.generations) == 0 {
		return 0
	}
	return r.generations[len(r.generations)-1]
}

// assertInOrder asserts that calls did not overlap, in the order of generations.
func (r *reports) assertInOrder(t assert.TestingT) {
	assert.Assert(t, !r.overlapped.Load(), "two reports at the same time")
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 1; i < len(r.generations); i++ {
		assert.Assert(t, r.generations[i-1] < r.generations[i], "reported %v", r.generations)
	}
}

func await(t assert.TestingT, what string, reached func() bool) {
	for end := time.Now().Add(testTimeout); !reached(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s: not within %v", what, testTimeout)
	}
}

func isInForce(f *follow.Follower, want teaseltack.Generation) func() bool {
	return func() bool {
		generation, _ := f.Current()
		return generation == want
	}
}

// deliveries are the ways in which a document reaches a follower.
var deliveries = map[string]func(f *follow.Follower, store *fakeStore, n int){
	"watch": func(_ *follow.Follower, store *fakeStore, n int) { store.set(strconv.Itoa(n)) },
	"peer": func(f *follow.Follower, _ *fakeStore, n int) {
		f.Adopt(teaseltack.Generation(n), []byte(strconv.Itoa(n)))
	},
	"return of the store": func(f *follow.Follower, store *fakeStore, n int) {
		store.comeBack(strconv.Itoa(n), 1)
		f.StoreReturned()
	},
}

// Guards against a configuration that waits until the report of an earlier one has ended.
func TestASlowReportDelaysNoLaterConfiguration(t *testing.T) {
	for first, deliverFirst := range deliveries {
		for second, deliverSecond := range deliveries {
			t.Run(fmt.Sprintf("%s after %s", second, first), func(t *testing.T) {
				t.Parallel()
				store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
				r := newReports()
				var measured atomic.Uint64
				f := run(t, follow.Config{Rand: random.Seeded(1), Store: store, OnChange: r.onChange, OnInForce: func(table *rules.Table, _ string) {
					measured.Store(uint64(table.Config().Generation))
				}})
				defer close(r.release)
				go deliverFirst(f, store, 1)
				<-r.entered
				delivered := make(chan struct{})
				go func() {
					deliverSecond(f, store, 2)
					close(delivered)
				}()
				await(t, "the second configuration", isInForce(f, 2))
				await(t, "its time", func() bool { return measured.Load() == 2 })
				<-delivered
				r.release <- struct{}{}
				await(t, "its report", func() bool { return r.last() == 2 })
				r.assertInOrder(t)
			})
		}
	}
}

// Guards against a watch that misses changes and goes on because an earlier configuration
// is still being reported.
func TestASlowReportDelaysNoRestartOfTheWatch(t *testing.T) {
	store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
	missed := make(chan struct{}, 100)
	r := newReports()
	f := run(t, follow.Config{Rand: random.Seeded(1), Store: store, OnChange: r.onChange, OnMissedChange: func() { missed <- struct{}{} }})
	defer close(r.release)
	store.breakWatch()
	go f.Adopt(1, []byte("1"))
	<-r.entered
	select {
	case <-missed:
	case <-time.After(testTimeout):
		t.Fatalf("the watch was not restarted within %v", testTimeout)
	}
}

// Guards against reports that overlap, go back to an older configuration or end with one
// that is not in force.
func TestReportsEndWithTheConfigurationInForce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &fakeStore{era: 1, revision: 1, changed: make(chan struct{})}
		r := newReports()
		f := run(t, follow.Config{Rand: random.Seeded(1), Store: store, OnChange: r.onChange})
		defer f.Close()
		newest := 0
		for _, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"watch", "peer", "report ends"}), 1, 12).Draw(rt, "steps") {
			if step == "report ends" {
				r.releaseOne()
				continue
			}
			n := rapid.IntRange(max(newest-2, 1), newest+2).Draw(rt, "generation")
			newest = max(newest, n)
			if step == "peer" {
				go f.Adopt(teaseltack.Generation(n), []byte(strconv.Itoa(n)))
				continue
			}
			store.set(strconv.Itoa(n))
			await(rt, "the configuration of the store", isInForce(f, teaseltack.Generation(newest)))
		}
		await(rt, "the newest configuration", isInForce(f, teaseltack.Generation(newest)))
		close(r.release)
		await(rt, "the last report", func() bool { return r.last() == teaseltack.Generation(newest) && r.running.Load() == 0 })
		r.assertInOrder(rt)
	})
}
