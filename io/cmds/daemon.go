package cmds

import (
	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/config"
	"teaseltack/io/daemon"
)

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
			d, err := daemon.New(settings, newLog("teaseltack", settings.LogLevel, e.stderr))
			if err != nil {
				return err
			}
			return d.Run(e.ctx, e.hard)
		}
	},
}
