package untrusted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// submitters is the number of clients that submit a job at the same time, and largestJobBytes the size of the largest one.
	submitters      = 300
	largestJobBytes = 60_000
	// largestJobRounds is how often all submitters submit a job of largestJobBytes.
	largestJobRounds = 30
	// manyTasks is the number of tasks of each job of TestWaitingTasks, and mostTasks the largest number that a job may have.
	manyTasks = 2_000
	mostTasks = 10_000
	// smallestVM is the memory of the smallest VM of a deployment.
	smallestVM = 184
)

// largestJob returns a job that is about as large as a row of the store allows. No runner has its label.
func largestJob() string {
	return fmt.Sprintf(`{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":10,"requirements":%q}]}`, strings.Repeat("x", largestJobBytes))
}

// submitAll lets all submitters submit a job at the same time and await the responses. first is the number of the first one.
func (n *node) submitAll(first int, job string) {
	var running sync.WaitGroup
	for client := range submitters {
		running.Go(func() {
			conn, err := net.DialTimeout("tcp", n.clientAddr, writeTimeout)
			if err != nil {
				return
			}
			defer conn.Close()
			request := fmt.Appendf(nil, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", requestLine(first+client), len(job), job)
			if write(conn, request) != nil {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
			_, _ = io.Copy(io.Discard, conn) // the client takes whatever it gets
		})
	}
	running.Wait()
}

// jobOf returns a small job with the given number of tasks. No runner has its label.
func jobOf(tasks int) string {
	return fmt.Sprintf(`{"spec":"a","steps":[{"count":%d,"cpu":100,"mem_mb":10,"estimated_ms":10,"requirements":"none"}]}`, tasks)
}

// accepted returns the number of jobs that the node has accepted.
func (n *node) accepted() int { return bytes.Count(n.logged(), []byte("job accepted")) }

// TestWaitingJobs guards against jobs that are accepted without a bound and wait for ever.
func TestWaitingJobs(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	for round := range largestJobRounds {
		n.submitAll(round*submitters, largestJob())
	}
	t.Logf("%d jobs accepted", n.accepted())
	n.check()
}

// TestWaitingTasks guards against tasks that are accepted without a bound: a task takes far more memory than its part of a request.
func TestWaitingTasks(t *testing.T) {
	n := startNode(t, manyFDs, usualLimits)
	n.submitAll(0, jobOf(manyTasks))
	t.Logf("%d jobs accepted", n.accepted())
	n.check()
}

// TestLargestJobs guards against bounds that a single job within the limits meets.
func TestLargestJobs(t *testing.T) {
	n := newDeployment(t, usualLimits).startNode("n-0", vm{memoryMB: smallestVM, maxFDs: manyFDs})
	for i, job := range []string{largestJob(), jobOf(mostTasks)} {
		response, err := http.DefaultClient.Do(n.submission(fmt.Sprintf("%016x", i+1000), job))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	n.check()
}
