package cmds

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/config"
	"teaseltack/platform"
)

// The kinds of files that the command checks.
const (
	kindDaemon        = "daemon"
	kindSidecar       = "sidecar"
	kindConfiguration = "configuration"
)

var checkCommand = command{
	name: "check",
	help: "Check a settings file, or an operators' configuration of the users' platform.",
	define: func(clause *kingpin.CmdClause) action {
		kind := clause.Flag("kind", "Kind of file: the settings of a daemon or of a sidecar, or a configuration.").
			Default(kindDaemon).Enum(kindDaemon, kindSidecar, kindConfiguration)
		path := clause.Arg("file", "File to check.").Required().String()
		return func(e *env) error {
			if err := check(*kind, *path); err != nil {
				return usageError(err)
			}
			_, _ = fmt.Fprintf(e.stdout, "%s: good\n", *path)
			return nil
		}
	},
}

func check(kind, path string) error {
	switch kind {
	case kindSidecar:
		_, err := config.LoadSidecar(path)
		return err
	case kindConfiguration:
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("reading the configuration: %w", err)
		}
		if _, err = platform.DecodeConfig(text); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		return nil
	}
	_, err := config.Load(path)
	return err
}
