package observe

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// requestLogLines and requestLogWindow bound the lines with one message about clients' requests.
	requestLogLines  = 10
	requestLogWindow = 10 * time.Second
)

// LimitedLog logs events that another program can cause as often as it likes: at most a number of lines with one message in each window. It is
// safe for concurrent use.
type LimitedLog struct {
	log    *logrus.Entry
	lines  int
	window time.Duration

	mu       sync.Mutex // guards messages
	messages map[string]*limitedMessage
}

// limitedMessage counts the lines with one message since begin.
type limitedMessage struct {
	begin          time.Time
	lines, leftOut int
}

// NewLimitedLog returns a log with the given number of lines for each message and window.
func NewLimitedLog(log *logrus.Entry, lines int, window time.Duration) *LimitedLog {
	return &LimitedLog{log: log, lines: lines, window: window, messages: map[string]*limitedMessage{}}
}

// NewRequestLog returns a log of what clients' requests cause.
func NewRequestLog(log *logrus.Entry) *LimitedLog {
	return NewLimitedLog(log, requestLogLines, requestLogWindow)
}

// Warn logs a warning; see Log.
func (l *LimitedLog) Warn(fields logrus.Fields, message string) {
	l.Log(logrus.WarnLevel, fields, message)
}

// Info logs an informational line; see Log.
func (l *LimitedLog) Info(fields logrus.Fields, message string) {
	l.Log(logrus.InfoLevel, fields, message)
}

// Log logs a message, which must be a constant, unless the current window has all its lines. The first line of a window states how many were
// left out before.
func (l *LimitedLog) Log(level logrus.Level, fields logrus.Fields, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	m := l.messages[message]
	if m == nil {
		m = &limitedMessage{begin: now}
		l.messages[message] = m
	}
	if now.Sub(m.begin) >= l.window {
		m.begin, m.lines = now, 0
	}
	if m.lines == l.lines {
		m.leftOut++
		return
	}
	m.lines++
	entry := l.log.WithFields(fields)
	if m.leftOut > 0 {
		entry = entry.WithField("left_out", m.leftOut)
		m.leftOut = 0
	}
	entry.Log(level, message)
}
