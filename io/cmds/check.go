package cmds

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/config"
)

var checkCommand = command{
	name: "check",
	help: "Check a settings file and print all faults with line and column.",
	define: func(clause *kingpin.CmdClause) action {
		path := clause.Arg("file", "Settings file.").Required().String()
		return func(e *env) error {
			if _, err := config.Load(*path); err != nil {
				return usage(err)
			}
			_, _ = fmt.Fprintf(e.stdout, "%s: good\n", *path)
			return nil
		}
	},
}
