package main

import (
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strconv"
	"time"
)

// Some measurements in virtual time are taken by tests, which CI runs as well. Such a measurement runs its tests and
// parses the values from their log.
func init() {
	register(fromTest("F5", "table writes per start at 1,400 starts/s", "./cell", "TestWritesPerStart",
		loggedValue{"writes per start", `([0-9.]+) writes per start`, parseNumber, 0.1}))
	register(fromTest("F6", "takeover and handover of a cell (virtual time)", "./cell", "TestTakeoverAfterKill|TestHandover",
		loggedValue{"s from a kill to the next start", `takeover to the first start took (\S+)`, parseSeconds, 6},
		loggedValue{"s of a planned handover", `handover to the first start took at most (\S+)`, parseSeconds, 0.2}))
	register(fromTest("F7", "last start after a domain is taken out (virtual time)", "./cell", "TestLastStartAfterOut",
		loggedValue{"s to the last start, worst case", `last of \d+ starts (\S+) after out`, parseSeconds, 3}))
	register(fromTest("F8", "a setting in force on 22 domains, 5% message loss (virtual time)", "./control", "TestVersionReachesEveryDaemon",
		loggedValue{"s until in force everywhere, worst of 20", `worst distribution time over 20 versions: (\S+)`, parseSeconds, 8}))
}

// loggedValue describes a number that a test logs. If several lines match the pattern, the largest number counts.
type loggedValue struct {
	what, pattern string
	parse         func(string) (float64, error)
	limit         float64
}

func parseNumber(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func parseSeconds(text string) (float64, error) {
	d, err := time.ParseDuration(text)
	return d.Seconds(), err
}

// fromTest returns a measurement that runs the tests matching a pattern in a package and extracts values from their log.
func fromTest(id, name, pkg, test string, values ...loggedValue) measurement {
	return measurement{ID: id, Name: name, Run: func(out io.Writer) ([]bound, error) {
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

func (v loggedValue) worst(log []byte) (float64, error) {
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
