package untrusted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/platform"
	"github.com/currantthread/currantthread/runner"
	"github.com/currantthread/currantthread/store"
	"github.com/currantthread/currantthread/workload"
)

// limits are the limits of the operators' configuration.
type limits struct {
	HeaderBytes     int   `json:"max_header_bytes"`
	BodyBytes       int64 `json:"max_body_bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms"`
}

var usualLimits = limits{HeaderBytes: 16_384, BodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 3000}

// deployment is an emulated platform with one runner.
type deployment struct {
	t         *testing.T
	rows      *emulator.Store
	storeAddr string
}

// newDeployment starts an emulated platform whose operators have configured the limits.
func newDeployment(t *testing.T, configured limits) *deployment {
	t.Helper()
	rows := emulator.NewStore()
	fleet := emulator.NewFleet(func(workload.TaskID, int) (time.Duration, bool) { return 10 * time.Millisecond, false })
	info := runner.Info{ID: "r-0", Service: serviceName, Addr: serve(t, platform.NewRunnerServer("r-0", fleet)), Domain: "anza",
		Born: time.Now().UnixMilli(), Capacity: workload.Resources{CPU: 64_000, MemoryMB: 256_000}}
	fleet.Add(info)
	row, err := platform.EncodeRunner(info)
	assert.NilError(t, err)
	rows.Put(store.Key{Table: platform.TableServers, Name: info.ID}, row)
	config, err := json.Marshal(map[string]any{
		"version":  1,
		"services": []map[string]any{{"name": serviceName, "rejects_overload": true}},
		"routes": []map[string]any{{"name": "q", "host": queueHost, "path_prefix": jobPathPrefix, "service": serviceName, "timeout_ms": 3000,
			"target_completion_ms": 1000, "max_attempts": 3, "stretch": 2}},
		"limits": configured,
	})
	assert.NilError(t, err)
	rows.Put(store.Key{Table: platform.TableOperator, Name: platform.RowConfig}, config)
	return &deployment{t: t, rows: rows, storeAddr: serve(t, platform.NewStoreServer(rows))}
}

// node is the process of one node.
type node struct {
	*process
	deployment *deployment
	name       string
	ports      int // first of its ports
	readyAddr  string
	settings   string // file
}

// startNode starts a deployment of one node, which has acquired its cell.
func startNode(t *testing.T, maxFDs int, configured limits) *node {
	t.Helper()
	return newDeployment(t, configured).startNode("n-0", vm{memoryMB: memoryMB, maxFDs: maxFDs})
}

// startNode starts a node, which is ready and answers.
func (d *deployment) startNode(name string, on vm) *node {
	d.t.Helper()
	ports := freePorts(d.t, 4)
	n := &node{process: newProcess(d.t, on, ports+2), deployment: d, name: name, ports: ports,
		settings: filepath.Join(d.t.TempDir(), "settings.toml"), readyAddr: fmt.Sprintf("%s:%d", loopback, ports+3)}
	n.requestStart, n.ordinaryRequest = requestLine, func(id string) *http.Request { return n.submission(id, ordinaryJob) }
	n.writeSettings()
	n.start(nodeBinary, "node", "--config", n.settings)
	n.awaitReady(n.readyAddr, "/v1/ready")
	return n
}

// writeSettings writes the settings file for the node's VM.
func (n *node) writeSettings() {
	n.t.Helper()
	settings := fmt.Sprintf(`node_name = %q
ip = %q
zone = "anza"
region = "sur"
internal_ports = [%d, %d]
bootstrap = true
orders = "call"
[zones]
anza = "sur"
[listen_addrs]
frontend = %q
readiness = %q
[limits]
cpu_share = 0.4
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
[bounds]
hold_max_ms = 10000
grace_s = 6
stop_timeout_ms = 900
status_s = 120
[platform]
address = %q
form = "table"
across = true
`, n.name, loopback, n.ports, n.ports+1, n.clientAddr, n.readyAddr, n.vm.memoryMB, n.vm.maxFDs, n.deployment.storeAddr)
	assert.NilError(n.t, os.WriteFile(n.settings, []byte(settings), 0o600))
}

// submission returns a request that submits a job.
func (n *node) submission(id, job string) *http.Request {
	n.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+n.clientAddr+jobPathPrefix+id, strings.NewReader(job))
	assert.NilError(n.t, err)
	request.Host = queueHost
	return request
}
