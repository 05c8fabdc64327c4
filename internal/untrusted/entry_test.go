package untrusted

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
)

// entryHeadBytes is the size of a head within the limit of an entry daemon.
const entryHeadBytes = 60_000

// startEntry starts an entry daemon, one upstream and the services of the platform.
func startEntry(t *testing.T, on vm) *process {
	t.Helper()
	upstream, err := standin.StartRunner(standin.RunnerConfig{ID: "u-0", Addr: loopback + ":0", Slots: 8, Connections: 64, Queue: 100}, standin.NewRunCounts())
	assert.NilError(t, err)
	t.Cleanup(upstream.Close)
	ports := freePorts(t, 7)
	addr := func(i int) string { return fmt.Sprintf("%s:%d", loopback, ports+i) }
	config := standin.PlatformConfig{TableAddr: addr(3), ObjectsAddr: addr(4), VMListAddr: addr(5), ControlAddr: addr(6), VMs: []infra.VM{
		{ID: "u-0", Role: infra.RoleUpstream, State: infra.VMLive, Region: "sur", Domain: "anza", Addr: upstream.Addr(), Service: serviceName, Slots: 8,
			Connections: 64},
		{ID: "e-0", Role: infra.RoleEntry, State: infra.VMLive, Region: "sur", Domain: "anza", Addr: addr(1)},
	}}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- standin.NewPlatform(config).Serve(ctx, config) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-served)
	})
	bootstrap := filepath.Join(t.TempDir(), "bootstrap.toml")
	assert.NilError(t, os.WriteFile(bootstrap, fmt.Appendf(nil, `vm = "e-0"
region = "sur"
domain = "anza"
caller_addr = %q
inner_addr = %q
admin_addr = %q
memory_mb = %d
max_fds = %d
[platform]
table_url = "http://%s"
objects_url = "http://%s"
vm_list_url = "http://%s"
`, addr(0), addr(1), addr(2), on.memoryMB, on.maxFDs, addr(3), addr(4), addr(5)), 0o600))
	p := newProcess(t, on, ports)
	p.requestStart = func(client int) string {
		return fmt.Sprintf("POST /svc/%s/work?%d HTTP/1.1\r\nHost: %s\r\n", serviceName, client, queueHost)
	}
	p.ordinaryRequest = func(id string) *http.Request {
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/svc/%s/work?%s", p.clientAddr, serviceName, id), http.NoBody)
		assert.NilError(t, err)
		return request
	}
	p.start(entryBinary, "--config", bootstrap)
	p.awaitReady(addr(2), "/readyz")
	return p
}

var longHead = headerLines(entryHeadBytes, "%x:\n")

func sendLongHead(conn net.Conn, _ int, start string) error {
	return write(conn, append([]byte(start), longHead()...))
}

// TestEntryShortLines guards against an entry daemon that does not know the memory of its VM.
func TestEntryShortLines(t *testing.T) {
	p := startEntry(t, vm{memoryMB: memoryMB, maxFDs: manyFDs})
	p.run(kind{"requests within the limits with very many short header lines, unfinished", sendLongHead})
	p.check()
}

// TestEntryBodies guards against an entry daemon that holds what its callers send.
func TestEntryBodies(t *testing.T) {
	p := startEntry(t, vm{memoryMB: memoryMB, maxFDs: manyFDs})
	p.run(kinds["WholeBodies"], kinds["PartialBodies"], kind{"bodies in a row", sendBodiesInARow})
	p.check()
}

// TestEntryConnections guards against callers that use up the descriptors of an entry daemon.
func TestEntryConnections(t *testing.T) {
	p := startEntry(t, vm{memoryMB: memoryMB, maxFDs: fewFDs})
	p.run(kinds["EmptyLines"], kinds["UnusualLines"], kinds["EndlessHead"])
	p.check()
}
