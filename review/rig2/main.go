// Command review2 plays the cases of the second review: it starts the daemons as
// separate processes and plays the platform, the endpoints and the clients.
// Usage: review2 CASE FOLDER. The exit code is 1 if a rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// cases holds the cases by name. A case returns how often the rule was broken.
var cases = map[string]func(*rig) int{}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		return exitInvalid
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer func() { _ = out.Close() }()
	r := newRig(out)
	defer r.close()
	go r.endEarly()
	defer func() {
		if failure := recover(); failure != nil {
			r.note("the case could not run: %v", failure)
			code = exitInvalid
		}
	}()
	broken := cases[os.Args[1]](r)
	if broken > 0 {
		r.note("BROKEN %d times", broken)
		return exitBroken
	}
	r.note("held")
	return exitHeld
}

// longestRun bounds a case.
const longestRun = 115 * time.Second

// endEarly ends the case, and what it started, on a signal or after longestRun.
func (r *rig) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	r.note("the case was ended early")
	r.close()
	os.Exit(exitInvalid)
}
