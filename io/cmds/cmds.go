// Package cmds holds the commands of the program, one file each.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitUnknown = 3
)

// env holds the contexts and outputs of a command's action.
type env struct {
	// ctx ends on the first SIGTERM or SIGINT and asks for a graceful stop.
	ctx context.Context
	// hard ends on the second signal and cuts the requests in progress.
	hard   context.Context
	stdout io.Writer
	stderr io.Writer
}

// action runs a command once its arguments are parsed.
type action func(*env) error

// command is a command of the program. Either define or sub is set.
type command struct {
	name string
	help string
	// define adds the flags and arguments to the clause, before they are parsed.
	define func(*kingpin.CmdClause) action
	sub    []command
}

// Table holds the program's commands.
type Table struct{}

func (Table) commands() []command {
	return []command{
		daemonCommand, sidecarCommand, explainCommand, checkCommand, policyCommand, serverCommand, statusCommand,
		demoCommand, platformCommand, backendCommand, loadCommand, measureCommand, slopesCommand,
	}
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error { return &exitError{exitUsage, err} }

// Run parses the arguments, runs the command and returns the exit code.
func (t Table) Run(arguments []string, stdout, stderr io.Writer) int {
	app := kingpin.New("teaseltack", "Overload control for service call graphs. Exit codes: 0 done, 1 failed or refused, 2 bad usage or settings, 3 the outcome is unknown.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	terminateCode := -1
	app.Terminate(func(code int) { terminateCode = code })
	actions := map[string]action{}
	for _, c := range t.commands() {
		c.register(app.Command(c.name, c.help), c.name, actions)
	}
	name, err := app.Parse(arguments)
	if terminateCode >= 0 {
		return terminateCode
	}
	if err != nil {
		return printError(stderr, usageError(fmt.Errorf("%w; see teaseltack --help", err)))
	}
	e, stop := newEnv(stdout, stderr)
	defer stop()
	return printError(stderr, actions[name](e))
}

// register adds the command's arguments, or its subcommands, to the clause.
func (c command) register(clause *kingpin.CmdClause, path string, actions map[string]action) {
	if c.define != nil {
		actions[path] = c.define(clause)
		return
	}
	for _, sub := range c.sub {
		sub.register(clause.Command(sub.name, sub.help), path+" "+sub.name, actions)
	}
}

// printError prints an error and returns its exit code.
func printError(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "teaseltack: %v\n", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailure
}

// newEnv returns an env whose ctx ends on the first SIGTERM or SIGINT, for a
// graceful stop, and whose hard context ends on the second. The returned function
// ends both.
func newEnv(stdout, stderr io.Writer) (*env, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	hard, cancelHard := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		cancelHard()
	}()
	stop := func() {
		signal.Stop(signals)
		cancel()
		cancelHard()
	}
	return &env{ctx: ctx, hard: hard, stdout: stdout, stderr: stderr}, stop
}

func newLog(name, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(level), Output: w})
}
