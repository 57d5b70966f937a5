package cmds

import (
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/config"
	"teaseltack/io/daemon"
)

// controlBytes is the memory of a daemon beside requests and answers: half of the target
// in docs/CAPACITY.md, the other half of which is for the program itself.
const controlBytes = 16 << 20

var daemonCommand = command{
	name: "daemon",
	help: "Run the daemon beside a backend server.",
	define: func(clause *kingpin.CmdClause) action {
		path := clause.Flag("settings", "Settings file, JSON with comments.").Required().String()
		return func(e *env) error {
			settings, err := config.Load(*path)
			if err != nil {
				return usageError(err)
			}
			if os.Getenv("GOMEMLIMIT") == "" {
				debug.SetMemoryLimit(settings.MaxRequestBytes + settings.MaxReadingBytes + controlBytes)
			}
			d, err := daemon.New(settings, newLog("teaseltack", settings.LogLevel, e.stderr))
			if err != nil {
				return err
			}
			return d.Run(e.ctx, e.hard)
		}
	},
}
