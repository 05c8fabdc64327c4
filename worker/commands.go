package worker

import (
	"slices"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// maxUnreportedSends is how often a command is sent if no report confirms its kind. Repeating such a command is harmless,
// and losing it breaks no guarantee.
const maxUnreportedSends = 2

// Send queues a command and repeats it until the worker reports its effect. A stop replaces all queued commands for the
// same attempt.
func (m *LeaseManager) Send(id string, cmd infra.Command) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil || l.state == expired {
		return
	}
	l.dropCommands(func(c *command) bool {
		return c.Ref == cmd.Ref && (c.Kind == cmd.Kind || cmd.Kind == infra.CommandStop)
	})
	l.commands = append(l.commands, &command{Command: cmd})
	l.signalChange()
}

// StartsInFlight reports whether a start command was sent that its worker has not reported yet. The worker may still
// execute it until its start permit expires.
func (m *LeaseManager) StartsInFlight() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.leases {
		for _, c := range l.commands {
			if c.Kind == infra.CommandStart && c.sends > 0 {
				return true
			}
		}
	}
	return false
}

// stopInFlight reports whether a stop command was sent that the worker has not reported yet.
func (l *lease) stopInFlight() bool {
	return slices.ContainsFunc(l.commands, func(c *command) bool { return c.Kind == infra.CommandStop && c.sends > 0 })
}

// dropConfirmed removes the commands that a report confirms.
func (l *lease) dropConfirmed(r infra.Report) {
	l.dropCommands(func(c *command) bool {
		if c.Ref != r.Ref {
			return false
		}
		if r.State.Ended() || c.Kind == infra.CommandStart {
			return true
		}
		return c.Kind == infra.CommandCheckpoint && r.Checkpoint != ""
	})
}

func (l *lease) dropCommands(matches func(*command) bool) {
	kept := l.commands[:0]
	for _, c := range l.commands {
		if !matches(c) {
			kept = append(kept, c)
		}
	}
	clear(l.commands[len(kept):])
	l.commands = kept
}

// hasDueCommand reports whether a command for the worker can be sent now.
func (m *LeaseManager) hasDueCommand(l *lease, now time.Time) bool {
	permitted := now.Before(m.cfg.PermitUntil())
	for _, c := range l.commands {
		if c.due(now, permitted) {
			return true
		}
	}
	return false
}

// due reports whether the command is unsent or due to be sent again. Starts also need a start permit.
func (c *command) due(now time.Time, startsPermitted bool) bool {
	if c.Kind == infra.CommandStart && !startsPermitted {
		return false
	}
	return c.sends == 0 || now.Sub(c.sentAt) >= resendAfter
}

// collectDue returns at most maxCommands commands that are due and marks them as sent.
func (m *LeaseManager) collectDue(l *lease, now time.Time) []infra.Command {
	permitted := now.Before(m.cfg.PermitUntil())
	var out []infra.Command
	for _, c := range l.commands {
		if len(out) == maxCommands {
			break
		}
		if !c.due(now, permitted) {
			continue
		}
		c.sentAt = now
		c.sends++
		out = append(out, c.Command)
	}
	l.dropCommands(func(c *command) bool {
		confirmed := c.Kind == infra.CommandStart || c.Kind == infra.CommandStop
		return !confirmed && c.sends >= maxUnreportedSends
	})
	return out
}
