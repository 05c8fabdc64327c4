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

// runnerFixture is a runner with one slot, its counts and an HTTP client.
type runnerFixture struct {
	*Runner
	counts *RunCounts
	client *http.Client
}

func newRunnerFixture(t *testing.T) *runnerFixture {
	t.Helper()
	counts := NewRunCounts()
	r, err := StartRunner(RunnerConfig{ID: "r1", Addr: "127.0.0.1:0", Slots: 1, Connections: 8}, counts)
	assert.NilError(t, err)
	t.Cleanup(r.Kill)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &runnerFixture{r, counts, &http.Client{Transport: transport, Timeout: longTimeout}}
}

// do sends a request with a token and returns the response and its body.
func (f *runnerFixture) do(method, path, token string) (*http.Response, string, error) {
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	req, err := http.NewRequest(method, "http://"+f.Addr()+path+separator+"token="+token, strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	req.GetBody = nil
	req.Header.Set(infra.HeaderRequestID, "id-"+token)
	req.Header.Set(headerIdempotencyKey, "key-"+token)
	res, err := f.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// runCounts returns how often the request with a token ran, counted by request ID, idempotency key and token.
func (f *runnerFixture) runCounts(token string) [3]int64 {
	found := f.counts.Lookup(Lookup{
		RequestIDs: []string{"id-" + token}, Keys: []string{"key-" + token}, Tokens: []string{token},
	})
	return [3]int64{found.RequestIDs[0], found.Keys[0], found.Tokens[0]}
}

// The runner must count every run; otherwise the load check would miss a request that ran twice, or that ran after a refusal
// as not run.
func TestRunnerCountsRuns(t *testing.T) {
	f := newRunnerFixture(t)
	res, body, err := f.do(http.MethodPost, "/reservations", "a")
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusCreated)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID), "id-a")
	assert.Equal(t, res.Header.Get(headerLoad), "inflight=1,slots=1,queue=0")
	assert.Equal(t, body, `{"number":"r1-1","token":"a","body_bytes":4}`+"\n")
	_, _, err = f.do(http.MethodPost, "/reservations", "a")
	assert.NilError(t, err)
	assert.Equal(t, f.runCounts("a"), [3]int64{2, 2, 2})
	assert.Equal(t, f.counts.Summary().RepeatedKeys, 1)
}

// A runner that refuses a request must not run it.
func TestRunnerRefusals(t *testing.T) {
	f := newRunnerFixture(t)
	for reason, faults := range map[string]RunnerFaults{"busy": {Busy: true}, "leaving": {Leaving: true}} {
		f.SetFaults(faults)
		res, _, err := f.do(http.MethodPost, "/reservations", reason)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, res.Header.Get(headerRefused), reason)
		assert.Equal(t, f.runCounts(reason), [3]int64{})
		state, listed := f.State()
		assert.Equal(t, state == infra.VMLive && listed, reason == "busy")
	}

	f.SetFaults(RunnerFaults{})
	hold := make(chan struct{})
	go func() { f.slots <- struct{}{}; close(hold) }()
	<-hold
	f.mu.Lock()
	f.inflight++
	f.mu.Unlock()
	res, _, err := f.do(http.MethodPost, "/reservations", "full")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(headerRefused), "busy")
	f.releaseSlot()
}

// A runner with the Plain fault must omit all optional headers.
func TestPlainRunner(t *testing.T) {
	f := newRunnerFixture(t)
	f.SetFaults(RunnerFaults{Plain: true})
	res, _, err := f.do(http.MethodGet, "/availability", "a")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID)+res.Header.Get(headerLoad), "")
	f.SetFaults(RunnerFaults{Plain: true, Busy: true})
	res, _, err = f.do(http.MethodGet, "/availability", "b")
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get(headerRefused), "")
}

// The faults of responses must lose, cut or swap the response, and the request must be counted as run.
func TestRunnerCorruptedResponses(t *testing.T) {
	f := newRunnerFixture(t)
	f.SetFaults(RunnerFaults{ServerFaults: ServerFaults{LoseResponses: 1}})
	_, _, err := f.do(http.MethodPost, "/reservations", "lost")
	assert.Assert(t, err != nil)
	assert.Equal(t, f.runCounts("lost"), [3]int64{1, 1, 1})

	f.SetFaults(RunnerFaults{ServerFaults: ServerFaults{TruncateResponses: 1}})
	res, body, err := f.do(http.MethodGet, "/work?bytes=1000", "cut")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, res.Header.Get("Content-Length"), "1000")
	assert.Equal(t, len(body), 500)

	f.SetFaults(RunnerFaults{ServerFaults: ServerFaults{CrossResponses: 2}})
	res, _, err = f.do(http.MethodGet, "/work?bytes=10", "first")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID), "crossed")
	res, body, err = f.do(http.MethodGet, "/work?bytes=10", "second")
	assert.NilError(t, err)
	assert.Equal(t, res.Header.Get(infra.HeaderRequestID), "id-first")
	assert.Equal(t, body, string(PatternBytes("first", 10)))
}

// A dead runner must not respond, and must serve again after the fault is switched off.
func TestRunnerCrashAndRestart(t *testing.T) {
	f := newRunnerFixture(t)
	_, _, err := f.do(http.MethodGet, "/availability", "a")
	assert.NilError(t, err)
	f.SetFaults(RunnerFaults{Dead: true})
	_, _, err = f.do(http.MethodGet, "/availability", "b")
	assert.Assert(t, err != nil)
	_, listed := f.State()
	assert.Assert(t, !listed)
	f.SetFaults(RunnerFaults{})
	_, _, err = f.do(http.MethodGet, "/availability", "c")
	assert.NilError(t, err)
}

// A runner must reset connections above its limit.
func TestRunnerConnectionLimit(t *testing.T) {
	f := newRunnerFixture(t)
	dial := func() (*http.Response, error) {
		client := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(client.CloseIdleConnections)
		return client.Get("http://" + f.Addr() + "/availability")
	}
	for range 8 {
		res, err := dial()
		assert.NilError(t, err)
		defer res.Body.Close()
	}
	_, err := dial()
	assert.Assert(t, err != nil)
	assert.Equal(t, f.ConnectionsRefused(), int64(1))
}

// MatchesPattern must reject a wrong, short or long body.
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

// The runner of a service task must appear in the VM list, and disappear from it when the task ends.
func TestServiceTaskOpensRunner(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newTestFleet(ctx, t)
	worker, _ := f.machines[0].currentWorker()
	ref := infra.AttemptRef{Task: "s/0", Attempt: 1}
	worker.mu.Lock()
	worker.startAttempt(infra.Command{Ref: ref, Spec: serviceSpec()}, worker.accruedAt)
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
