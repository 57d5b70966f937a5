package cmds

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack"
	"teaseltack/io/clock"
	"teaseltack/io/dummy"
)

var backendCommand = command{
	name: "backend",
	help: "Run a simulated backend server.",
	define: func(clause *kingpin.CmdClause) action {
		service := clause.Flag("service", "Service to announce.").Required().String()
		inner := clause.Flag("inner", "Inner address of the daemon on this host.").Required().String()
		listen := clause.Flag("listen", "IP:PORT; port 0 picks a free one.").Default("127.0.0.1:0").String()
		slots := clause.Flag("slots", "Calls that run at once.").Default("10").Int()
		connections := clause.Flag("connections", "Calls that are accepted at once.").Default("80").Int()
		work := clause.Flag("work", "Mean service time.").Default("20ms").Duration()
		spread := clause.Flag("spread", "Spread of the service times around the mean, 0 to 1.").Default("0.5").Float64()
		cold := clause.Flag("cold", "Time after the start during which calls take five times as long.").Default("0s").Duration()
		fail := clause.Flag("fail-share", "Share of calls that fail at once, 0 to 1.").Default("0").Float64()
		nested := clause.Flag("nested", "Target that each call calls, SERVICE/METHOD; may be repeated.").Strings()
		logRuns := clause.Flag("log-runs", "Print a line for each run.").Bool()
		return func(e *env) error {
			targets, err := parseTargets(*nested)
			if err != nil {
				return usageError(err)
			}
			if *slots < 1 || *connections < *slots {
				return usageError(fmt.Errorf("slots is %d and connections is %d, allowed are slots of at least 1 and at least as many connections", *slots, *connections))
			}
			cfg := dummy.Config{
				Timers: clock.Clock{}, Log: newLog("backend", "info", e.stderr), Service: teaseltack.Service(*service),
				Address: *listen, InnerAddress: *inner, Slots: *slots, Connections: *connections, Work: *work, Spread: *spread,
				Cold: *cold, FailShare: *fail, Nested: targets, AnnouncePeriod: time.Second,
			}
			if *logRuns {
				cfg.OnRun = func(r dummy.Run) {
					_, _ = fmt.Fprintf(e.stdout, "run request-id=%s key=%s method=%s whole=%t\n", r.ID, orDash(r.Key), r.Method, r.Complete)
				}
			}
			backend, err := dummy.New(cfg)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(e.stdout, "backend server of %s at %s\n", *service, backend.Address())
			return backend.Run(e.ctx)
		}
	},
}

func parseTargets(names []string) ([]teaseltack.Target, error) {
	targets := make([]teaseltack.Target, 0, len(names))
	for _, name := range names {
		service, method, ok := strings.Cut(name, "/")
		if !ok || service == "" || method == "" {
			return nil, fmt.Errorf("target is %q, allowed is SERVICE/METHOD", name)
		}
		targets = append(targets, teaseltack.Target{Service: teaseltack.Service(service), Method: teaseltack.Method(method)})
	}
	return targets, nil
}
