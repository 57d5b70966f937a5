package cmds

import (
	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/scale"
)

var slopesCommand = command{
	name: "slopes",
	help: "Measure the overhead of the control plane as the number of daemons grows.",
	define: func(clause *kingpin.CmdClause) action {
		out := clause.Flag("out", "File for the report in JSON.").String()
		sizes := clause.Flag("daemons", "Number of daemons; may be repeated.").Default("10", "30", "100", "300").Ints()
		return func(e *env) error {
			points := scale.New(scale.Config{Out: e.stdout, Sizes: *sizes}).Run(e.ctx)
			return writeReport(*out, points)
		}
	},
}
