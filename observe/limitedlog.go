package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// rowLogWindow and rowLogLines bound the lines with one message about unusable rows. Another writer may rewrite its rows
	// many times a second.
	rowLogWindow = time.Minute
	rowLogLines  = 5
)

// rowLog logs unusable rows, at most rowLogLines with one message in each rowLogWindow. It is safe for concurrent use.
type rowLog struct {
	log *logrus.Entry

	mu      sync.Mutex // guards windows
	windows map[string]*rowLogCount
}

// rowLogCount counts the lines with one message since begin.
type rowLogCount struct {
	begin          time.Time
	lines, leftOut int
}

func newRowLog(log *logrus.Entry) *rowLog {
	return &rowLog{log: log, windows: map[string]*rowLogCount{}}
}

// warn logs a message, which must be a constant, unless the current window has all its lines. The first line of a window states
// how many were left out before.
func (l *rowLog) warn(fields logrus.Fields, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	window := l.windows[message]
	if window == nil {
		window = &rowLogCount{begin: now}
		l.windows[message] = window
	}
	if now.Sub(window.begin) >= rowLogWindow {
		window.begin, window.lines = now, 0
	}
	if window.lines == rowLogLines {
		window.leftOut++
		return
	}
	window.lines++
	entry := l.log.WithFields(fields)
	if window.leftOut > 0 {
		entry = entry.WithField("left_out", window.leftOut)
		window.leftOut = 0
	}
	entry.Warn(message)
}
