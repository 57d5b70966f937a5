package cmds

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"teaseltack/gen/teaseltack/platform/v1/platformv1connect"
	"teaseltack/io/clock"
	"teaseltack/io/fakekv"
	"teaseltack/io/httpd"
)

var platformCommand = command{
	name: "platform",
	help: "Run a stand-in of the platform's key-value service.",
	define: func(clause *kingpin.CmdClause) action {
		address := clause.Flag("listen", "IP:PORT.").Default("127.0.0.1:7900").String()
		delay := clause.Flag("delay", "Delay of every answer.").Default("0s").Duration()
		downAfter := clause.Flag("down-after", "Time until a simulated outage; 0 means no outage.").Default("0s").Duration()
		downFor := clause.Flag("down-for", "Length of the outage.").Default("10s").Duration()
		lose := clause.Flag("lose-answers", "Number of writes that take effect but whose answers are lost.").Default("0").Int()
		return func(e *env) error {
			server, err := httpd.Listen(httpd.Config{Name: "platform", Address: *address})
			if err != nil {
				return err
			}
			platform := fakekv.New(fakekv.Config{Timers: clock.Clock{}})
			platform.SetDelay(*delay)
			platform.LoseAnswers(*lose)
			if *downAfter > 0 {
				time.AfterFunc(*downAfter, func() { platform.SetDown(true) })
				time.AfterFunc(*downAfter+*downFor, func() { platform.SetDown(false) })
			}
			return servePlatform(e, server, platform)
		}
	},
}

func servePlatform(e *env, server *httpd.Server, platform *fakekv.Store) error {
	const shutdownTimeout = 40 * time.Second
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewKeyValueServiceHandler(platform))
	server.Handle(mux)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	_, _ = fmt.Fprintf(e.stdout, "platform at %s\n", server.Address())
	select {
	case err := <-failed:
		return err
	case <-e.ctx.Done():
	}
	ctx, cancel := context.WithTimeout(e.hard, shutdownTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}
