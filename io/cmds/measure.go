package cmds

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/bench"
)

// reportMode is the file mode of written reports.
const reportMode = 0o644

var measureCommand = command{
	name: "measure",
	help: "Measure goodput and recovery without daemons, with the thin baseline and with the current policy.",
	define: func(clause *kingpin.CmdClause) action {
		out := clause.Flag("out", "File for the report in JSON.").String()
		seed := clause.Flag("seed", "Seed of the random numbers.").Default("1").Uint8()
		users := clause.Flag("user", "Only this user; may be repeated.").Strings()
		scenarios := clause.Flag("scenario", "Only this scenario; may be repeated.").Strings()
		return func(e *env) error {
			report := bench.New(bench.Config{Out: e.stdout, Seed: *seed, Users: *users, Scenarios: *scenarios}).Run(e.ctx)
			return writeReport(*out, report)
		}
	},
}

func writeReport(path string, report any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), reportMode); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}
