package requestsim_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/internal/figures/requestsim"
	"github.com/currantthread/currantthread/limit"
)

const replaySeed = 3

// replay runs a trace of testdata in a simulation. It leaves out events whose kind or class is in without.
func replay(t *testing.T, cfg requestsim.Config, name string, until time.Duration, without ...string) *requestsim.Simulation {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	assert.NilError(t, err)
	defer file.Close()
	trace, err := requestsim.ReadTrace(file)
	assert.NilError(t, err)
	sim := requestsim.New(cfg)
	kept := slices.DeleteFunc(trace, func(event requestsim.TraceEvent) bool {
		return slices.Contains(without, event.Event) || slices.Contains(without, event.Class.String())
	})
	assert.NilError(t, sim.Play(kept))
	sim.Run(until)
	return sim
}

func p99(s *requestsim.Stats) float64 { return float64(s.Latency.ValueAtQuantile(99)) / 1000 }

// checkAccounts asserts that every request was counted with exactly one outcome.
func checkAccounts(t *testing.T, s *requestsim.Stats) {
	t.Helper()
	assert.Equal(t, s.Sent, s.OK+s.Failed+s.Shed+s.NoRoute)
}

// A slow runner and a leaving runner must not harm callers during a booking rush: no request fails or is shed, the p99 is
// at most 1.3 times that of the same rush without faults (F2), and the leaving runner gets no new request 3 s after it
// announces that it leaves (G8) and completes the requests that it has.
func TestReplayBookingRush(t *testing.T) {
	const trace = "manizales-booking-rush.csv"
	sim := replay(t, requestsim.Manizales(replaySeed), trace, time.Minute)
	noFaults := replay(t, requestsim.Manizales(replaySeed), trace, time.Minute, "slow", "mode")
	stats, noFaultStats := sim.Stats[limit.LatencyCritical], noFaults.Stats[limit.LatencyCritical]
	t.Logf("p99 %.0f ms, without faults %.0f ms, %d requests, %d retries, %d at the slow runner", p99(stats),
		p99(noFaultStats), stats.Sent, stats.Retries, sim.Runner("chipre-03").Assigned)
	checkAccounts(t, stats)
	assert.Assert(t, stats.Sent > 50_000)
	assert.Equal(t, stats.Failed+stats.Shed+stats.NoRoute, int64(0))
	assert.Assert(t, p99(stats) <= 1.3*p99(noFaultStats))
	leaving := sim.Runner("la-enea-05")
	assert.Assert(t, leaving.LastSent <= 17*time.Second, "the last request was sent at %v", leaving.LastSent)
	assert.Equal(t, leaving.Running()+leaving.Queued(), 0)
}

// Batch settlements must not delay or displace latency-critical weighbridge tickets, but must use the remaining capacity:
// no ticket fails or is shed, the p99 of tickets is at most 1.3 times that without settlements, and settlements get at
// least 90% of the capacity that tickets leave free.
func TestReplayDayEnd(t *testing.T) {
	const trace = "baling-day-end.csv"
	sim := replay(t, requestsim.Baling(replaySeed), trace, time.Minute)
	ticketsOnly := replay(t, requestsim.Baling(replaySeed), trace, time.Minute, "batch")
	tickets, ticketsAlone, settlements := sim.Stats[limit.LatencyCritical], ticketsOnly.Stats[limit.LatencyCritical], sim.Stats[limit.Batch]
	// 15 s at a capacity of 4,000 requests per second, of which tickets use 1,200.
	const free = 15 * (4000 - 1200)
	t.Logf("tickets p99 %.0f ms, without settlements %.0f ms; %d of %d settlements answered, %d shed, %d failed",
		p99(tickets), p99(ticketsAlone), settlements.OK, settlements.Sent, settlements.Shed, settlements.Failed)
	checkAccounts(t, tickets)
	checkAccounts(t, settlements)
	assert.Equal(t, tickets.Failed+tickets.Shed+tickets.NoRoute, int64(0))
	assert.Assert(t, p99(tickets) <= 1.3*p99(ticketsAlone))
	assert.Equal(t, settlements.Failed, int64(0))
	assert.Assert(t, settlements.OK >= free*9/10)
}

