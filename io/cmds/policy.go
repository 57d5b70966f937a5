package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/tailscale/hujson"

	operatorv1 "teaseltack/gen/teaseltack/operator/v1"
	"teaseltack/gen/teaseltack/operator/v1/operatorv1connect"
)

const (
	// pollPeriod is the time between two status requests while waiting for a change.
	pollPeriod = 500 * time.Millisecond
	// waitTimeout bounds the wait until a change is in force at all hosts.
	waitTimeout = 60 * time.Second
)

var policyCommand = command{
	name: "policy",
	help: "Read and change the policies.",
	sub:  []command{policyGetCommand, policyApplyCommand, policyHistoryCommand},
}

var policyGetCommand = command{
	name: "get",
	help: "Print the policies in force at a daemon.",
	define: func(clause *kingpin.CmdClause) action {
		flags := defineClient(clause)
		return func(e *env) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			response, err := client.GetDocument(e.ctx, connect.NewRequest(&operatorv1.GetDocumentRequest{}))
			if err != nil {
				return fmt.Errorf("reading the configuration: %w", err)
			}
			return printDocument(e, *flags.asJSON, response.Msg.Document)
		}
	},
}

func printDocument(e *env, asJSON bool, document *operatorv1.Document) error {
	if asJSON {
		return printMessage(e.stdout, document)
	}
	_, _ = fmt.Fprintf(e.stdout, "generation %d\n", document.Generation)
	table := newTable(e.stdout)
	_, _ = fmt.Fprintln(table, "SERVICE\tMETHOD\tCLASS\tLIFETIME-MS\tNON-IDEMPOTENT\tRETRIES")
	for _, p := range document.Policies {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%t\t%d\n", p.Service, p.Method, p.Class, p.LifetimeMs, p.NonIdempotent, p.Retries)
	}
	for _, m := range document.Leaving {
		_, _ = fmt.Fprintf(table, "server %s\tleaving\tsince %s\tby %s\t\t\n", m.Host, time.UnixMilli(m.AtUnixMs).UTC().Format(time.RFC3339), m.Who)
	}
	return table.Flush()
}

// policyFile is the file that policy apply reads.
type policyFile struct {
	Set    []policyEntry `json:"set"`
	Remove []policyEntry `json:"remove"`
}

type policyEntry struct {
	Service       string `json:"service"`
	Method        string `json:"method"`
	Class         string `json:"class"`
	LifetimeMs    int64  `json:"lifetime-ms"`
	NonIdempotent bool   `json:"non-idempotent"`
	Retries       int32  `json:"retries"`
}

func (p policyEntry) message() *operatorv1.Policy {
	return &operatorv1.Policy{
		Service: p.Service, Method: p.Method, Class: p.Class,
		LifetimeMs: p.LifetimeMs, NonIdempotent: p.NonIdempotent, Retries: p.Retries,
	}
}

func readPolicyFile(path string) (*policyFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the policies: %w", err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, usageError(fmt.Errorf("%s: %w", path, err))
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	file := &policyFile{}
	if err := decoder.Decode(file); err != nil {
		line := bytes.Count(standard[:decoder.InputOffset()], []byte("\n")) + 1
		return nil, usageError(fmt.Errorf("%s:%d: %w; allowed are set and remove, lists of service, method, class, lifetime-ms, non-idempotent, retries", path, line, err))
	}
	return file, nil
}

var policyApplyCommand = command{
	name: "apply",
	help: "Set and remove policies in one atomic change.",
	define: func(clause *kingpin.CmdClause) action {
		flags, change := defineClient(clause), defineChange(clause)
		path := clause.Arg("file", "File with the lists set and remove, JSON with comments.").Required().String()
		dryRun := clause.Flag("dry-run", "Check and print the change without writing it.").Bool()
		wait := clause.Flag("wait", "Wait up to 60 s until the change is in force at all hosts.").Bool()
		expected := clause.Flag("expected-generation", "Refuse the change if others changed the same policies after this generation; 0 turns the check off.").Default("0").Uint64()
		return func(e *env) error {
			file, err := readPolicyFile(*path)
			if err != nil {
				return err
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			request := &operatorv1.ApplyPoliciesRequest{ChangeId: change.id(), Who: change.name(), ExpectedGeneration: *expected, DryRun: *dryRun}
			for _, p := range file.Set {
				request.Set = append(request.Set, p.message())
			}
			for _, p := range file.Remove {
				request.Remove = append(request.Remove, p.message())
			}
			response, err := client.ApplyPolicies(e.ctx, connect.NewRequest(request))
			if err != nil {
				return unknownOutcome(request.ChangeId, err)
			}
			if err := reportOutcome(e, *flags.asJSON, request.ChangeId, response.Msg.Outcome); err != nil || !*wait || *dryRun {
				return err
			}
			return awaitInForce(e, client, response.Msg.Outcome.Generation)
		}
	},
}

func unknownOutcome(id string, err error) error {
	return &exitError{exitUnknown, fmt.Errorf("the outcome is unknown, the change may have taken effect; repeat it with --change-id %s: %w", id, err)}
}

// awaitInForce waits until no host is behind the generation and prints the number
// of hosts that are behind after each status request.
func awaitInForce(e *env, client operatorv1connect.OperatorServiceClient, generation uint64) error {
	ctx, cancel := context.WithTimeout(e.ctx, waitTimeout)
	defer cancel()
	started := time.Now()
	for {
		response, err := client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err != nil {
			return fmt.Errorf("waiting for generation %d: %w", generation, err)
		}
		behind := hostsBehind(response.Msg, generation)
		_, _ = fmt.Fprintf(e.stderr, "generation %d: %d of %d hosts behind after %.1f s\n", generation, len(behind), response.Msg.HostsKnown, time.Since(started).Seconds())
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("generation %d was accepted but after %v is not yet in force at hosts %v", generation, time.Since(started).Round(time.Millisecond), behind)
		case <-time.After(pollPeriod):
		}
	}
}

func hostsBehind(status *operatorv1.GetStatusResponse, generation uint64) []string {
	var behind []string
	for _, h := range status.Hosts {
		if h.Generation < generation && h.State != "dead" && h.State != "left" {
			behind = append(behind, h.Host)
		}
	}
	return behind
}

var policyHistoryCommand = command{
	name: "history",
	help: "Print the audit trail of accepted changes, newest first.",
	define: func(clause *kingpin.CmdClause) action {
		flags := defineClient(clause)
		limit := clause.Flag("limit", "Number of changes.").Default("50").Uint32()
		return func(e *env) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			response, err := client.GetHistory(e.ctx, connect.NewRequest(&operatorv1.GetHistoryRequest{Limit: *limit}))
			if err != nil {
				return fmt.Errorf("reading the history: %w", err)
			}
			if *flags.asJSON {
				return printMessage(e.stdout, response.Msg)
			}
			printChanges(e.stdout, response.Msg.Changes)
			if !response.Msg.Complete {
				return fmt.Errorf("older changes could not be read from the platform")
			}
			return nil
		}
	},
}
