package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/store"
)

// configTimeout bounds the read of the active configuration.
const configTimeout = 5 * time.Second

func configCommand() *cli.Command {
	check := command("check", "check a configuration of the users' platform without applying it", []string{"FILE"}, []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store; shows the differences from the stored configuration"},
		&cli.StringFlag{Name: "against", Usage: "`OTHER` file with a configuration to show the differences from"},
		&cli.BoolFlag{Name: "json", Usage: "print the result as JSON, like --output json"},
	}, checkConfig)
	check.Description = "Exit codes: 0 if there is nothing to report, 1 if there are only warnings or if a configuration to compare with can't be read,\n" +
		"2 if nodes would reject the configuration, and for invalid arguments. Differences do not change the exit code."
	return group("config", "work with the configuration of the users' platform", check)
}

// configFindings is the error for a configuration that has findings.
type configFindings struct{ errors, warnings int }

// Error implements error.
func (f configFindings) Error() string {
	return fmt.Sprintf("the configuration has %d errors and %d warnings", f.errors, f.warnings)
}

func (f configFindings) exitCode() int {
	if f.errors > 0 {
		return ExitUsage
	}
	return ExitFailed
}

// configReport is the result of a check.
type configReport struct {
	File     string             `json:"file"`
	Findings []platform.Finding `json:"findings"`
	// Compared says what Changes are relative to; empty if there was nothing to compare with.
	Compared string                  `json:"compared,omitempty"`
	Changes  []platform.ConfigChange `json:"changes,omitempty"`
}

func checkConfig(ctx context.Context, cmd *cli.Command) error {
	file := cmd.Args().First()
	value, err := os.ReadFile(file)
	if err != nil {
		return usagef("%v", err)
	}
	if cmd.String("store") != "" && cmd.String("against") != "" {
		return usagef("--store and --against can't be given together")
	}
	report := configReport{File: file, Findings: platform.CheckConfig(value)}
	compareErr := report.compare(ctx, cmd, value)
	if err := report.show(cmd); err != nil {
		return err
	}
	findings := configFindings{}
	for _, f := range report.Findings {
		if f.Severity == platform.SeverityError {
			findings.errors++
		} else {
			findings.warnings++
		}
	}
	switch {
	case findings.errors > 0:
		return findings
	case compareErr != nil:
		return compareErr
	case findings.warnings > 0:
		return findings
	}
	return nil
}

// compare adds the differences from the configuration that the arguments name, if they name one.
func (r *configReport) compare(ctx context.Context, cmd *cli.Command, value []byte) error {
	var other []byte
	var err error
	switch addr, file := cmd.String("store"), cmd.String("against"); {
	case file != "":
		r.Compared = file
		other, err = os.ReadFile(file)
	case addr != "":
		r.Compared = "store " + addr
		other, err = storedConfig(ctx, platform.NewStoreClient(addr))
	default:
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "configuration to compare with")
	}
	if !json.Valid(value) {
		// The findings say so.
		return nil
	}
	r.Changes, err = platform.DiffConfigs(other, value)
	if err != nil {
		return err
	}
	r.Findings = append(r.Findings, platform.CheckVersion(other, value)...)
	return nil
}

// storedConfig reads the operators' configuration from the store.
func storedConfig(ctx context.Context, s store.Store) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	page, err := s.Range(ctx, platform.TableOperator, "", platform.RowConfig, platform.RowConfig+"\x00", 1)
	if err != nil {
		return nil, err
	}
	if len(page.Rows) == 0 {
		return nil, errors.New("the store has no configuration")
	}
	return page.Rows[0].Value, nil
}

func (r *configReport) show(cmd *cli.Command) error {
	out := cmd.Root().Writer
	if cmd.Bool("json") || cmd.String("output") == outputJSON {
		if r.Findings == nil {
			r.Findings = []platform.Finding{}
		}
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s:%d:%d: %s: %s: %s\n", r.File, f.Line, f.Column, f.Severity, f.Path, f.Message); err != nil {
			return err
		}
	}
	if r.Compared == "" {
		return nil
	}
	if _, err := fmt.Fprintf(out, "%d differences from %s\n", len(r.Changes), r.Compared); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range r.Changes {
		writeRow(table, []string{"", c.Path, displayValue(c.Old), "->", displayValue(c.New)})
	}
	return table.Flush()
}
