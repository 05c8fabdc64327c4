package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/ledger"
)

func domainCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` kept with the command"},
		&cli.Int64Flag{Name: "if-version", Value: -1, Usage: "refuse if the state has another `VERSION`"},
	}
	return group("domain", "take failure domains out and bring them back",
		command("out", "start no more tasks in a failure domain and empty it", []string{"DOMAIN"}, flags, setDomain(ledger.DomainOut)),
		command("in", "bring a failure domain back", []string{"DOMAIN"}, flags, setDomain(ledger.DomainIn)),
		command("status", "show failure domains and what runs there", nil, nil, domainStatus),
	)
}

func setDomain(state ledger.DomainState) func(context.Context, *cli.Command) error {
	return func(ctx context.Context, cmd *cli.Command) error {
		req := control.DomainRequest{State: state, Operator: cmd.String("operator"), Reason: cmd.String("reason")}
		if version := cmd.Int64("if-version"); version >= 0 {
			req.IfVersion = &version
		}
		_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "waiting until the command is in force\n")
		var status control.DomainStatus
		path := "/domains/" + url.PathEscape(cmd.Args().First())
		if err := client(cmd).Call(ctx, http.MethodPost, path, nil, req, &status); err != nil {
			return err
		}
		if err := showDomains(cmd, []control.DomainStatus{status}); err != nil {
			return err
		}
		if !status.Active {
			return fmt.Errorf("the command is stored as version %d, but not known to be in force", status.Version)
		}
		return nil
	}
}

func domainStatus(ctx context.Context, cmd *cli.Command) error {
	var statuses []control.DomainStatus
	if err := client(cmd).Call(ctx, http.MethodGet, "/domains", nil, nil, &statuses); err != nil {
		return err
	}
	return showDomains(cmd, statuses)
}

func showDomains(cmd *cli.Command, statuses []control.DomainStatus) error {
	header := []string{"DOMAIN", "STATE", "VERSION", "IN FORCE", "RUNNING", "OPERATOR", "REASON", "NOT CONFIRMED BY"}
	return show(cmd, statuses, header, func(statuses []control.DomainStatus) [][]string {
		rows := make([][]string, len(statuses))
		for i, s := range statuses {
			rows[i] = []string{
				s.Domain, string(s.State), strconv.FormatInt(s.Version, 10), strconv.FormatBool(s.Active),
				strconv.FormatInt(s.Running, 10), s.Operator, s.Reason, strings.Join(s.Unconfirmed, ","),
			}
		}
		return rows
	})
}

func cellCommand() *cli.Command {
	return group("cell", "look at cells", command("list", "list cells with their owners", nil, nil, listCells), cellLoadCommand())
}

func listCells(ctx context.Context, cmd *cli.Command) error {
	var cells []control.Cell
	if err := client(cmd).Call(ctx, http.MethodGet, "/cells", nil, nil, &cells); err != nil {
		return err
	}
	header := []string{"CELL", "OWNER", "EPOCH", "WORKERS", "RUNNING", "QUEUED", "PARKED", "STARTS"}
	return show(cmd, cells, header, func(cells []control.Cell) [][]string {
		rows := make([][]string, len(cells))
		for i, c := range cells {
			rows[i] = []string{
				c.Cell, c.Owner, strconv.FormatInt(c.Epoch, 10), strconv.FormatInt(c.Workers, 10),
				strconv.FormatInt(c.Running, 10), strconv.FormatInt(c.Queued, 10), strconv.FormatInt(c.Parked, 10),
				strconv.FormatBool(c.StartsAllowed),
			}
		}
		return rows
	})
}
