// Command currantthread runs one node on the users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/node"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/settings"
)

// version is set by the build.
var version = "dev"

const (
	exitFailed = 1
	// exitUsage is the exit code for invalid arguments or settings.
	exitUsage = 2
)

// runError marks a failure of the node, as opposed to invalid usage.
type runError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "currantthread: %v\n", err)
		os.Exit(exitCode(err))
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:           "currantthread",
		Usage:          "run jobs on the runners of the platform",
		Version:        version,
		Commands:       []*cli.Command{nodeCommand(), checkCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "config", Usage: "read the platform's settings from `FILE`",
		Sources: cli.EnvVars(platform.SettingsEnv), Required: true,
	}
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one node",
		Flags: []cli.Flag{configFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unexpected argument %q", c.Args().First())
			}
			file := c.String("config")
			boot, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			defer signal.Stop(reload)
			if err := node.Run(ctx, file, boot, reload, os.Stdout); err != nil {
				return runError{err}
			}
			return nil
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and print what a node would use of it",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings(c.String("config"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "node %s in %s (%s): clients %s, readiness %s, inner ports %d to %d, store %s, longest lease %v\n",
				s.Node, s.Domain, s.Region, s.ClientAddr, s.ReadyAddr, s.InnerPorts[0], s.InnerPorts[1], s.StoreAddr, s.Bounds.HoldMax)
			return err
		},
	}
}

func exitCode(err error) int {
	var problems settings.Problems
	var failed runError
	if errors.As(err, &failed) && !errors.As(err, &problems) {
		return exitFailed
	}
	return exitUsage
}
