package ctl

import (
	"context"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/slo"
)

func reportCommand() *cli.Command {
	return group("report", "reports",
		command("burn", "show how fast services use up their error budgets", nil, []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "also write the report as one HTML page to `FILE`"},
		}, reportBurn),
	)
}

func reportBurn(ctx context.Context, cmd *cli.Command) error {
	var report slo.Report
	if err := client(cmd).Call(ctx, http.MethodGet, "/burn", nil, nil, &report); err != nil {
		return err
	}
	if file := cmd.String("html"); file != "" {
		if err := writePage(file, report); err != nil {
			return err
		}
	}
	if cmd.String("output") == outputJSON {
		return report.WriteJSON(cmd.Root().Writer)
	}
	return report.WriteText(cmd.Root().Writer)
}

func writePage(file string, report slo.Report) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := report.WriteHTML(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
