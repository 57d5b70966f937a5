//go:build linux

// Package cuts_test runs real daemons as processes in several data centres, cuts their
// ways to the store and to each other, and checks that changes of the configuration are in
// force in time.
package cuts_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	program   = flag.String("cuts.program", "", "program to test; empty builds it")
	firstSeed = flag.Uint64("cuts.seed", 1, "first seed")
	seedCount = flag.Uint64("cuts.seeds", 1, "number of consecutive seeds")
	warmUp    = flag.Duration("cuts.warm", time.Second, "time with requests before the trouble")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the program unless one is named, and runs the tests.
func run(m *testing.M) int {
	if *program != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "cuts")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	*program = filepath.Join(dir, "teaseltack")
	if output, err := exec.Command("go", "build", "-o", *program, "teaseltack/cmd/teaseltack").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

var scenarios = []struct {
	name  string
	cause func(w *world)
}{
	{"store-turns-centre-away", turnCentreAway},
	{"open-store-connections-silent", silenceOpenStoreConnections},
}

func TestChangesAreInForceInTime(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			for _, s := range scenarios {
				t.Run(s.name, func(t *testing.T) {
					t.Parallel()
					w := newWorld(t, seed)
					s.cause(w)
					w.settle()
					w.check()
				})
			}
		})
	}
}

// pause waits for a random time between the two.
func (w *world) pause(from, to time.Duration) {
	time.Sleep(from + time.Duration(w.random.Int64N(int64(to-from))))
}

// centre returns the hosts of a random data centre, and the others.
func (w *world) centre() (inside, outside []*host) {
	chosen := w.hosts[w.random.IntN(len(w.hosts))].centre
	for _, h := range w.hosts {
		if h.centre == chosen {
			inside = append(inside, h)
		} else {
			outside = append(outside, h)
		}
	}
	return inside, outside
}

// some returns as many random hosts.
func (w *world) some(count int) []*host {
	var chosen []*host
	for _, i := range w.random.Perm(len(w.hosts))[:count] {
		chosen = append(chosen, w.hosts[i])
	}
	return chosen
}

func turnCentreAway(w *world) {
	inside, _ := w.centre()
	for _, h := range inside {
		w.begin(&h.away)
		h.front.turnAway(true)
	}
	w.pause(0, 1500*time.Millisecond)
	w.change()
	w.pause(0, time.Second)
	w.change()
}

func silenceOpenStoreConnections(w *world) {
	for _, h := range w.hosts {
		w.begin(&h.away)
		h.front.way.silenceOpen()
	}
	w.pause(0, 500*time.Millisecond)
	w.change()
}
