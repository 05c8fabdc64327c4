package cell

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/currantthread/currantthread/drain"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/settings"
)

// BenchmarkRestore measures the time to restore a running task during a takeover, and the owner's memory per task.
func BenchmarkRestore(b *testing.B) {
	const tasks, workers = 9000, 300
	rows := make([]infra.Row, tasks)
	for i := range rows {
		id := job.MakeTaskID(fmt.Sprintf("j%05d", i/10), i%10)
		value := ledger.Encode(ledger.Assignment{
			Task: job.Task{
				ID: id, Team: "team", Attempt: 1, Checkpoint: "checkpoint/" + string(id),
				Spec: job.TaskSpec{Class: job.ClassBatch, Priority: job.PriorityBatch, Kind: "settlement", Resources: job.Resources{CPUMilli: 1000, MemoryMiB: 1024}},
			},
			Worker: fmt.Sprintf("w%03d", i%workers), Incarnation: "0b5f2f2e-incarnation", State: ledger.Assigned,
			Commitment: job.Resources{CPUMilli: 1000, MemoryMiB: 1024},
		})
		rows[i] = infra.Row{Key: ledger.CellTaskKey("c", id), Value: value, Version: 1}
	}
	var heap uint64
	for b.Loop() {
		var before, after runtime.MemStats
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&before)
		o := newTestOwner()
		b.StartTimer()
		for _, row := range rows {
			if err := o.restoreTask(row); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap = after.HeapAlloc - before.HeapAlloc
		runtime.KeepAlive(o)
		b.StartTimer()
	}
	b.ReportMetric(float64(heap)/tasks, "heap-bytes/task")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tasks, "ns/task")
}

func newTestOwner() *owner {
	rng := rand.New(rand.NewPCG(1, 1))
	table := standin.NewTable()
	c := New(Config{
		Cell: "c", Domain: "d", VM: "v", Settings: settings.Defaults, Table: table, Rand: rng,
		Gate:       drain.NewGate(table, "d", func() time.Duration { return time.Second }, rng),
		NewPlanner: func() Planner { return NewPlanner(settings.Defaults()) },
		Logger:     observe.NewLogger(io.Discard, "sched", "v"), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	now := time.Now()
	return newOwner(c, &acquiredOwnership{row: ledger.Owner{Epoch: 1}, sentAt: now, committedAt: now, writer: c.newWriter()})
}
