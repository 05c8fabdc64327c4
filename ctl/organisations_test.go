package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/catalog"
	"github.com/currantthread/currantthread/dispatch"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/workload"
)

// The sums over all nodes and each cell must be shown, with a dash for what no node reports, also if a node does not respond.
func TestOrganisations(t *testing.T) {
	serve := func(text string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	first := serve(`# TYPE currantthread_organisation_held gauge
currantthread_organisation_held{organisation="acme",cell="c10",resource="cpu"} 4000
currantthread_organisation_limit{organisation="acme",cell="c10",resource="cpu"} 5000
currantthread_organisation_waiting_tasks{organisation="acme",cell="c10",reason="cap"} 2
currantthread_organisation_share{organisation="acme",cell="c10"} 0.25
currantthread_organisation_cap{organisation="acme",resource="cpu"} 9000
# TYPE currantthread_organisation_refused_total counter
currantthread_organisation_refused_total{organisation="acme",reason="share"} 3
go_goroutines 7
`)
	second := serve(`currantthread_organisation_held{organisation="acme",cell="c2",resource="cpu"} 1000
currantthread_organisation_cap{organisation="acme",resource="cpu"} 9000
currantthread_organisation_waiting_tasks{organisation="acme",cell="c2",reason="share"} 0
currantthread_organisation_waiting_tasks{organisation="none",cell="c2",reason="capacity"} 5
currantthread_organisation_refused_total{organisation="acme",reason="share"} 4
`)
	down := httptest.NewServer(http.NotFoundHandler())
	defer down.Close()
	args := []string{"currantctl", "organisations", "--node", first, "--node", second, "--node", strings.TrimPrefix(down.URL, "http://")}
	var out, errs bytes.Buffer
	assert.Equal(t, Run(t.Context(), append(args, "--cells"), &out, &errs, "test"), ExitDone, "%s", errs.String())
	var rows [][]string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n")[1:] {
		rows = append(rows, strings.Fields(line))
	}
	assert.DeepEqual(t, rows, [][]string{
		{"acme", "all", "cpu=5000", "cpu=5000", "cpu=9000", "-", "cap=2", "share=7"},
		{"acme", "c2", "cpu=1000", "-", "-", "-", "0", "-"},
		{"acme", "c10", "cpu=4000", "cpu=5000", "-", "0.25", "cap=2", "-"},
		{"none", "all", "-", "-", "-", "-", "capacity=5", "-"},
		{"none", "c2", "-", "-", "-", "-", "capacity=5", "-"},
	})
	assert.Assert(t, strings.Contains(errs.String(), "status 404"), errs.String())

	out.Reset()
	args = append([]string{"currantctl", "--output", "json"}, args[1:]...)
	assert.Equal(t, Run(t.Context(), args, &out, &errs, "test"), ExitDone)
	var views []organisationView
	assert.NilError(t, json.Unmarshal(out.Bytes(), &views))
	assert.Equal(t, len(views), 2)
	assert.Equal(t, views[0].Refused["share"], 7.0)

	code := Run(t.Context(), []string{"currantctl", "organisations", "--node", strings.TrimPrefix(down.URL, "http://")}, &out, &errs, "test")
	assert.Equal(t, code, ExitFailed)
}

// The names of the metrics are agreed between packages that don't share them.
func TestOrganisationsReadTheMetricsOfNodes(t *testing.T) {
	registry := prometheus.NewRegistry()
	metrics := dispatch.NewMetrics(registry)
	metrics.CountRefused("acme", dispatch.RefusedForShare)
	var config catalog.Config
	assert.NilError(t, config.AddOrganisation(catalog.Organisation{Name: "acme", Weight: 2, Cap: workload.Resources{CPU: 9000}}, nil))
	metrics.SetOrganisations(&config)
	server := httptest.NewServer(observe.NewAdmin(registry, &observe.Health{}))
	defer server.Close()
	views, problems := readOrganisations(t.Context(), []string{strings.TrimPrefix(server.URL, "http://")})
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, len(views), 1)
	assert.Equal(t, views[0].Refused[dispatch.RefusedForShare], 1.0)
	assert.DeepEqual(t, views[0].Cap, map[string]float64{"cpu": 9000})
}