// A region that is cut off must keep serving its requests, must stop sending requests across the cut within 5 s, and must
// resume after the cut ends. Only requests in flight to the other region when the cut begins may fail, because they may
// have run.
func TestReplayRegionCut(t *testing.T) {
	const cutBegin, cutEnd, end = 10, 20, 60 // seconds
	cfg := requestsim.Manizales(replaySeed)
	sim := replay(t, cfg, "manizales-region-cut.csv", 0)
	stats := sim.Stats[limit.LatencyCritical]
	var crossed []int64
	for second := 1; second <= end+10; second++ {
		before := stats.Crossed
		sim.Run(time.Duration(second) * time.Second)
		crossed = append(crossed, stats.Crossed-before)
	}
	t.Logf("crossed per second %v; %d sent, %d failed, %d shed, %d without route, %d retries, p99 %.0f ms", crossed,
		stats.Sent, stats.Failed, stats.Shed, stats.NoRoute, stats.Retries, p99(stats))
	checkAccounts(t, stats)
	assert.Assert(t, stats.Failed <= crossed[cutBegin-1])
	assert.Equal(t, stats.Shed+stats.NoRoute, int64(0))
	assert.Assert(t, sum(crossed[:cutBegin]) > 0, "nothing crossed before the cut")
	assert.Equal(t, sum(crossed[cutBegin+5:cutEnd]), int64(0), "requests crossed the cut 5 s after it began")
	assert.Assert(t, sum(crossed[cutEnd:end]) > 0, "nothing crossed after the cut")
}

// The link between regions must not carry more than its byte budget when large requests spill over.
func TestReplayByteBudget(t *testing.T) {
	cfg := requestsim.Manizales(replaySeed)
	cfg.RequestBytes = 512 << 10
	sim := replay(t, cfg, "manizales-region-cut.csv", 0)
	stats := sim.Stats[limit.LatencyCritical]
	const seconds, entries, burst = 30, 3, 1 // the bucket of each entry VM holds the budget of one second
	sim.Run(seconds * time.Second)
	t.Logf("%d requests of %d bytes crossed in %d s", stats.Crossed, cfg.RequestBytes, seconds)
	assert.Assert(t, stats.Crossed > 0)
	assert.Assert(t, stats.Crossed*cfg.RequestBytes <= entries*(seconds+burst)*cfg.LinkRate)
}

func sum(values []int64) int64 {
	total := int64(0)
	for _, v := range values {
		total += v
	}
	return total
}

// ReadTrace and Play must reject malformed traces with an error that names the line and the field.
func TestReadTraceRejectsMalformedTraces(t *testing.T) {
	const header = "at_ms,event,target,class,value\n"
	cases := []struct{ name, text, want string }{
		{"header", "time,event,target,class,value\n", "first line"},
		{"time", header + "soon,rate,chipre,batch,1\n", "line 2: at_ms"},
		{"class", header + "0,rate,chipre,urgent,1\n", "line 2: class"},
		{"order", header + "5,rate,chipre,batch,1\n4,rate,chipre,batch,1\n", "line 3: is earlier"},
		{"event", header + "0,explode,chipre,,1\n", "line 2: event"},
		{"domain", header + "0,rate,gliwice,batch,1\n", "line 2: target"},
		{"rate", header + "0,rate,chipre,batch,many\n", "line 2: value"},
		{"runner", header + "0,slow,chipre-99,,20\n", "line 2: target"},
		{"mode", header + "0,mode,chipre-01,,asleep\n", "line 2: value"},
		{"regions", header + "0,cut,caldas-centro,,on\n", "line 2: target"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			trace, err := requestsim.ReadTrace(strings.NewReader(c.text))
			if err == nil {
				err = requestsim.New(requestsim.Manizales(replaySeed)).Play(trace)
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}
