package main

import (
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strconv"
	"time"
)

// Figures in virtual time are measured by tests, which also guard them in CI. A figure runs its test again and reads the
// value that the test logs.
func init() {
	register(fromTest("F5", "table writes per start at 1,400 starts/s", "./cell", "TestWritesPerStart",
		value{"writes per start", `([0-9.]+) writes per start`, number, 0.1}))
	register(fromTest("F6", "takeover and handover of a cell (virtual time)", "./cell", "TestTakeoverAfterKill|TestHandover",
		value{"s from a kill to the next start", `takeover to the first start took (\S+)`, seconds, 6},
		value{"s of a planned handover", `handover to the first start took at most (\S+)`, seconds, 0.2}))
	register(fromTest("F7", "last start after a domain is taken out (virtual time)", "./cell", "TestLastStartAfterOut",
		value{"s to the last start, worst case", `last of \d+ starts (\S+) after out`, seconds, 3}))
	register(fromTest("F8", "a setting in force on 22 domains, 5% message loss (virtual time)", "./control", "TestVersionReachesEveryDaemon",
		value{"s until in force everywhere, worst of 20", `worst distribution time over 20 versions: (\S+)`, seconds, 8}))
}

// value is one number that a test logs. The largest of all lines that match counts.
type value struct {
	what, pattern string
	parse         func(string) (float64, error)
	limit         float64
}

func number(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func seconds(text string) (float64, error) {
	d, err := time.ParseDuration(text)
	return d.Seconds(), err
}

func fromTest(id, name, pkg, test string, values ...value) figure {
	return figure{ID: id, Name: name, Run: func(out io.Writer) ([]bound, error) {
		log, err := exec.Command("go", "test", "-count=1", "-v", "-run", "^("+test+")$", pkg).CombinedOutput()
		if err != nil {
			return nil, fmt.Errorf("%s: %w: %s", test, err, log)
		}
		var bounds []bound
		for _, v := range values {
			worst, err := v.worst(log)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", test, err)
			}
			bounds = append(bounds, bound{What: v.what, Measured: worst, Limit: v.limit})
		}
		return bounds, nil
	}}
}

func (v value) worst(log []byte) (float64, error) {
	matches := regexp.MustCompile(v.pattern).FindAllSubmatch(log, -1)
	if matches == nil {
		return 0, fmt.Errorf("no line of the log matches %q", v.pattern)
	}
	worst := 0.0
	for _, match := range matches {
		parsed, err := v.parse(string(match[1]))
		if err != nil {
			return 0, err
		}
		worst = max(worst, parsed)
	}
	return worst, nil
}
