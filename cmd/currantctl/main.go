// Command currantctl is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/currantthread/currantthread/ctl"
)

// version is set by the build.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args, os.Stdout, os.Stderr, version)
	stop()
	os.Exit(code)
}
