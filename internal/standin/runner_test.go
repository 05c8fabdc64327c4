package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
)

type runnerBench struct {
	*Runner
	counts *RunCounts
	client *http.Client
}

func newRunnerBench(t *testing.T) *runnerBench {
	t.Helper()
	counts := NewRunCounts()
	r, err := StartRunner(RunnerConfig{ID: "r1", Addr: "127.0.0.1:0", Slots: 1, Connections: 8}, counts)
	assert.NilError(t, err)
	t.Cleanup(r.Kill)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &runnerBench{r, counts, &http.Client{Transport: transport, Timeout: longTimeout}}
}

// do sends a request with a token and returns the answer and its body.
func (b *runnerBench) do(method, path, token string) (*http.Response, string, error) {
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	req, err := http.NewRequest(method, "http://"+b.Addr()+path+separator+"token="+token, strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	req.GetBody = nil
	req.Header.Set(infra.HeaderRequestID, "id-"+token)
	req.Header.Set(headerIdempotencyKey, "key-"+token)
	res, err := b.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

func (b *runnerBench) ran(token string) [3]int64 {
	found := b.counts.Lookup(Lookup{
		RequestIDs: []string{"id-" + token}, Keys: []string{"key-" + token}, Tokens: []string{token},
	})
	return [3]int64{found.RequestIDs[0], found.Keys[0], found.Tokens[0]}
}

// Guards against a runner that counts wrongly: a demo would then miss a request that ran twice, or one refused as not
// run that ran.
func TestRunnerCountsRuns(t *testing.T) {
	b := newRunnerBench(t)
	res, body, err := b.do(http.MethodPost, "/reservations", "a")
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusCreated)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID), "id-a")
	assert.Equal(t, res.Header.Get(headerLoad), "inflight=1,slots=1,queue=0")
	assert.Equal(t, body, `{"number":"r1-1","token":"a","body_bytes":4}`+"\n")
	_, _, err = b.do(http.MethodPost, "/reservations", "a")
	assert.NilError(t, err)
	assert.Equal(t, b.ran("a"), [3]int64{2, 2, 2})
	assert.Equal(t, b.counts.Summary().RepeatedKeys, 1)
}

// Guards against a refusal as "not run" by a runner that runs the request.
func TestRunnerRefusals(t *testing.T) {
	b := newRunnerBench(t)
	for reason, faults := range map[string]RunnerFaults{"busy": {Busy: true}, "leaving": {Leaving: true}} {
		b.SetFaults(faults)
		res, _, err := b.do(http.MethodPost, "/reservations", reason)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, res.Header.Get(headerRefused), reason)
		assert.Equal(t, b.ran(reason), [3]int64{})
		state, listed := b.State()
		assert.Equal(t, state == infra.VMLive && listed, reason == "busy")
	}

	b.SetFaults(RunnerFaults{})
	hold := make(chan struct{})
	go func() { b.slots <- struct{}{}; close(hold) }()
	<-hold
	b.mu.Lock()
	b.inflight++
	b.mu.Unlock()
	res, _, err := b.do(http.MethodPost, "/reservations", "full")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(headerRefused), "busy")
	b.leave()
}

// Guards against a plain upstream stand-in that still uses optional headers.
func TestPlainRunner(t *testing.T) {
	b := newRunnerBench(t)
	b.SetFaults(RunnerFaults{Plain: true})
	res, _, err := b.do(http.MethodGet, "/availability", "a")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID)+res.Header.Get(headerLoad), "")
	b.SetFaults(RunnerFaults{Plain: true, Busy: true})
	res, _, err = b.do(http.MethodGet, "/availability", "b")
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get(headerRefused), "")
}

