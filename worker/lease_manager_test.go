package worker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/worker"
)

const term = 10 * time.Second

// idleWorkers simulates workers that run nothing. Only the first attach call of each worker succeeds.
type idleWorkers struct{ attached sync.Map }

func (i *idleWorkers) Attach(_ context.Context, addr string, _ infra.AttachRequest) (infra.AttachResponse, error) {
	if _, again := i.attached.LoadOrStore(addr, true); again {
		return infra.AttachResponse{}, &infra.UnknownOutcomeError{Err: context.DeadlineExceeded}
	}
	return infra.AttachResponse{Worker: addr, Incarnation: "i1"}, nil
}

func newLeaseManager(ctx context.Context, workers int) *worker.LeaseManager {
	later := func() time.Time { return time.Now().Add(time.Hour) }
	m := worker.NewLeaseManager(worker.Config{
		Cell: "c", Epoch: 1, Lease: term, GrantUntil: later, PermitUntil: later, Workers: &idleWorkers{},
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	for i := range workers {
		m.AddWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("w%d", i))
	}
	go m.Run(ctx)
	return m
}

func poll(ctx context.Context, m *worker.LeaseManager, id string, hold time.Duration) (infra.PollResponse, error) {
	return m.Poll(ctx, infra.PollRequest{
		Worker: id, Incarnation: "i1", Cell: "c", Epoch: 1, HoldMillis: hold.Milliseconds(),
	})
}

// The lease manager must not report a lease as expired while it is still valid on the worker, whose clock may be slow by the
// drift bound and counts from when it sent the poll.
func TestLeaseManagerExpiresLeaseAfterWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newLeaseManager(ctx, 1)
		time.Sleep(time.Second)
		sent := time.Now()
		resp, err := poll(ctx, m, "w0", 700*time.Millisecond)
		assert.NilError(t, err)
		slowClock := sent.Add(resp.Lease() * 101 / 100)
		time.Sleep(time.Until(slowClock))
		assert.Equal(t, len(m.ExpiredLeases(time.Now())), 0)
		time.Sleep(time.Second)
		assert.DeepEqual(t, m.ExpiredLeases(time.Now()), []string{"w0"})
		_, err = poll(ctx, m, "w0", 0)
		assert.ErrorType(t, err, &infra.StaleEpochError{})
	})
}

// BenchmarkPoll measures one poll without commands, and reports the memory for each worker.
func BenchmarkPoll(b *testing.B) {
	const workers = 1000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	m := newLeaseManager(ctx, workers)
	for {
		if _, err := poll(ctx, m, fmt.Sprintf("w%d", workers-1), 0); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	m.Drain()
	runtime.GC()
	runtime.ReadMemStats(&after)
	ids := make([]string, workers)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%d", i)
	}
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		_, _ = poll(ctx, m, ids[i%workers], 0)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workers, "heap-bytes/worker")
	runtime.KeepAlive(m)
}

// BenchmarkPollHTTP measures one poll over HTTP on loopback, with client and server in one process.
func BenchmarkPollHTTP(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	m := newLeaseManager(ctx, 1)
	server := httptest.NewServer(infra.NewPollHandler(m))
	defer server.Close()
	client := infra.NewPollClient("d", time.Second)
	req := infra.PollRequest{Worker: "w0", Incarnation: "i1", Cell: "c", Epoch: 1}
	for {
		if _, err := client.Poll(ctx, server.URL, req); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for b.Loop() {
		if _, err := client.Poll(ctx, server.URL, req); err != nil {
			b.Fatal(err)
		}
	}
}
