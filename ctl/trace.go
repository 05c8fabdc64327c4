package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// traceContext is the time before the first and after the last line of a request for which the lines about its runners
	// and cells are shown.
	traceContext = 5 * time.Second
	// maxLogLine is the longest accepted log line in bytes.
	maxLogLine = 1 << 20
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "join the log lines of one request from the logs of all nodes", ArgsUsage: "REQUEST-ID [FILE...]",
		Description: "Reads JSON log lines from the files, or from standard input, and prints those of the request and those\n" +
			"about the runners and the cell that it met, in order of time. It asks no node and costs a deployment nothing.",
		OnUsageError: onUsageError, Action: trace,
	}
}

// logLine is one structured line from the log of a node.
type logLine struct {
	time   time.Time
	fields map[string]any
}

// text returns the value of a string field.
func (l logLine) text(key string) string {
	value, _ := l.fields[key].(string) // "" if the field is missing or not a string
	return value
}

// request returns the ID of the request that the line is about, or "". A task's ID starts with the ID of its request.
func (l logLine) request() string {
	if id := l.text("request"); id != "" {
		return id
	}
	id, _, _ := strings.Cut(l.text("task"), ".")
	return id
}

func trace(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() < 1 {
		return usagef("%s takes REQUEST-ID and files", cmd.FullName())
	}
	var lines []logLine
	files := cmd.Args().Tail()
	if len(files) == 0 {
		lines = readLog(os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		lines = append(lines, readLog(file)...)
		if err := file.Close(); err != nil {
			return err
		}
	}
	found := traceLines(lines, cmd.Args().First())
	if len(found) == 0 {
		return fmt.Errorf("no line is about request %s", cmd.Args().First())
	}
	for _, l := range found {
		if err := l.print(cmd.Root().Writer); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the lines that contain a JSON object with a time, which other text may precede. It skips other lines.
func readLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l.fields) != nil {
			continue
		}
		var err error
		if l.time, err = time.Parse(time.RFC3339Nano, l.text("time")); err != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines
}

// traceLines returns the lines about a request and the lines from around that time about the runners and cells that it
// involved, in order of time.
func traceLines(lines []logLine, id string) []logLine {
	var first, last time.Time
	runners, cells := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.request() != id {
			continue
		}
		if first.IsZero() || l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
		runners[l.text("runner")], cells[l.text("cell")] = true, true
		for _, id := range strings.Fields(l.text("unresolved_runners")) {
			runners[id] = true
		}
	}
	if first.IsZero() {
		return nil
	}
	delete(runners, "")
	delete(cells, "")
	from, to := first.Add(-traceContext), last.Add(traceContext)
	var found []logLine
	for _, l := range lines {
		near := l.time.After(from) && l.time.Before(to)
		context := l.request() == "" && (runners[l.text("runner")] || cells[l.text("cell")])
		if l.request() == id || near && context {
			found = append(found, l)
		}
	}
	sort.SliceStable(found, func(a, b int) bool { return found[a].time.Before(found[b].time) })
	return found
}

// print writes the time, node and message of the line, and its other fields sorted by name.
func (l logLine) print(w io.Writer) error {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "vm", "msg", "level", "daemon":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		value := l.fields[name]
		if number, ok := value.(float64); ok {
			value = strconv.FormatFloat(number, 'f', -1, 64)
		}
		parts[i] = fmt.Sprintf("%s=%v", name, value)
	}
	_, err := fmt.Fprintf(w, "%s %s %s: %s\n", l.time.Format("15:04:05.000"), l.text("vm"), l.text("msg"), strings.Join(parts, " "))
	return err
}
