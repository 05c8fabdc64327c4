package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/urfave/cli/v3"
)

const (
	// metricsTimeout bounds the request for the metrics of one node.
	metricsTimeout = 5 * time.Second
	// maxMetricsBytes bounds what is read of the metrics of one node.
	maxMetricsBytes = 32 << 20
	// organisationPrefix begins the names of the metrics by organisation.
	organisationPrefix = "currantthread_organisation_"
	// allCells stands for the sum over the cells.
	allCells = "all"
	// missing is shown for a value that no node has.
	missing = "-"
)

// organisationView is what the nodes' metrics say of an organisation, in one cell or in all. Maps are by the resource or the reason; nil
// if no node has the metric.
type organisationView struct {
	Organisation string `json:"organisation"`
	// Cell is "all" for the sum over the cells.
	Cell string `json:"cell"`
	// Held is what the runs hold, Granted the part of the cap that the cells have, and Cap the cap over all cells.
	Held    map[string]float64 `json:"held,omitempty"`
	Granted map[string]float64 `json:"granted,omitempty"`
	Cap     map[string]float64 `json:"cap,omitempty"`
	// Share is the largest share of a resource of the cell that the runs hold.
	Share   *float64           `json:"share,omitempty"`
	Waiting map[string]float64 `json:"waiting,omitempty"`
	Refused map[string]float64 `json:"refused,omitempty"`
}

func organisationsCommand() *cli.Command {
	c := command("organisations", "show what each organisation holds, waits for and is refused", nil, []cli.Flag{
		&cli.StringSliceFlag{Name: "node", Required: true, Sources: cli.EnvVars("CURRANTCTL_NODES"),
			Usage: "metrics `ADDRESS` of a node; may be given several times"},
		&cli.BoolFlag{Name: "cells", Usage: "show each cell besides the sums"},
	}, showOrganisations)
	c.Description = "Reads the metrics of the given nodes, which costs each one request. Give all nodes: each has only the cells that it owns,\n" +
		"and counts only the jobs that it has refused since its start. HELD, GRANTED and CAP are processors in thousandths of a\n" +
		"core, memory in MB and accelerators. WAITING are tasks that have waited for 2 s, by reason: cap (the organisation\n" +
		"holds what it is granted), share (others that hold less of their shares go first), capacity (no runner has place)\n" +
		"and other. A dash stands for what no node reports."
	return c
}

func showOrganisations(ctx context.Context, cmd *cli.Command) error {
	views, problems := readOrganisations(ctx, cmd.StringSlice("node"))
	for _, problem := range problems {
		if _, err := fmt.Fprintf(cmd.Root().ErrWriter, "currantctl: %s\n", problem); err != nil {
			return errors.Trace(err)
		}
	}
	if len(problems) == len(cmd.StringSlice("node")) {
		return errors.New("no node responded with its metrics")
	}
	if !cmd.Bool("cells") {
		views = slices.DeleteFunc(views, func(v *organisationView) bool { return v.Cell != allCells })
	}
	header := []string{"ORGANISATION", "CELL", "HELD", "GRANTED", "CAP", "SHARE", "WAITING", "REFUSED"}
	return show(cmd, views, header, func(views []*organisationView) [][]string {
		rows := make([][]string, len(views))
		for i, v := range views {
			share := missing
			if v.Share != nil {
				share = strconv.FormatFloat(*v.Share, 'f', 2, 64)
			}
			rows[i] = []string{v.Organisation, v.Cell, amountsText(v.Held), amountsText(v.Granted), amountsText(v.Cap), share,
				countsText(v.Waiting), countsText(v.Refused)}
		}
		return rows
	})
}

// amountsText lists amounts by resource.
func amountsText(amounts map[string]float64) string { return namedValues(amounts, true) }

// countsText lists the counts that are not 0 by reason.
func countsText(counts map[string]float64) string {
	if len(counts) == 0 {
		return missing
	}
	return cmp.Or(namedValues(counts, false), "0")
}

func namedValues(values map[string]float64, zeros bool) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if value := values[name]; zeros || value != 0 {
			parts = append(parts, name+"="+strconv.FormatFloat(value, 'f', -1, 64))
		}
	}
	if len(parts) == 0 && zeros {
		return missing
	}
	return strings.Join(parts, " ")
}

// organisationViews collects samples of the nodes' metrics.
type organisationViews struct {
	mu    sync.Mutex // guards views
	views map[[2]string]*organisationView
}

// readOrganisations returns the views of all organisations by name, the sum over the cells before the cells, and the problems of nodes that did
// not respond.
func readOrganisations(ctx context.Context, nodes []string) ([]*organisationView, []error) {
	all := &organisationViews{views: map[[2]string]*organisationView{}}
	results := make([]error, len(nodes))
	var group sync.WaitGroup
	for i, node := range nodes {
		group.Go(func() { results[i] = errors.Annotatef(all.read(ctx, node), "metrics of %s", node) })
	}
	group.Wait()
	views := slices.Collect(maps.Values(all.views))
	slices.SortFunc(views, func(a, b *organisationView) int {
		return cmp.Or(strings.Compare(a.Organisation, b.Organisation), compareCells(a.Cell, b.Cell))
	})
	return views, slices.DeleteFunc(results, func(err error) bool { return err == nil })
}

// compareCells orders the sum before the cells, and cells by their numbers: c2 comes before c10.
func compareCells(a, b string) int {
	switch {
	case a == b:
		return 0
	case a == allCells:
		return -1
	case b == allCells:
		return 1
	}
	return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b))
}

// read adds the metrics of a node.
func (o *organisationViews) read(ctx context.Context, node string) error {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: node, Path: "/metrics"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, family := range families {
		metric, ok := strings.CutPrefix(name, organisationPrefix)
		if !ok {
			continue
		}
		for _, sample := range family.GetMetric() {
			labels := map[string]string{}
			for _, label := range sample.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			o.add(metric, labels, sample.GetGauge().GetValue()+sample.GetCounter().GetValue()+sample.GetUntyped().GetValue())
		}
	}
	return nil
}

// add adds a sample of a metric to the view of its cell and to the sum. The caller holds mu.
func (o *organisationViews) add(metric string, labels map[string]string, value float64) {
	organisation := labels["organisation"]
	if organisation == "" {
		return
	}
	o.view(organisation, allCells).add(metric, labels, value)
	if cell := labels["cell"]; cell != "" {
		o.view(organisation, cell).add(metric, labels, value)
	}
}

func (o *organisationViews) view(organisation, cell string) *organisationView {
	key := [2]string{organisation, cell}
	if o.views[key] == nil {
		o.views[key] = &organisationView{Organisation: organisation, Cell: cell}
	}
	return o.views[key]
}

func (v *organisationView) add(metric string, labels map[string]string, value float64) {
	switch metric {
	case "held":
		addTo(&v.Held, labels["resource"], value)
	case "limit":
		addTo(&v.Granted, labels["resource"], value)
	case "cap":
		// Each node reports the cap of its configuration, and the highest one counts.
		if v.Cap == nil {
			v.Cap = map[string]float64{}
		}
		v.Cap[labels["resource"]] = max(v.Cap[labels["resource"]], value)
	case "share":
		// Cells have different sizes, so shares can't be added up.
		if v.Cell != allCells {
			v.Share = &value
		}
	case "waiting_tasks":
		addTo(&v.Waiting, labels["reason"], value)
	case "refused_total":
		addTo(&v.Refused, labels["reason"], value)
	}
}

func addTo(values *map[string]float64, name string, value float64) {
	if *values == nil {
		*values = map[string]float64{}
	}
	(*values)[name] += value
}
