package cmds

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/io/load"
)

var loadCommand = command{
	name: "load",
	help: "Send requests at a constant rate and report the results as JSON.",
	define: func(clause *kingpin.CmdClause) action {
		entries := clause.Flag("entry", "Outer address of a daemon; may be repeated.").Required().Strings()
		names := clause.Flag("target", "SERVICE/METHOD; may be repeated for a mix.").Required().Strings()
		rate := clause.Flag("rate", "New requests per second.").Default("100").Float64()
		duration := clause.Flag("duration", "Time during which requests are sent.").Default("5s").Duration()
		lifetime := clause.Flag("lifetime", "Time allowed for a request, repeats included.").Default("2s").Duration()
		repeats := clause.Flag("repeats", "Maximum number of repeats of a request that was not answered 200.").Default("2").Int()
		keys := clause.Flag("keys", "Send an idempotency key with each request.").Bool()
		body := clause.Flag("body-bytes", "Size of each body.").Default("0").Int()
		return func(e *env) error {
			targets, err := parseTargets(*names)
			if err != nil {
				return usageError(err)
			}
			if *rate <= 0 || *repeats < 0 || *body < 0 || *duration <= 0 || *lifetime <= 0 {
				return usageError(fmt.Errorf("rate, duration and lifetime have to be above 0, repeats and body-bytes at least 0"))
			}
			report := load.New(load.Config{
				Entries: *entries, Targets: targets, Rate: *rate, Duration: *duration, Lifetime: *lifetime,
				Repeats: *repeats, Keys: *keys, BodyBytes: *body,
			}).Run(e.ctx)
			return printJSON(e.stdout, report)
		}
	},
}
