package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/settings"
)

func parse(t *testing.T, sources settings.Sources) *settings.Tree {
	t.Helper()
	tree, err := settings.Parse(sources)
	assert.NilError(t, err)
	return tree
}

// A level overrides only the keys that it sets and does not affect its siblings.
func TestResolveInheritsAllButNamedKeys(t *testing.T) {
	tree := parse(t, settings.Sources{
		"/":      "[service.kioscos]\ntimeout = \"3s\"\nqueue = 9\n[entry]\nbalancer_lag = \"7s\"\n",
		"/a":     "[service.kioscos]\ntimeout = \"4s\"\n",
		"/a/x":   "[entry]\nbalancer_lag = \"1s\"\n",
		"/b":     "[service.belownia]\nqueue = 1\n",
		"/a/x/v": "",
	})
	deep := tree.Resolve("/a/x/v")
	assert.Equal(t, deep.Services["kioscos"].Timeout.D(), 4*time.Second)
	assert.Equal(t, deep.Services["kioscos"].Queue, 9)
	assert.Equal(t, deep.Services["kioscos"].MaxRetries, settings.DefaultService().MaxRetries)
	assert.Equal(t, deep.Entry.BalancerLag.D(), time.Second)
	assert.Equal(t, tree.Resolve("/b/y").Services["kioscos"].Timeout.D(), 3*time.Second)
	assert.Equal(t, len(deep.Services), 1)
	assert.Equal(t, tree.Resolve("/nowhere").Entry.BalancerLag.D(), 7*time.Second)
}

// Invalid settings are rejected with all problems and their correct line numbers, not only the first problem.
func TestParseReportsEveryProblem(t *testing.T) {
	_, err := settings.Parse(settings.Sources{
		"/":  "[entry]\nbalancer_lag = \"3 parsecs\"\nmax_body = 5\n\n[service.kioscos]\nqueue = -1\ntimout = \"1s\"\npolicy = \"best\"\n",
		"/a": "[sched]\nmax_evictions = \"many\"\n",
		"/B": "",
		"/c": "[entry\n",
	})
	want := `settings.toml:2: entry.balancer_lag: "3 parsecs" is no time span; write a number and a unit of ms, s, m or h
settings.toml:3: entry.max_body: is an integer, want a string with a unit
settings.toml:6: service.kioscos.queue: -1 is outside 0 to 100000
settings.toml:7: service.kioscos.timout: unknown key; allowed are concurrency, cross_region, eject_after, eject_time, idempotent_paths, idle_check, max_retries, max_timeout, non_idempotent_all, objective_latency, objective_permille, objective_window_days, policy, queue, retry_floor, retry_percent, timeout
settings.toml:8: service.kioscos.policy: "best" is none of p2c, round-robin, random, least-in-flight
B/settings.toml: "B" is no level name; allowed are lower-case letters, digits and -
a/settings.toml:2: sched.max_evictions: is a string, want integer
c/settings.toml:1: toml: expected ']' to close table name`
	assert.Equal(t, err.Error(), want)
}

// Checks across keys reject leases with which a takeover would stop tasks, and schedules that can never run.
func TestParseChecksKeysTogether(t *testing.T) {
	_, err := settings.Parse(settings.Sources{
		"/":  "[sched]\nworker_lease = \"6s\"\n[schedule.night]\nat = \"26:00\"\nzone = \"co\"\njob = \"j\"\nteam = \"parks\"\n[team.parks]\n",
		"/a": "[service.s]\ntimeout = \"2m\"\n",
	})
	assert.Equal(t, err.Error(), `settings.toml:2: sched.worker_lease: 6s is below cell_lease + 2s = 7s
settings.toml:5: schedule.night.zone: "co" is not in zone.offsets
settings.toml:4: schedule.night.at: "26:00" is no time of day; write HH:MM
a/settings.toml:2: service.s.timeout: 2m0s is above max_timeout = 1m0s`)
}

// An explanation names the level that sets the value, which may be above the requested path.
func TestExplainNamesLevel(t *testing.T) {
	tree := parse(t, settings.Sources{"/": "[service.s]\nqueue = 5\n", "/a": "\n[service.s]\nqueue = 6\n"})
	e, err := tree.Explain("/a/x", "service.s.queue")
	assert.NilError(t, err)
	assert.DeepEqual(t, e, settings.Explanation{Path: "/a/x", Key: "service.s.queue", Value: "6", Level: "/a", File: "a/settings.toml", Line: 3})
	e, err = tree.Explain("/b", "entry.balancer_lag")
	assert.NilError(t, err)
	assert.Equal(t, e.Level, "default")
	_, err = tree.Explain("/", "service.s.nope")
	assert.ErrorContains(t, err, "service.s.nope")
	_, err = tree.Explain("/", "service.s")
	assert.ErrorContains(t, err, "table")
}

