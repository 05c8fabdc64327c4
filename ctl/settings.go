package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/settings"
)

func settingsCommand() *cli.Command {
	return group("settings", "work with the settings tree",
		command("check", "check a directory without a deployment", []string{"DIR"}, nil, checkSettings),
		command("diff", "show what applying a directory would change", []string{"DIR"}, nil, diffSettings),
		command("apply", "make a directory the settings in force", []string{"DIR"}, []cli.Flag{
			&cli.Int64Flag{Name: "parent", Value: -1, Usage: "`VERSION` on which the directory is based; the default is the version in force now"},
			&cli.StringFlag{Name: "comment", Aliases: []string{"m"}, Usage: "`TEXT` kept in the history"},
			&cli.BoolFlag{Name: "wait", Value: true, Usage: "wait until the version is in force on every daemon that answers"},
		}, applySettings),
		command("explain", "show a value and the level that gave it", []string{"PATH", "KEY"}, nil, explainSetting),
		command("history", "list accepted versions", nil, nil, settingsHistory),
		command("status", "show the version in force on each daemon", nil, nil, settingsStatus),
		command("reference", "print the reference page of all keys", nil, nil, settingsReference),
	)
}

// readTree reads and validates the settings tree in a directory. The error is settings.Problems if the tree is invalid.
func readTree(dir string) (settings.Sources, *settings.Tree, error) {
	sources, err := settings.ReadDir(os.DirFS(dir))
	if err != nil {
		return nil, nil, usagef("%s: %v", dir, err)
	}
	tree, err := settings.Parse(sources)
	return sources, tree, err
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	_, tree, err := readTree(cmd.Args().First())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%d levels, no problems\n", len(tree.Levels()))
	return err
}

// activeTree returns the newest accepted settings tree and its version.
func activeTree(ctx context.Context, cmd *cli.Command) (*settings.Tree, int64, error) {
	var current control.TreeResponse
	if err := client(cmd).Call(ctx, http.MethodGet, "/settings", nil, nil, &current); err != nil {
		return nil, 0, err
	}
	tree, err := settings.Parse(current.Levels)
	return tree, current.Head.Version, err
}

func diffSettings(ctx context.Context, cmd *cli.Command) error {
	_, tree, err := readTree(cmd.Args().First())
	if err != nil {
		return err
	}
	current, _, err := activeTree(ctx, cmd)
	if err != nil {
		return err
	}
	return showChanges(cmd, settings.Diff(current, tree))
}

func showChanges(cmd *cli.Command, changes []settings.Change) error {
	if changes == nil {
		changes = []settings.Change{}
	}
	return show(cmd, changes, []string{"LEVEL", "KEY", "IN FORCE", "NEW"}, func(changes []settings.Change) [][]string {
		rows := make([][]string, len(changes))
		for i, c := range changes {
			rows[i] = []string{c.Level, c.Key, displayValue(c.Old), displayValue(c.New)}
		}
		return rows
	})
}

func applySettings(ctx context.Context, cmd *cli.Command) error {
	sources, tree, err := readTree(cmd.Args().First())
	if err != nil {
		return err
	}
	current, version, err := activeTree(ctx, cmd)
	if err != nil {
		return err
	}
	if err := showChanges(cmd, settings.Diff(current, tree)); err != nil {
		return err
	}
	req := control.TreeRequest{Parent: version, Levels: sources, Author: cmd.String("operator"), Comment: cmd.String("comment")}
	if parent := cmd.Int64("parent"); parent >= 0 {
		req.Parent = parent
	}
	var head control.Head
	if err := client(cmd).Call(ctx, http.MethodPost, "/settings", nil, req, &head); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "accepted as version %d\n", head.Version)
	if !cmd.Bool("wait") {
		return nil
	}
	return awaitVersion(ctx, cmd, head.Version)
}

const (
	awaitInterval = 250 * time.Millisecond
	awaitTimeout  = 30 * time.Second
)

// awaitVersion waits until the version is active on every daemon that responds, and prints how many were not reached.
func awaitVersion(ctx context.Context, cmd *cli.Command, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		var status control.StatusResponse
		if err := client(cmd).Call(ctx, http.MethodGet, "/settings/status", nil, nil, &status); err != nil {
			return err
		}
		behind, unreachable := 0, 0
		for _, d := range status.Daemons {
			switch {
			case d.Error != "":
				unreachable++
			case d.SettingsVersion < version:
				behind++
			}
		}
		if behind == 0 {
			_, _ = fmt.Fprintf(cmd.Root().ErrWriter, "in force on %d daemons, %d not reached\n", len(status.Daemons)-unreachable, unreachable)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is accepted, but %d daemons do not have it after %v", version, behind, awaitTimeout)
		case <-time.After(awaitInterval):
		}
	}
}

func explainSetting(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{"path": {cmd.Args().Get(0)}, "key": {cmd.Args().Get(1)}}
	var e settings.Explanation
	if err := client(cmd).Call(ctx, http.MethodGet, "/settings/explain", query, nil, &e); err != nil {
		return err
	}
	return show(cmd, e, []string{"KEY", "VALUE", "LEVEL", "FILE"}, func(e settings.Explanation) [][]string {
		file := e.File
		if file != "" {
			file = fmt.Sprintf("%s:%d", file, e.Line)
		}
		return [][]string{{e.Key, e.Value, e.Level, file}}
	})
}

func settingsHistory(ctx context.Context, cmd *cli.Command) error {
	var heads []control.Head
	if err := client(cmd).Call(ctx, http.MethodGet, "/settings/history", nil, nil, &heads); err != nil {
		return err
	}
	return show(cmd, heads, []string{"VERSION", "AT", "AUTHOR", "COMMENT"}, func(heads []control.Head) [][]string {
		rows := make([][]string, len(heads))
		for i, h := range heads {
			rows[i] = []string{strconv.FormatInt(h.Version, 10), time.UnixMilli(h.At).UTC().Format(time.RFC3339), h.Author, h.Comment}
		}
		return rows
	})
}

func settingsStatus(ctx context.Context, cmd *cli.Command) error {
	var status control.StatusResponse
	if err := client(cmd).Call(ctx, http.MethodGet, "/settings/status", nil, nil, &status); err != nil {
		return err
	}
	return show(cmd, status, []string{"VM", "DAEMON", "DOMAIN", "VERSION", "STATE"}, func(status control.StatusResponse) [][]string {
		rows := make([][]string, len(status.Daemons))
		for i, d := range status.Daemons {
			rows[i] = []string{d.VM, d.Daemon, d.Domain, strconv.FormatInt(d.SettingsVersion, 10), daemonState(status.Version, d)}
		}
		return rows
	})
}

func daemonState(version int64, d control.DaemonStatus) string {
	switch {
	case d.Error != "":
		return "not reached"
	case d.SettingsVersion < version:
		return "behind"
	default:
		return "in force"
	}
}

func settingsReference(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprint(cmd.Root().Writer, settings.Reference())
	return err
}