// Guards against fault switches of answers that leave the answer right or hide that the request ran.
func TestRunnerSpoiltAnswers(t *testing.T) {
	b := newRunnerBench(t)
	b.SetFaults(RunnerFaults{GateFaults: GateFaults{LoseAnswers: 1}})
	_, _, err := b.do(http.MethodPost, "/reservations", "lost")
	assert.Assert(t, err != nil)
	assert.Equal(t, b.ran("lost"), [3]int64{1, 1, 1})

	b.SetFaults(RunnerFaults{GateFaults: GateFaults{TruncateAnswers: 1}})
	res, body, err := b.do(http.MethodGet, "/work?bytes=1000", "cut")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, res.Header.Get("Content-Length"), "1000")
	assert.Equal(t, len(body), 500)

	b.SetFaults(RunnerFaults{GateFaults: GateFaults{CrossAnswers: 2}})
	res, _, err = b.do(http.MethodGet, "/work?bytes=10", "first")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID), "crossed")
	res, body, err = b.do(http.MethodGet, "/work?bytes=10", "second")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID), "id-first")
	assert.Equal(t, body, string(PatternBytes("first", 10)))
}

// Guards against a dead runner that still answers, or does not come back.
func TestRunnerDeath(t *testing.T) {
	b := newRunnerBench(t)
	_, _, err := b.do(http.MethodGet, "/availability", "a")
	assert.NilError(t, err)
	b.SetFaults(RunnerFaults{Dead: true})
	_, _, err = b.do(http.MethodGet, "/availability", "b")
	assert.Assert(t, err != nil)
	_, listed := b.State()
	assert.Assert(t, !listed)
	b.SetFaults(RunnerFaults{})
	_, _, err = b.do(http.MethodGet, "/availability", "c")
	assert.NilError(t, err)
}

// Guards against a runner that accepts more connections than it declares.
func TestRunnerConnectionLimit(t *testing.T) {
	b := newRunnerBench(t)
	dial := func() (*http.Response, error) {
		client := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(client.CloseIdleConnections)
		return client.Get("http://" + b.Addr() + "/availability")
	}
	for range 8 {
		res, err := dial()
		assert.NilError(t, err)
		defer res.Body.Close()
	}
	_, err := dial()
	assert.Assert(t, err != nil)
	assert.Equal(t, b.ConnectionsRefused(), int64(1))
}

// Guards against a check of answers that accepts a wrong, short or long one.
func TestMatchesPattern(t *testing.T) {
	const size = 100_000
	data := PatternBytes("a", size)
	check := func(data []byte) bool {
		ok, err := MatchesPattern(strings.NewReader(string(data)), "a", size)
		assert.NilError(t, err)
		return ok
	}
	assert.Assert(t, check(data))
	assert.Assert(t, !check(data[:size-1]))
	assert.Assert(t, !check(append(data, 0)))
	data[size-1] ^= 1
	assert.Assert(t, !check(data))
	assert.Assert(t, !check(PatternBytes("b", size)))
}

// Guards against a service task whose runner does not appear in the VM list, or stays there after the task.
func TestServiceTaskOpensRunner(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newTestFleet(ctx, t)
	worker, _ := f.machines[0].current()
	ref := infra.AttemptRef{Task: "s/0", Attempt: 1}
	worker.mu.Lock()
	worker.begin(infra.Command{Ref: ref, Spec: serviceSpec()}, worker.settledAt)
	worker.mu.Unlock()
	id := "chipre-w01-s/0-" + strconv.Itoa(ref.Attempt)
	found := false
	for _, vm := range f.VMs() {
		if vm.ID == id {
			found = true
			assert.Equal(t, vm.Service, "kioscos")
			res, err := http.Get("http://" + vm.Addr + "/availability?token=t")
			assert.NilError(t, err)
			assert.NilError(t, res.Body.Close())
		}
	}
	assert.Assert(t, found)
	assert.Equal(t, f.Counts().Requests.ByRunner[id], int64(1))
	f.machines[0].kill()
	for _, vm := range f.VMs() {
		assert.Assert(t, vm.ID != id && vm.ID != "chipre-w01")
	}
}