// A diff contains added, changed and removed keys, and empty tables.
func TestDiff(t *testing.T) {
	from := parse(t, settings.Sources{"/": "[service.s]\nqueue = 5\ntimeout = \"1s\"\n"})
	to := parse(t, settings.Sources{"/": "[service.s]\nqueue = 6\n", "/a": "[entry]\nmax_body = \"1KiB\"\n"})
	assert.DeepEqual(t, settings.Diff(from, to), []settings.Change{
		{Level: "/", Key: "service.s.queue", Old: "5", New: "6"},
		{Level: "/", Key: "service.s.timeout", Old: `"1s"`},
		{Level: "/a", Key: "entry.max_body", New: `"1KiB"`},
	})
	assert.Equal(t, len(settings.Diff(nil, from)), 2)
	empty := parse(t, settings.Sources{"/": "[service.s]\n"})
	assert.DeepEqual(t, settings.Diff(nil, empty), []settings.Change{{Level: "/", Key: "service.s", New: "{}"}})
	zone := parse(t, settings.Sources{"/": "[[zone.offsets.co]]\noffset = \"-05:00\"\n"})
	assert.Equal(t, settings.Diff(nil, zone)[0].New, `[{ offset = "-05:00" }]`)
}

// The path of a level is the directory of its settings file. Other files are ignored.
func TestReadDir(t *testing.T) {
	root := fstest.MapFS{
		"settings.toml":     {Data: []byte("a")},
		"r/d/settings.toml": {Data: []byte("b")},
		"r/README.md":       {Data: []byte("c")},
	}
	sources, err := settings.ReadDir(root)
	assert.NilError(t, err)
	assert.DeepEqual(t, sources, settings.Sources{"/": "a", "/r/d": "b"})
}

// A bootstrap file with missing or misspelt addresses is rejected with all problems.
func TestParseBootstrapReportsEveryProblem(t *testing.T) {
	_, err := settings.ParseBootstrap("entry.toml", []byte("vm = \"v1\"\nregion = \"r\"\ndomain = \"d\"\ninner_addr = \"localhost:1\"\nport = 3\n[platform]\ntable_url = \"http://127.0.0.1:1\"\n"))
	assert.Equal(t, err.Error(), `entry.toml:5: port: unknown key; allowed are admin_addr, caller_addr, domain, inner_addr, max_fds, memory_mb, platform, poll_addr, region, vm
entry.toml: admin_addr: is missing
entry.toml: platform.objects_url: is missing
entry.toml: platform.vm_list_url: is missing
entry.toml: inner_addr: "localhost:1" is no address; write an IP address and a port, such as 127.0.0.1:7000`)
}

// The parser must not panic on any input.
func FuzzParse(f *testing.F) {
	f.Add("[service.kioscos]\nqueue = 5\n")
	f.Add("[zone]\noffsets.co = [{offset = \"-05:00\"}]\n[entry]\nmax_body=\"1KiB\"")
	f.Add("[[entry]]\n")
	f.Add("service = 4\n[schedule.\"a.b\"]\n")
	f.Fuzz(func(t *testing.T, source string) {
		tree, err := settings.Parse(settings.Sources{"/": source})
		if err == nil {
			tree.Resolve("/")
			settings.Diff(nil, tree)
		}
	})
}

// The reference page in docs must match the settings types.
func TestReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), settings.Reference(), "run: currantctl settings reference > docs/settings.md")
}

// BenchmarkParse measures the work of a daemon for each settings version: parsing the levels of its failure domain and
// resolving its VM's level.
func BenchmarkParse(b *testing.B) {
	var root strings.Builder
	for i := range 62 {
		fmt.Fprintf(&root, "[team.t%d]\ncpu_cores = %d\nmemory = \"8TiB\"\nweight = 2\n", i, 100+i)
	}
	for i := range 20 {
		fmt.Fprintf(&root, "[service.s%d]\ntimeout = \"5s\"\nqueue = %d\n", i, 100+i)
	}
	sources := settings.Sources{"/": root.String(), "/r": "[entry]\n", "/r/d": "[service.s1]\nqueue = 7\n"}
	for i := range 8 {
		sources[fmt.Sprintf("/r/d/e%d", i)] = "[entry]\nbalancer_lag = \"2s\"\n"
	}
	b.ReportAllocs()
	for b.Loop() {
		tree, err := settings.Parse(sources)
		if err != nil {
			b.Fatal(err)
		}
		tree.Resolve("/r/d/e1")
	}
}
