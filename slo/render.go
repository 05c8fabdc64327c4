package slo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as plain text for a terminal.
func (r Report) WriteText(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "burn report of %s, counts of %d VMs\n", r.At.Format(time.RFC3339), len(r.VMs))
	if len(r.Unreachable) > 0 {
		fmt.Fprintf(&b, "not reached, counts missing: %s\n", strings.Join(r.Unreachable, ", "))
	}
	for _, s := range r.Services {
		s.writeText(&b)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func (s ServiceReport) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "\n%s: %s\n", s.Service, s.Promise())
	fmt.Fprintf(b, "  %s\n  %s\n", s.Budget(), s.Verdicts())
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  window\tshort\tlong\tthreshold\t")
	for _, burn := range s.Burns {
		_, _ = fmt.Fprintf(table, "  %s\t%.2f\t%.2f\t%.1f\t%s\n", burn.Name, burn.Short, burn.Long, burn.Threshold, burn.State())
	}
	_ = table.Flush()
	writeParts(b, "failure domains", s.WorstDomains)
	writeParts(b, "upstreams", s.WorstUpstreams)
}

func writeParts(b *strings.Builder, what string, parts []Part) {
	if len(parts) == 0 {
		return
	}
	fmt.Fprintf(b, "  worst %s of the last hour:\n", what)
	for _, p := range parts {
		fmt.Fprintf(b, "    %s: %s\n", p.Name, p.Text())
	}
}

// Promise describes the objective in words.
func (s ServiceReport) Promise() string {
	return fmt.Sprintf("%.1f%% of requests good within %v over %s", float64(s.Objective.Permille)/10, s.Objective.Latency,
		days(s.Objective.Window))
}

// Budget describes the remaining error budget in words.
func (s ServiceReport) Budget() string {
	return fmt.Sprintf("error budget left: %.1f%% of that of %d requests in the last %s", 100*s.BudgetLeft, s.Counts.Total(),
		days(s.Covered))
}

// Verdicts lists the numbers of requests by outcome and by verdict.
func (s ServiceReport) Verdicts() string {
	c := s.Counts
	return fmt.Sprintf("good %d, slow %d, bad %d; ran %d, not run %d, may have run %d", c.Good, c.Slow, c.Bad, c.Ran, c.NotRun,
		c.MayHaveRun)
}

// State returns "alert" or "ok".
func (b Burn) State() string {
	if b.Alert {
		return "alert"
	}
	return "ok"
}

// Text describes the part's requests in words.
func (p Part) Text() string {
	return fmt.Sprintf("%.2f%% of %d requests not good (slow %d, bad %d)", 100*p.BadFraction, p.Counts.Total(), p.Counts.Slow,
		p.Counts.Bad)
}

func days(d time.Duration) string {
	const day = 24 * time.Hour
	if d >= day {
		return fmt.Sprintf("%.3g days", float64(d)/float64(day))
	}
	if d < time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(time.Minute).String()
}

// WriteHTML writes the report as a self-contained page with inline plots.
func (r Report) WriteHTML(out io.Writer) error {
	data := page{Report: r}
	for _, s := range r.Services {
		svg, err := burnPlot(s)
		if err != nil {
			return fmt.Errorf("plot of %s: %w", s.Service, err)
		}
		data.Sections = append(data.Sections, section{ServiceReport: s, Plot: svg})
	}
	return pageTemplate.Execute(out, data)
}

type page struct {
	Report
	Sections []section
}

type section struct {
	ServiceReport
	Plot template.HTML
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}td,th{text-align:left;padding:.2em 1em}
.alert{color:#a00;font-weight:bold}svg{max-width:100%;height:auto}</style></head><body>
<h1>Burn report</h1><p>{{.At.Format "2006-01-02 15:04:05Z07:00"}}, counts of {{len .VMs}} VMs.</p>
{{if .Unreachable}}<p class="alert">Not reached, counts missing: {{range $i, $vm := .Unreachable}}{{if $i}}, {{end}}{{$vm}}{{end}}</p>{{end}}
{{range .Sections}}<h2>{{.Service}}</h2><p>{{.Promise}}.</p><p>{{.Budget}}.</p><p>{{.Verdicts}}.</p>
<table><tr><th>window</th><th>short</th><th>long</th><th>threshold</th><th></th></tr>
{{range .Burns}}<tr><td>{{.Name}}</td><td>{{printf "%.2f" .Short}}</td><td>{{printf "%.2f" .Long}}</td><td>{{printf "%.1f" .Threshold}}</td><td class="{{.State}}">{{.State}}</td></tr>
{{end}}</table>
{{.Plot}}
{{if .WorstDomains}}<h3>Worst failure domains of the last hour</h3><ul>{{range .WorstDomains}}<li>{{.Name}}: {{.Text}}</li>{{end}}</ul>{{end}}
{{if .WorstUpstreams}}<h3>Worst upstreams of the last hour</h3><ul>{{range .WorstUpstreams}}<li>{{.Name}}: {{.Text}}</li>{{end}}</ul>{{end}}
{{end}}</body></html>
`))

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// burnPlot draws the burn rate of each minute as an SVG element.
func burnPlot(s ServiceReport) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "burn rate by the minute (1 uses the budget exactly)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	points := make(plotter.XYs, len(s.History))
	for i, point := range s.History {
		points[i] = plotter.XY{X: float64(point.At.Unix()), Y: point.Burn}
	}
	if len(points) > 0 {
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		p.Add(line)
	}
	// Without this, the axis of a plot of zeros would range from -1 to 1.
	p.Y.Min, p.Y.Max = 0, max(p.Y.Max, 1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// Cut off the XML prologue, which is not allowed inside a page.
	_, element, _ := strings.Cut(svg.String(), "<svg")
	// The text of the plot contains no input of callers, so it needs no escaping.
	return template.HTML("<svg" + element), nil
}
