// Command currantthread-standin runs simulated platform services, workers and upstreams, with fault injection. It also
// generates deployments and load. It is for tests and the demo only.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/internal/standin/load"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/observe"
)

// Exit codes (docs/design.md §2).
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks an error in the arguments.
type usageError struct{ error }

func main() {
	os.Exit(run(os.Args))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "currantthread-standin",
		Usage:    "stand-ins for table service, object store, VM list, workers and upstreams",
		Version:  version(),
		Commands: []*cli.Command{platformCommand(), workersCommand(), layoutCommand(), waitCommand(), faultsCommand(), loadCommand()},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError{err}
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, sub := range command.Commands {
		sub.OnUsageError = command.OnUsageError
	}
	err := command.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "currantthread-standin:", err)
	var usage usageError
	var unknownCommand cli.ExitCoder
	if errors.As(err, &usage) || errors.As(err, &unknownCommand) {
		return exitUsage
	}
	return exitFailed
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

func platformCommand() *cli.Command {
	var cfg standin.PlatformConfig
	var vmsFile string
	return &cli.Command{
		Name:  "platform",
		Usage: "table service, object store and VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "table-addr", Usage: "host:port of the table service", Value: "127.0.0.1:9001", Destination: &cfg.TableAddr},
			&cli.StringFlag{Name: "objects-addr", Usage: "host:port of the object store", Value: "127.0.0.1:9002", Destination: &cfg.ObjectsAddr},
			&cli.StringFlag{Name: "vm-list-addr", Usage: "host:port of the VM list", Value: "127.0.0.1:9003", Destination: &cfg.VMListAddr},
			&cli.StringFlag{Name: "control-addr", Usage: "host:port of /faults and /counts", Value: "127.0.0.1:9000", Destination: &cfg.ControlAddr},
			&cli.FloatFlag{Name: "writes-per-second", Usage: "rate above which commits wait; 0 means none", Value: 500, Destination: &cfg.WritesPerSecond},
			&cli.FloatFlag{Name: "reads-per-second", Usage: "rate above which reads wait; 0 means none", Value: 2000, Destination: &cfg.ReadsPerSecond},
			&cli.DurationFlag{Name: "vm-lag", Usage: "age of what the VM list shows", Value: 2 * time.Second, Destination: &cfg.VMLag},
			&cli.StringFlag{Name: "vms", Usage: "JSON `FILE` with VMs that are always listed", Destination: &vmsFile},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			vms, err := readVMs(vmsFile)
			if err != nil {
				return usageError{err}
			}
			cfg.VMs = vms
			return standin.NewPlatform(cfg).Serve(ctx, cfg)
		},
	}
}

func readVMs(file string) ([]infra.VM, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var vms []infra.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return vms, nil
}

func workersCommand() *cli.Command {
	cfg := standin.FleetConfig{}
	var capacity job.Resources
	return &cli.Command{
		Name:  "workers",
		Usage: "workers and upstreams of one failure domain",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "region", Required: true, Usage: "region of the VMs", Destination: &cfg.Region},
			&cli.StringFlag{Name: "domain", Required: true, Usage: "failure domain of the VMs", Destination: &cfg.Domain},
			&cli.StringFlag{Name: "net", Usage: "first three numbers of the VMs' addresses", Value: "127.0.1", Destination: &cfg.Net},
			&cli.IntFlag{Name: "worker-port", Usage: "port of each worker", Value: 7000, Destination: &cfg.WorkerPort},
			&cli.IntFlag{Name: "runner-port", Usage: "port of each runner that exists from the start", Value: 8000, Destination: &cfg.RunnerPort},
			&cli.IntFlag{Name: "workers", Usage: "number of workers", Value: 8, Destination: &cfg.Workers},
			&cli.IntFlag{Name: "rack-size", Usage: "workers in a rack", Value: 8, Destination: &cfg.RackSize},
			&cli.Int64Flag{Name: "cpu-milli", Usage: "processors of a worker in thousandths of a core", Value: 64_000, Destination: &capacity.CPUMilli},
			&cli.Int64Flag{Name: "memory-mib", Usage: "memory of a worker in MiB", Value: 250 << 10, Destination: &capacity.MemoryMiB},
			&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of a worker", Destination: &capacity.Accelerators},
			&cli.IntFlag{Name: "runners", Usage: "workers with a runner from the start", Destination: &cfg.Runners},
			&cli.StringFlag{Name: "service", Usage: "service of these runners", Value: "kioscos", Destination: &cfg.Service},
			&cli.IntFlag{Name: "slots", Usage: "requests that a runner works on at once", Value: 8, Destination: &cfg.Slots},
			&cli.IntFlag{Name: "connections", Usage: "connections that a runner accepts", Value: 64, Destination: &cfg.Connections},
			&cli.IntFlag{Name: "queue", Usage: "requests that wait at a runner", Value: 32, Destination: &cfg.Queue},
			&cli.FloatFlag{Name: "resident-share", Usage: "part of a worker's processors that such a runner uses", Value: 0.1, Destination: &cfg.ResidentShare},
			&cli.DurationFlag{Name: "usage-lag", Usage: "age of usage reports", Value: 10 * time.Second, Destination: &cfg.UsageLag},
			&cli.StringFlag{Name: "control-addr", Usage: "host:port of /faults, /counts, /runs and /lookup", Value: "127.0.0.1:9010", Destination: &cfg.ControlAddr},
			&cli.StringFlag{Name: "objects-url", Usage: "base URL of the object store", Value: "http://127.0.0.1:9002", Destination: &cfg.ObjectsURL},
			&cli.StringFlag{Name: "register-url", Usage: "control URL of the platform's stand-in", Destination: &cfg.RegisterURL},
			&cli.DurationFlag{Name: "timeout", Usage: "deadline of one call", Value: 2 * time.Second, Destination: &cfg.Timeout},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			cfg.Capacity = capacity
			if err := cfg.Validate(); err != nil {
				return usageError{err}
			}
			fleet, err := standin.NewFleet(ctx, cfg, observe.NewLogger(os.Stderr, "standin-workers", cfg.Domain))
			if err != nil {
				return err
			}
			return fleet.Serve(ctx)
		},
	}
}

