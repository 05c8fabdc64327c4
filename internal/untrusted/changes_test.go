package untrusted

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// largerVM is the memory of a VM before its settings are changed to memoryMB.
	largerVM = 3 * memoryMB
	// slowClients is the number of clients that send their bodies slowly but steadily, and slowInterval the time between two pieces of a
	// body, which are slowBytes each.
	slowClients  = 300
	slowInterval = time.Second
	slowBytes    = 1200
)

// sendSlowly sends most of a body at once, and the rest slowly until the connection or stop is closed.
func (n *node) sendSlowly(client int, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", n.clientAddr, writeTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	start := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", requestLine(client), bodyBytes)
	if write(conn, append(start, make([]byte, bodyBytes*3/4)...)) != nil {
		return
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(slowInterval):
		}
		if write(conn, []byte(strings.Repeat(" ", slowBytes))) != nil {
			return
		}
	}
}

// whileClientsSendSlowly runs a function while slow clients use the memory that clients may hold.
func (n *node) whileClientsSendSlowly(run func()) {
	n.t.Helper()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for client := range slowClients {
		running.Go(func() { n.sendSlowly(client, stop) })
	}
	time.Sleep(2 * slowInterval) // the clients have sent most of their bodies
	run()
	close(stop)
	running.Wait()
}

// TestMemoryShrinks guards against a smaller memory_mb that applies only to what clients send afterwards.
func TestMemoryShrinks(t *testing.T) {
	n := newDeployment(t, usualLimits).startNode("n-0", vm{memoryMB: largerVM, maxFDs: manyFDs})
	n.whileClientsSendSlowly(func() {
		t.Logf("memory %d kB", n.memoryKB("VmRSS"))
		n.vm.memoryMB = memoryMB
		n.writeSettings()
		assert.NilError(t, n.cmd.Process.Signal(syscall.SIGHUP))
		n.await("the memory to shrink", answerWait, func() bool { return n.memoryKB("VmRSS") <= memoryMB<<10 })
		n.answersOrdinaryRequest("0000000000000002")
	})
}

// TestStopWhileClientsSend guards against a process that waits for clients when it stops.
func TestStopWhileClientsSend(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	n.whileClientsSendSlowly(func() {
		assert.NilError(t, n.cmd.Process.Signal(syscall.SIGTERM))
		select {
		case <-n.ended:
		case <-time.After(answerWait):
			t.Error("the process has not ended")
		}
	})
}
