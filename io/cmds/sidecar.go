package cmds

import (
	"bytes"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/config"
	"teaseltack/io/side"
	"teaseltack/io/sink"
)

const (
	// memoryPercent is the part of memory-mb that is set as the Go runtime's soft
	// memory limit; the rest is for stacks and the kernel's buffers.
	memoryPercent = 70
	// maxLogBytes bounds the log lines buffered for the standard output.
	maxLogBytes = 1 << 20
	// logCloseTimeout bounds the time for writing the last log lines at shutdown.
	logCloseTimeout = 200 * time.Millisecond
	// reloadPeriod is the period of the check whether the settings file changed
	// without a SIGHUP.
	reloadPeriod = 2 * time.Second
)

// settingsVariable names the settings file on the users' platform.
const settingsVariable = "TEASELTACK_SETTINGS"

var sidecarCommand = command{
	name: "sidecar",
	help: "Run the daemon beside a backend server on the users' platform.",
	define: func(clause *kingpin.CmdClause) action {
		path := clause.Flag("settings", "Settings file, JSON with comments.").Envar(settingsVariable).Required().String()
		return func(e *env) error {
			settings, err := config.LoadSidecar(*path)
			if err != nil {
				return usageError(err)
			}
			debug.SetMemoryLimit(settings.MemoryMB << 20 * memoryPercent / 100)
			out := sink.New(sink.Config{Out: os.Stdout, MaxBytes: maxLogBytes})
			defer out.Close(logCloseTimeout)
			s, err := side.New(settings, newLog("teaseltack", settings.LogLevel, out))
			if err != nil {
				return err
			}
			defer reloadOnChange(s, *path)()
			return s.Run(e.ctx, e.hard)
		}
	},
}

// reloadOnChange starts a goroutine that reloads the settings on SIGHUP and when
// the file changes. After stop SIGHUP is still caught, since it would end a process that
// exits.
func reloadOnChange(s *side.Sidecar, path string) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(reloadPeriod)
	done := make(chan struct{})
	go func() {
		last, _ := os.ReadFile(path)
		for {
			forced := false
			select {
			case <-done:
				return
			case <-hangups:
				forced = true
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			if !forced && (err != nil || bytes.Equal(text, last)) {
				continue
			}
			last = text
			s.Reload(config.LoadSidecar(path))
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}