func layoutCommand() *cli.Command {
	var name, dir string
	var network int
	return &cli.Command{
		Name:  "layout",
		Usage: "write the files of a deployment on loopback addresses",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "manizales or baling", Value: "manizales", Destination: &name},
			&cli.StringFlag{Name: "dir", Required: true, Usage: "directory to write into", Destination: &dir},
			&cli.IntFlag{Name: "network", Usage: "second number of the addresses; 0 picks a free one", Destination: &network},
		},
		Action: func(context.Context, *cli.Command) error {
			if network == 0 {
				free, err := standin.FreeNetwork()
				if err != nil {
					return err
				}
				network = free
			}
			deployment, err := standin.NewDeployment(name, network)
			if err != nil {
				return usageError{err}
			}
			return standin.WriteDeployment(deployment, dir)
		},
	}
}

func faultsCommand() *cli.Command {
	var url, body string
	return &cli.Command{
		Name:  "faults",
		Usage: "set the fault switches of a stand-in, or show them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true, Usage: "control URL of the stand-in", Destination: &url},
		},
		Arguments: []cli.Argument{&cli.StringArg{Name: "json", UsageText: "[JSON]", Destination: &body}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			var faults json.RawMessage
			var err error
			if body == "" {
				err = standin.GetJSON(ctx, url+"/faults", &faults)
			} else {
				err = standin.PostJSON(ctx, url+"/faults", json.RawMessage(body), &faults)
			}
			if err != nil {
				return err
			}
			fmt.Println(string(faults))
			return nil
		},
	}
}

func deploymentFlag(file *string) cli.Flag {
	return &cli.StringFlag{Name: "deployment", Required: true, Usage: "deployment.json that layout wrote", Destination: file}
}

func waitCommand() *cli.Command {
	var file string
	var timeout time.Duration
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until every daemon is ready and every runner is listed",
		Flags: []cli.Flag{
			deploymentFlag(&file),
			&cli.DurationFlag{Name: "timeout", Usage: "longest wait", Value: 20 * time.Second, Destination: &timeout},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			deployment, err := standin.ReadDeployment(file)
			if err != nil {
				return usageError{err}
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return load.AwaitReady(ctx, deployment)
		},
	}
}

func loadCommand() *cli.Command {
	var cfg load.Config
	var file, output string
	return &cli.Command{
		Name:  "load",
		Usage: "send requests and jobs, and check by counts that the guarantees held",
		Flags: []cli.Flag{
			deploymentFlag(&file),
			&cli.IntFlag{Name: "callers", Usage: "concurrent callers", Value: 500, Destination: &cfg.Callers},
			&cli.DurationFlag{Name: "duration", Usage: "how long callers send", Value: 30 * time.Second, Destination: &cfg.Duration},
			&cli.DurationFlag{Name: "think", Usage: "mean pause of a caller between two requests", Value: 100 * time.Millisecond, Destination: &cfg.Think},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the mix of requests", Value: 1, Destination: &cfg.Seed},
			&cli.BoolFlag{Name: "large", Usage: "send 1 MiB bodies and 8 MiB answers through every entry VM", Destination: &cfg.Large},
			&cli.BoolFlag{Name: "jobs", Usage: "submit a batch job, standing tasks and a service", Destination: &cfg.Jobs},
			&cli.IntFlag{Name: "batch-tasks", Usage: "tasks of the batch job", Value: 60, Destination: &cfg.BatchTasks},
			&cli.DurationFlag{Name: "batch-work", Usage: "work of each of them", Value: 3 * time.Second, Destination: &cfg.BatchWork},
			&cli.DurationFlag{Name: "job-timeout", Usage: "longest wait for the jobs after the requests", Value: 15 * time.Second, Destination: &cfg.JobTimeout},
			&cli.DurationFlag{Name: "kill-runner-after", Usage: "when to kill one runner; 0 means never", Destination: &cfg.KillRunnerAfter},
			&cli.StringFlag{Name: "json", Usage: "`FILE` to write the summary to", Destination: &output},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			deployment, err := standin.ReadDeployment(file)
			if err != nil {
				return usageError{err}
			}
			cfg.Deployment = deployment
			return runLoad(ctx, cfg, output)
		},
	}
}

func runLoad(ctx context.Context, cfg load.Config, output string) error {
	summary, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	summary.Print(os.Stdout)
	if output != "" {
		data, err := summary.JSON()
		if err != nil {
			return err
		}
		if err := os.WriteFile(output, data, 0o644); err != nil {
			return err
		}
	}
	if n := len(summary.Violations()); n > 0 {
		return fmt.Errorf("%d violations of guarantees", n)
	}
	return nil
}
