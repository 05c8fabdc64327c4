package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/entry"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/settings"
)

func init() {
	register(measurement{ID: "F1", Name: "entry overhead over loopback", Run: runF1})
}

const (
	f1Rate    = 2000 // requests per second
	f1Rounds  = 7
	f1Round   = time.Second
	f1Warmup  = 300 * time.Millisecond
	f1MaxP50  = 150  // microseconds more than a direct call
	f1MaxP99  = 1000 // microseconds more than a direct call
	f1Service = "f1"
	f1Timeout = 5 * time.Second
	// f1MaxIdleConns is the number of idle connections that the load generator keeps.
	f1MaxIdleConns = 256
)

// f1VMList is the VM list of one upstream.
type f1VMList struct{ addr string }

// List implements infra.VMList.
func (v f1VMList) List(context.Context) ([]infra.VM, error) {
	return []infra.VM{{ID: "u1", Role: infra.RoleUpstream, State: infra.VMLive, Region: "r", Domain: "d", Addr: v.addr, Service: f1Service}}, nil
}

// runF1 sends the same load to an upstream directly and through an entry server. The two alternate, so that a change of
// the machine's load affects both. Load generator, entry server and upstream share this process.
func runF1(out io.Writer) ([]bound, error) {
	entry.TuneGC(0)
	upstreamAddr, closeUpstream, err := f1Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	}))
	if err != nil {
		return nil, err
	}
	defer closeUpstream()
	entryAddr, closeEntry, err := f1Entry(upstreamAddr)
	if err != nil {
		return nil, err
	}
	defer closeEntry()
	direct, through := "http://"+upstreamAddr+"/x", "http://"+entryAddr+"/svc/"+f1Service+"/x"
	for _, url := range []string{direct, through} {
		if _, err := f1Load(url, f1Warmup); err != nil {
			return nil, err
		}
	}
	var extraP50, extraP99, direct50, direct99 []float64
	for range f1Rounds {
		directLatency, err := f1Load(direct, f1Round)
		if err != nil {
			return nil, err
		}
		throughLatency, err := f1Load(through, f1Round)
		if err != nil {
			return nil, err
		}
		direct50, direct99 = append(direct50, f1Micros(directLatency, 50)), append(direct99, f1Micros(directLatency, 99))
		extraP50 = append(extraP50, f1Micros(throughLatency, 50)-f1Micros(directLatency, 50))
		extraP99 = append(extraP99, f1Micros(throughLatency, 99)-f1Micros(directLatency, 99))
	}
	_, _ = fmt.Fprintf(out, "µs more at p50 by round: %.0f, at p99: %.0f\n", extraP50, extraP99)
	return []bound{
		{What: "µs more at p50", Measured: median(extraP50), Limit: f1MaxP50, Baseline: fmt.Sprintf("direct call %.0f", median(direct50))},
		{What: "µs more at p99", Measured: median(extraP99), Limit: f1MaxP99, Baseline: fmt.Sprintf("direct call %.0f", median(direct99))},
	}, nil
}

func f1Micros(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Microsecond)
}

func f1Serve(handler http.Handler) (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: f1Timeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

func f1Entry(upstreamAddr string) (addr string, stop func(), err error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	effective := settings.Defaults()
	activeSettings := func() settings.Effective { return effective }
	s := entry.New(entry.Config{
		VM: "e1", Region: "r", Domain: "d", Settings: activeSettings, Table: standin.NewTable(), VMs: f1VMList{upstreamAddr},
		Log: logrus.NewEntry(logger), Registry: prometheus.NewRegistry(), Seed: 1,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	for !s.HasVMList() {
		time.Sleep(time.Millisecond)
	}
	server := entry.NewCallerServer(s)
	go func() { _ = server.Serve(s.CallerListener(listener)) }()
	return listener.Addr().String(), func() {
		_ = server.Close()
		cancel()
	}, nil
}

// f1Load sends requests at a fixed rate without waiting for earlier responses, and returns their latencies.
func f1Load(url string, d time.Duration) (*hdrhistogram.Histogram, error) {
	client := &http.Client{Timeout: f1Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: f1MaxIdleConns}}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(f1Timeout), 3)
	var mu sync.Mutex // guards histogram and failed
	var failed error
	var group sync.WaitGroup
	begin := time.Now()
	for i := range int(d.Seconds() * f1Rate) {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / f1Rate)))
		group.Go(func() {
			sent := time.Now()
			err := f1Get(client, url)
			latency := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = histogram.RecordValue(int64(latency))
			}
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	return histogram, failed
}

func f1Get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d from %s", resp.StatusCode, url)
	}
	return nil
}
