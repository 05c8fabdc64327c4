// Command currantthread-entry is the entry daemon. It accepts callers' requests and forwards them to upstreams.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/entry/daemon"
	"github.com/currantthread/currantthread/settings"
)

// version is set by the linker.
var version = "dev"

const (
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks errors in arguments or settings.
var errUsage = errors.New("wrong usage or settings")

func main() { os.Exit(command()) }

// command runs the program and returns its exit code.
func command() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	started := false
	cmd := &cli.Command{
		Name:    "currantthread-entry",
		Usage:   "take callers' requests and pass them to upstreams",
		Version: version,
		Flags:   []cli.Flag{&cli.StringFlag{Name: "config", Usage: "bootstrap `FILE` (TOML)", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			started = true
			return run(ctx, cmd)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := cmd.Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	if !started || errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%w: unexpected argument %q", errUsage, cmd.Args().First())
	}
	bootstrap, err := settings.LoadBootstrap(cmd.String("config"))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	err = daemon.Run(ctx, bootstrap, os.Stdout)
	var problems settings.Problems
	if errors.As(err, &problems) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}
