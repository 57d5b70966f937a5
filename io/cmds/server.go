package cmds

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
)

var serverCommand = command{
	name: "server",
	help: "Mark backend servers as leaving, remove the mark or list them.",
	sub: []command{
		{name: "leave", help: "Mark the backend server of a host as leaving, so that it gets no new work.", define: defineMark(true)},
		{name: "return", help: "Remove the leaving mark of a host's backend server.", define: defineMark(false)},
		{name: "list", help: "List the backend servers.", define: defineStatus},
	},
}

func defineMark(leaving bool) func(*kingpin.CmdClause) action {
	return func(clause *kingpin.CmdClause) action {
		flags, change := defineClient(clause), defineChange(clause)
		host := clause.Arg("host", "Name of the host.").Required().String()
		return func(e *env) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			request := &operatorv1.MarkServerRequest{ChangeId: change.id(), Who: change.name(), Host: *host, Leaving: leaving}
			response, err := client.MarkServer(e.ctx, connect.NewRequest(request))
			if err != nil {
				return unknownOutcome(request.ChangeId, err)
			}
			return reportOutcome(e, *flags.asJSON, request.ChangeId, response.Msg.Outcome)
		}
	}
}

var statusCommand = command{
	name:   "status",
	help:   "Print a daemon's records of the hosts and the generation in force.",
	define: defineStatus,
}

func defineStatus(clause *kingpin.CmdClause) action {
	flags := defineClient(clause)
	return func(e *env) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		response, err := client.GetStatus(e.ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err != nil {
			return fmt.Errorf("reading the status: %w", err)
		}
		if *flags.asJSON {
			return printMessage(e.stdout, response.Msg)
		}
		return printStatus(e, response.Msg)
	}
}

func printStatus(e *env, s *operatorv1.GetStatusResponse) error {
	_, _ = fmt.Fprintf(e.stdout, "host %s, generation %d, %d hosts known, %d behind, platform reachable: %t, data centres out of reach: %v\n",
		s.Host, s.Generation, s.HostsKnown, s.HostsBehind, s.PlatformReachable, s.DataCentresUnreachable)
	if s.Limit > 0 {
		_, _ = fmt.Fprintf(e.stdout, "own server: %d calls run or wait, limit %d, admission level %d; generation in force for %.1f s\n",
			s.InFlight, s.Limit, s.Level, s.GenerationAgeS)
	}
	table := newTable(e.stdout)
	_, _ = fmt.Fprintln(table, "HOST\tDATA-CENTRE\tSERVICE\tSLOTS\tSTATE\tSERVING\tGENERATION\tEJECTED\tOUT-OF-REACH\tIN-FLIGHT\tLIMIT")
	for _, h := range s.Hosts {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%t\t%t\t%d\t%d\n", h.Host, h.DataCentre, orDash(h.Service), h.Slots, h.State, h.Serving, h.Generation, h.Ejected, h.OutOfReach, h.InFlight, h.Limit)
	}
	if len(s.RetryBudgets) == 0 {
		return table.Flush()
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(table, "TARGET\tRETRIES-LEFT")
	for _, b := range s.RetryBudgets {
		_, _ = fmt.Fprintf(table, "%s/%s\t%.1f\n", b.Service, b.Method, b.Left)
	}
	return table.Flush()
}
