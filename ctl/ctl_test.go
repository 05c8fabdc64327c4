package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/ctl"
	"github.com/currantthread/currantthread/settings"
)

func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = ctl.Run(t.Context(), append([]string{"currantctl"}, args...), &out, &errOut, "test")
	return code, out.String(), errOut.String()
}

// Invalid input fails with exit code 2 and exactly one error message.
func TestWrongUsage(t *testing.T) {
	bad := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(bad, "settings.toml"), []byte("[entry]\nfoo = 1\nmax_body = \"1\"\n"), 0o600))
	cases := map[string][]string{
		"unknown command":            {"nope"},
		"unknown command of group":   {"settings", "nope"},
		"unknown flag":               {"cell", "list", "--nope"},
		"missing argument":           {"settings", "explain", "/"},
		"superfluous argument":       {"cell", "list", "x"},
		"bad output":                 {"-o", "xml", "cell", "list"},
		"missing flag":               {"job", "submit", "--name", "x"},
		"settings not accepted":      {"settings", "check", bad},
		"directory without settings": {"settings", "check", t.TempDir()},
	}
	for name, args := range cases {
		t.Run(name, func(t *testing.T) {
			code, _, stderr := run(t, args...)
			assert.Equal(t, code, ctl.ExitUsage, stderr)
			assert.Equal(t, strings.Count(stderr, "currantctl: "), 1, stderr)
		})
	}
	_, _, stderr := run(t, "settings", "check", bad)
	assert.Equal(t, stderr, "currantctl: settings.toml:2: entry.foo: unknown key; allowed are balancer_lag, claim_expiry, claim_spacing, "+
		"inter_region_rate, inter_region_share, max_body, max_header, replay_body, shutdown_grace, vm_list_interval\n"+
		"settings.toml:3: entry.max_body: \"1\" is no size; write a whole number and a unit of PiB, TiB, GiB, MiB, KiB, B\n")
}

// The client tries the next address if it cannot connect, but must not repeat a command after a connection that was
// accepted, because the command may have been executed.
func TestClientFailsOverOnlyBeforeSending(t *testing.T) {
	calls := 0
	answering := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		_ = json.NewEncoder(w).Encode([]control.Cell{{Cell: "chipre-0", Owner: "e1"}})
	}))
	defer answering.Close()
	hangingUp := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer hangingUp.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

	code, stdout, stderr := run(t, "--api", addr(closed), "--api", addr(answering), "cell", "list")
	assert.Equal(t, code, ctl.ExitDone, stderr)
	assert.Assert(t, strings.Contains(stdout, "chipre-0"), stdout)
	code, _, _ = run(t, "--api", addr(hangingUp), "--api", addr(answering), "cell", "list")
	assert.Equal(t, code, ctl.ExitFailed)
	assert.Equal(t, calls, 1)
}

// A rejected apply shows the keys in conflict with their active and new values.
func TestApplyShowsConflict(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(control.TreeResponse{Head: control.Head{Version: 2}, Levels: settings.Sources{}})
			return
		}
		w.WriteHeader(http.StatusConflict)
		change := settings.Change{Level: "/", Key: "service.s.queue", Old: "2", New: "3"}
		stale := &control.StaleParentError{Parent: 1, Current: 2, Conflicts: []settings.Change{change}}
		_ = json.NewEncoder(w).Encode(control.APIError{Code: "conflict", Message: "stale", Stale: stale})
	}))
	defer server.Close()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "settings.toml"), []byte("[service.s]\nqueue = 3\n"), 0o600))
	code, stdout, stderr := run(t, "--api", strings.TrimPrefix(server.URL, "http://"), "settings", "apply", "--parent", "1", dir)
	assert.Equal(t, code, ctl.ExitFailed)
	assert.Assert(t, strings.Contains(stdout, "service.s.queue"), stdout)
	assert.Equal(t, stderr, "currantctl: version 1 is not current any more; version 2 is; fetch it, merge and apply again\n"+
		"  / service.s.queue: in force 2, yours 3\n")
}

// The example settings trees are valid.
func TestExamplesAreAccepted(t *testing.T) {
	for _, deployment := range []string{"manizales", "baling"} {
		code, _, stderr := run(t, "settings", "check", filepath.Join("..", "examples", deployment))
		assert.Equal(t, code, ctl.ExitDone, stderr)
	}
}
