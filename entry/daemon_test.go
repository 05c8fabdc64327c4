package entry_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/entry"
	"github.com/currantthread/currantthread/settings"
)

// daemon is an entry daemon of a harness.
type daemon struct {
	entryVM
	stop func()
	done chan error
}

// startDaemon starts an entry daemon on e1:80 for callers and e1:82 for its admin address.
func (h *harness) startDaemon(t *testing.T) *daemon {
	bootstrap := &settings.Bootstrap{VM: "e1", Region: "r1", Domain: "d1", CallerAddr: "e1:80"}
	d, err := entry.NewDaemon(bootstrap, entry.Options{Settings: h.currentSettings, LogOutput: &h.log, Table: h.table, VMs: h, Dial: h.network.Dial, Seed: 1})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	started := &daemon{entryVM: entryVM{harness: h, name: "e1"}, stop: cancel, done: make(chan error, 1)}
	callers, admin := h.network.Listen("e1:80"), h.network.Listen("e1:82")
	go func() { started.done <- d.Serve(ctx, callers, admin) }()
	synctest.Wait()
	return started
}

func (d *daemon) ready() bool {
	conn, err := d.harness.network.Dial(context.Background(), "e1:82")
	if err != nil {
		return false
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// A graceful shutdown must finish requests in flight, accept those that the balancer still sends, keep idle connections
// open meanwhile, and store the outcomes of claims (G9).
func TestGracefulShutdown(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Test-Id") == "slow" {
				time.Sleep(8 * time.Second)
			}
			_, _ = io.WriteString(w, "done")
		})
		h.addUpstream("u1", "r1", "d1", nil)
		d := h.startDaemon(t)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, d.ready())
		idle, err := h.network.Dial(t.Context(), "e1:80")
		assert.NilError(t, err)
		defer idle.Close()
		idleReader := bufio.NewReader(idle)
		ask := func() *http.Response {
			_, err := io.WriteString(idle, "GET /svc/kioscos/x HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(idleReader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			return resp
		}
		assert.Assert(t, !ask().Close)

		var group sync.WaitGroup
		group.Go(func() {
			got := d.send(keyed("slow", "k"))
			assert.Check(t, got.err == nil && got.body == "done", "%+v", got)
		})
		time.Sleep(time.Second)
		d.stop()
		synctest.Wait()
		assert.Assert(t, !d.ready())
		time.Sleep(2900 * time.Millisecond)
		assert.Equal(t, d.send(request{}).status, http.StatusOK)
		assert.Assert(t, ask().Close)
		time.Sleep(200 * time.Millisecond)
		_, err = h.network.Dial(t.Context(), "e1:80")
		assert.ErrorContains(t, err, "refused")
		group.Wait()
		assert.NilError(t, <-d.done)
		rows, err := h.table.Scan(t.Context(), "claim/", "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
		assert.Assert(t, strings.Contains(string(rows[0].Value), `"state":"done"`), string(rows[0].Value))
	})
}

// The daemon must not wait forever for a request that does not end, and must return an error in this case.
func TestShutdownGrace(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.configure(func(e *settings.Effective, s *settings.Service) {
			e.Entry.ShutdownGrace = settings.Duration(5 * time.Second)
			s.Timeout = settings.Duration(time.Minute)
		})
		h.setHandler(func(http.ResponseWriter, *http.Request) { time.Sleep(30 * time.Second) })
		h.addUpstream("u1", "r1", "d1", nil)
		d := h.startDaemon(t)
		go d.send(request{method: http.MethodPost, id: "1"})
		time.Sleep(time.Second)
		begin := time.Now()
		d.stop()
		assert.ErrorContains(t, <-d.done, "still in flight")
		assert.Assert(t, time.Since(begin) <= 8*time.Second+time.Second)
		time.Sleep(time.Minute)
	})
}

// The daemon must not be ready before it has read the VM list.
func TestReadyAfterFirstVMList(t *testing.T) {
	inBubble(t, func(t *testing.T, h *harness) {
		h.setVMs(unchanged, errListUnavailable)
		d := h.startDaemon(t)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !d.ready())
		h.setVMs(unchanged, nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, d.ready())
		d.stop()
		assert.NilError(t, <-d.done)
	})
}
