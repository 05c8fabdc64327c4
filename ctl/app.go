package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/settings"
)

// Exit codes of all programs.
const (
	ExitDone   = 0
	ExitFailed = 1
	// ExitUsage is the exit code for invalid arguments and for invalid settings.
	ExitUsage = 2
)

// usageError reports invalid command-line arguments.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, version string) int {
	root := newRoot(version)
	root.Writer = stdout
	root.ErrWriter = stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(stderr, "currantctl: %s\n", errorMessage(err))
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	var problems settings.Problems
	var refusal *control.APIError
	var findings configFindings
	switch {
	case errors.As(err, &findings):
		return findings.exitCode()
	case errors.As(err, &usage), errors.As(err, &problems):
		return ExitUsage
	case errors.As(err, &refusal) && refusal.Code == "invalid":
		return ExitUsage
	default:
		return ExitFailed
	}
}

// errorMessage returns the text shown for an error. For a stale settings parent it lists the conflicting keys.
func errorMessage(err error) string {
	var refusal *control.APIError
	if !errors.As(err, &refusal) || refusal.Stale == nil {
		return err.Error()
	}
	lines := []string{refusal.Stale.Error() + "; fetch it, merge and apply again"}
	for _, change := range refusal.Stale.Conflicts {
		lines = append(lines, fmt.Sprintf("  %s %s: in force %s, yours %s", change.Level, change.Key, displayValue(change.Old), displayValue(change.New)))
	}
	return strings.Join(lines, "\n")
}

func displayValue(value string) string {
	if value == "" {
		return "(not named)"
	}
	return value
}

const (
	outputTable = "table"
	outputJSON  = "json"
)

func newRoot(version string) *cli.Command {
	return &cli.Command{
		Name:                  "currantctl",
		Usage:                 "operate a currantthread deployment",
		Version:               version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name: "api", Value: []string{"127.0.0.1:7001"}, Sources: cli.EnvVars("CURRANTCTL_API"),
				Usage: "admin `ADDRESS` of an entry daemon; may be given several times, the first that connects is used",
			},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT` of the output: table or json"},
			&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("USER"), Usage: "`NAME` recorded with commands"},
		},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			if o := cmd.String("output"); o != outputTable && o != outputJSON {
				return ctx, usagef("--output %q is none of table, json", o)
			}
			return ctx, nil
		},
		OnUsageError: onUsageError,
		Action:       unknownCommand,
		Commands: []*cli.Command{
			settingsCommand(), domainCommand(), jobCommand(), serviceCommand(), standingCommand(), cellCommand(),
			reportCommand(), traceCommand(), organisationsCommand(), configCommand(),
		},
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError{err.Error()}
}

// unknownCommand is the action of command groups. It rejects an unknown subcommand, and prints help if there is none.
func unknownCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usagef("unknown command %q; see %s --help", name, cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// group returns a command that only has subcommands.
func group(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: unknownCommand, OnUsageError: onUsageError, Commands: commands}
}

// command returns a subcommand that requires exactly the given positional arguments.
func command(name, usage string, arguments []string, flags []cli.Flag, action func(context.Context, *cli.Command) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: strings.Join(arguments, " "), Flags: flags, OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != len(arguments) {
				return usagef("%s takes %d arguments (%s), got %d", cmd.FullName(), len(arguments), strings.Join(arguments, " "), cmd.Args().Len())
			}
			return action(ctx, cmd)
		},
	}
}

func client(cmd *cli.Command) *Client { return NewClient(cmd.StringSlice("api")) }

// show prints value as JSON or, depending on --output, as a table whose cells are built by rows.
func show[T any](cmd *cli.Command, value T, header []string, rows func(T) [][]string) error {
	out := cmd.Root().Writer
	if cmd.String("output") == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeRow(table, header)
	for _, row := range rows(value) {
		writeRow(table, row)
	}
	return table.Flush()
}

// writeRow writes one line. Write errors are returned by the table's Flush.
func writeRow(table *tabwriter.Writer, cells []string) {
	_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
}
