package cmds

import (
	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/demo"
)

var demoCommand = command{
	name: "demo",
	help: "Show the main job in one process: two data centres, nested calls, a repeated payment, a surge that ends.",
	define: func(clause *kingpin.CmdClause) action {
		verbose := clause.Flag("verbose", "Print the daemons' logs.").Bool()
		return func(e *env) error {
			level := "off"
			if *verbose {
				level = "info"
			}
			return demo.New(demo.Config{Out: e.stdout, Log: newLog("demo", level, e.stderr)}).Run(e.ctx)
		}
	},
}
