package ctl

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/ownership"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/store"
)

// loadTimeout bounds the reads of the platform's store.
const loadTimeout = 10 * time.Second

// cellLoad is the last reported load of a cell.
type cellLoad struct {
	Owner string `json:"owner"`
	dispatch.Load
}

func cellLoadCommand() *cli.Command {
	c := command("load", "show the cells of the platform side by side", nil, []cli.Flag{
		&cli.StringFlag{Name: "store", Required: true, Sources: cli.EnvVars("CURRANTCTL_STORE"), Usage: "`ADDRESS` of the platform's store"},
	}, showLoads)
	c.Description = "Reads the heartbeats of all nodes from the platform's store, which costs one read call for each of their partitions,\n" +
		"and asks no node. Amounts are in cores. A cell without an owner is not listed. LONG FREE is the capacity left\n" +
		"for long-running jobs, after what is reserved for short tasks; it is negative while runners are missing. PLACES are\n" +
		"the tasks of 4, 16 and 32 cores that fit now, and LONG PLACES those that fit once the short tasks have ended."
	return c
}

func showLoads(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	loads, problems, err := readLoads(ctx, platform.NewStoreClient(cmd.String("store")))
	if err != nil {
		return errors.Annotate(err, "read the heartbeats of the nodes")
	}
	for _, problem := range problems {
		if _, err := cmd.Root().ErrWriter.Write([]byte("currantctl: " + problem.Error() + "\n")); err != nil {
			return errors.Trace(err)
		}
	}
	header := []string{"CELL", "OWNER", "EPOCH", "RUNNERS", "CORES", "FREE", "LONG FREE", "PLACES", "LONG PLACES", "BACKLOG", "PENDING"}
	return show(cmd, loads, header, func(loads []cellLoad) [][]string {
		rows := make([][]string, len(loads))
		for i, l := range loads {
			now, longRunning := places(&l.Load)
			rows[i] = []string{l.Cell, l.Owner, strconv.FormatInt(l.Epoch, 10), strconv.Itoa(l.Runners), cores(l.Capacity), cores(l.Free),
				longFree(&l.Load), now, longRunning, (time.Duration(l.BacklogMs) * time.Millisecond).String(), strconv.Itoa(pendingJobs(&l.Load))}
		}
		return rows
	})
}

// readLoads returns the loads of all cells by name, and the errors of heartbeats that can't be decoded.
func readLoads(ctx context.Context, s store.Store) ([]cellLoad, []error, error) {
	rows, err := ownership.NewReader(s, ownership.TableNodes).Read(ctx, 0)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	directory := ownership.NewDirectory("")
	now := time.Now()
	problems := directory.Update(now, rows)
	loads := make([]cellLoad, 0)
	for _, owner := range directory.Owners(now) {
		loads = append(loads, cellLoad{owner.Node, owner.Load})
	}
	// Names end in numbers: c2 comes before c10.
	slices.SortFunc(loads, func(a, b cellLoad) int {
		return cmp.Or(cmp.Compare(len(a.Cell), len(b.Cell)), strings.Compare(a.Cell, b.Cell))
	})
	return loads, problems, nil
}

// cores formats an amount of thousandths of a core.
func cores(milli int64) string { return strconv.FormatFloat(float64(milli)/1000, 'f', 1, 64) }

func longFree(l *dispatch.Load) string {
	if l.CapacityUnknown {
		return "unknown"
	}
	return cores(l.LongRunningCapacity)
}

// shownSizes are the sizes of tasks for which places are shown, in thousandths of a core.
var shownSizes = []int64{4000, 16000, 32000}

// places formats the places for tasks of each of shownSizes.
func places(l *dispatch.Load) (now, longRunning string) {
	var free, long []string
	for _, size := range shownSizes {
		f, p := l.PlacesOfSize(size)
		free, long = append(free, strconv.Itoa(f)), append(long, strconv.Itoa(p))
	}
	return strings.Join(free, "/"), strings.Join(long, "/")
}

func pendingJobs(l *dispatch.Load) int {
	total := 0
	for _, count := range l.Pending {
		total += count
	}
	return total
}
