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

// replay runs a trace of testdata through a world. Events whose kind is in without are left out.
func replay(t *testing.T, cfg requestsim.Config, name string, until time.Duration, without ...string) *requestsim.World {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	assert.NilError(t, err)
	defer file.Close()
	trace, err := requestsim.ReadTrace(file)
	assert.NilError(t, err)
	w := requestsim.New(cfg)
	kept := slices.DeleteFunc(trace, func(event requestsim.TraceEvent) bool {
		return slices.Contains(without, event.Event) || slices.Contains(without, event.Class.String())
	})
	assert.NilError(t, w.Play(kept))
	w.Run(until)
	return w
}

func p99(s *requestsim.Stats) float64 { return float64(s.Latency.ValueAtQuantile(99)) / 1000 }

// checkAccounts asserts that every request had exactly one end.
func checkAccounts(t *testing.T, s *requestsim.Stats) {
	t.Helper()
	assert.Equal(t, s.Sent, s.OK+s.Failed+s.Shed+s.NoRoute)
}

// Guards against a slow runner or a leaving one that harms callers in the booking rush: no request fails or is shed, the
// p99 is at most 1.3 times that of the same rush without them (F2), and the leaving runner gets no new request 3 s after
// it said so (G8) and answers what it had.
func TestReplayBookingRush(t *testing.T) {
	const trace = "manizales-booking-rush.csv"
	w := replay(t, requestsim.Manizales(replaySeed), trace, time.Minute)
	calm := replay(t, requestsim.Manizales(replaySeed), trace, time.Minute, "slow", "mode")
	stats, calmStats := w.Stats[limit.LatencyCritical], calm.Stats[limit.LatencyCritical]
	t.Logf("p99 %.0f ms, without faults %.0f ms, %d requests, %d retries, %d at the slow runner", p99(stats),
		p99(calmStats), stats.Sent, stats.Retries, w.Runner("chipre-03").Assigned)
	checkAccounts(t, stats)
	assert.Assert(t, stats.Sent > 50_000)
	assert.Equal(t, stats.Failed+stats.Shed+stats.NoRoute, int64(0))
	assert.Assert(t, p99(stats) <= 1.3*p99(calmStats))
	leaving := w.Runner("la-enea-05")
	assert.Assert(t, leaving.Last <= 17*time.Second, "the last request was sent at %v", leaving.Last)
	assert.Equal(t, leaving.Running()+leaving.Queued(), 0)
}

// Guards against settlements that delay or displace weighbridge tickets, and against settlements that make no use of the
// capacity that tickets leave: no ticket fails or is shed, their p99 is at most 1.3 times that without settlements, and
// settlements get at least 90% of the slots that tickets leave free.
func TestReplayDayEnd(t *testing.T) {
	const trace = "baling-day-end.csv"
	w := replay(t, requestsim.Baling(replaySeed), trace, time.Minute)
	calm := replay(t, requestsim.Baling(replaySeed), trace, time.Minute, "batch")
	tickets, calmTickets, settlements := w.Stats[limit.LatencyCritical], calm.Stats[limit.LatencyCritical], w.Stats[limit.Batch]
	// 15 s of 4,000 requests a second, of which tickets take 1,200.
	const free = 15 * (4000 - 1200)
	t.Logf("tickets p99 %.0f ms, without settlements %.0f ms; %d of %d settlements answered, %d shed, %d failed",
		p99(tickets), p99(calmTickets), settlements.OK, settlements.Sent, settlements.Shed, settlements.Failed)
	checkAccounts(t, tickets)
	checkAccounts(t, settlements)
	assert.Equal(t, tickets.Failed+tickets.Shed+tickets.NoRoute, int64(0))
	assert.Assert(t, p99(tickets) <= 1.3*p99(calmTickets))
	assert.Equal(t, settlements.Failed, int64(0))
	assert.Assert(t, settlements.OK >= free*9/10)
}

// Guards against a region that cannot serve on its own when it is cut off, requests that cross a cut for longer than it
// takes to notice, and a cut that is never forgotten. Only requests that were on their way when the cut began may fail, because
// they may have run.
func TestReplayRegionCut(t *testing.T) {
	const cutBegin, cutEnd, end = 10, 20, 60 // seconds
	cfg := requestsim.Manizales(replaySeed)
	w := replay(t, cfg, "manizales-region-cut.csv", 0)
	stats := w.Stats[limit.LatencyCritical]
	var crossed []int64
	for second := 1; second <= end+10; second++ {
		before := stats.Crossed
		w.Run(time.Duration(second) * time.Second)
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

// Guards against a link between regions that carries more than its budget when large requests spill over.
func TestReplayByteBudget(t *testing.T) {
	cfg := requestsim.Manizales(replaySeed)
	cfg.Size = 512 << 10
	w := replay(t, cfg, "manizales-region-cut.csv", 0)
	stats := w.Stats[limit.LatencyCritical]
	const seconds, entries, burst = 30, 3, 1 // each entry VM's bucket holds one second's worth
	w.Run(seconds * time.Second)
	t.Logf("%d requests of %d bytes crossed in %d s", stats.Crossed, cfg.Size, seconds)
	assert.Assert(t, stats.Crossed > 0)
	assert.Assert(t, stats.Crossed*cfg.Size <= entries*(seconds+burst)*cfg.LinkRate)
}

func sum(values []int64) int64 {
	total := int64(0)
	for _, v := range values {
		total += v
	}
	return total
}

// Guards against traces that are read wrongly without a word.
func TestReadTraceRefuses(t *testing.T) {
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
