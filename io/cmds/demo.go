package cmds

import (
	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/demo"
	"teaseltack/io/tour"
)

var demoCommand = command{
	name: "demo",
	help: "Run a demo in one process: two data centres, nested calls, a repeated payment, a surge that ends.",
	define: func(clause *kingpin.CmdClause) action {
		verbose := clause.Flag("verbose", "Print the daemons' logs.").Bool()
		onPlatform := clause.Flag("platform", "Show a request through two daemons on a stand-in of the users' platform instead.").Bool()
		return func(e *env) error {
			if *onPlatform {
				return tour.New(tour.Config{Out: e.stdout, Log: newLog("teaseltack", "info", e.stdout)}).Run(e.ctx)
			}
			level := "off"
			if *verbose {
				level = "info"
			}
			return demo.New(demo.Config{Out: e.stdout, Log: newLog("demo", level, e.stderr)}).Run(e.ctx)
		}
	},
}
