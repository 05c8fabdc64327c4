package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/job"
	"github.com/currantthread/currantthread/observe"
)

func serviceSpec() job.TaskSpec {
	return job.TaskSpec{Class: job.ClassService, Service: "kioscos", Resources: job.Resources{CPUMilli: 1000}}
}

func newTestFleet(ctx context.Context, t *testing.T) *Fleet {
	t.Helper()
	f, err := NewFleet(ctx, FleetConfig{
		Region: "caldas-centro", Domain: "chipre", Net: "127.0.0", Workers: 2, RackSize: 1, Runners: 1,
		Service: "kioscos", Slots: 2, Connections: 8, Capacity: job.Resources{CPUMilli: 4000, MemoryMiB: 4096},
		Timeout: longTimeout,
	}, observe.NewLogger(io.Discard, "test", "chipre"))
	assert.NilError(t, err)
	t.Cleanup(f.Kill)
	return f
}

// The simulated worker and the clients of the worker protocol must agree over HTTP on attach, stale epochs, polls and the new
// incarnation after a restart.
func TestWorkerOverHTTP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newTestFleet(ctx, t)
	polls := make(chan infra.PollRequest)
	owner := httptest.NewServer(infra.NewPollHandler(pollFunc(func(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error) {
		select {
		case polls <- req:
		case <-ctx.Done():
		}
		return infra.PollResponse{LeaseMillis: 10_000, AckSeq: 0}, nil
	})))
	defer owner.Close()
	defer cancel()
	workers := infra.NewWorkersClient("chipre", longTimeout)
	attach := func(epoch int64) (infra.AttachResponse, error) {
		return workers.Attach(ctx, f.machines[0].vm.Addr, infra.AttachRequest{
			Cell: "chipre-0", Epoch: epoch, OwnerURL: owner.URL,
		})
	}
	first, err := attach(2)
	assert.NilError(t, err)
	assert.Equal(t, first.Worker, "chipre-w01")
	assert.Equal(t, first.Capacity, job.Resources{CPUMilli: 4000, MemoryMiB: 4096})
	req := <-polls
	assert.Equal(t, req.Incarnation, first.Incarnation)
	assert.Equal(t, req.Epoch, int64(2))
	_, err = attach(1)
	var stale *infra.StaleEpochError
	assert.Assert(t, errors.As(err, &stale), "%v", err)
	assert.Equal(t, stale.Want, int64(2))

	control := httptest.NewServer(f.Control(ctx))
	defer control.Close()
	for _, dead := range []string{"true", "false"} {
		body := `{"workers":{"chipre-w01":{"dead":` + dead + `}}}`
		res, err := http.Post(control.URL+"/faults", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusOK)
		if dead == "true" {
			_, err = attach(3)
			// A kept-alive connection may be reset after bytes of the attach were sent, so both kinds of error are correct.
			assert.Assert(t, isUnavailable(err) || infra.IsUnknownOutcome(err), "%v", err)
		}
	}
	second, err := attach(3)
	assert.NilError(t, err)
	assert.Assert(t, second.Incarnation != first.Incarnation)
}

type pollFunc func(context.Context, infra.PollRequest) (infra.PollResponse, error)

func (f pollFunc) Poll(ctx context.Context, req infra.PollRequest) (infra.PollResponse, error) {
	return f(ctx, req)
}
