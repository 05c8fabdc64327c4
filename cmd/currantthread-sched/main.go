// Command currantthread-sched is the scheduler daemon. It places, starts, evicts and finishes the tasks of one failure
// domain.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/cell/daemon"
	"github.com/currantthread/currantthread/settings"
)

// version is set by the build.
var version = "dev"

const (
	exitFailed = 1
	// exitUsage is the exit code for invalid arguments or settings.
	exitUsage = 2
)

// runError marks a failure of the daemon, as opposed to invalid usage.
type runError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "currantthread-sched: %v\n", err)
		os.Exit(exitCode(err))
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "currantthread-sched",
		Usage:   "place, start, evict and finish the tasks of one failure domain",
		Version: version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read the bootstrap settings from `FILE`", Required: true},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unexpected argument %q", c.Args().First())
			}
			boot, err := settings.LoadBootstrap(c.String("config"))
			if err != nil {
				return err
			}
			if err := daemon.Run(ctx, boot, os.Stdout); err != nil {
				return runError{err}
			}
			return nil
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
