package worker

import (
	"slices"
	"time"

	"github.com/currantthread/currantthread/infra"
)

// maxUnreportedSends bounds how often a command is sent that no report confirms. Repeating it is harmless, and losing
// it costs no guarantee.
const maxUnreportedSends = 2

// Send queues a command until the worker reports its effect. A stop replaces all queued commands for its attempt.
func (h *Holder) Send(id string, cmd infra.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[id]
	if l == nil || l.state == lapsed {
		return
	}
	l.drop(func(c *command) bool {
		return c.Ref == cmd.Ref && (c.Kind == cmd.Kind || cmd.Kind == infra.CommandStop)
	})
	l.commands = append(l.commands, &command{Command: cmd})
	l.touch()
}

// StartsInFlight reports whether a start was sent that the worker has not reported yet. Such a start may still happen
// until the permits handed out have run out.
func (h *Holder) StartsInFlight() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.leases {
		for _, c := range l.commands {
			if c.Kind == infra.CommandStart && c.sends > 0 {
				return true
			}
		}
	}
	return false
}

// stops reports whether a stop waits for its report.
func (l *lease) stops() bool {
	return slices.ContainsFunc(l.commands, func(c *command) bool { return c.Kind == infra.CommandStop && c.sends > 0 })
}

// reported drops the commands that a report confirms.
func (l *lease) reported(r infra.Report) {
	l.drop(func(c *command) bool {
		if c.Ref != r.Ref {
			return false
		}
		if r.State.Ended() || c.Kind == infra.CommandStart {
			return true
		}
		return c.Kind == infra.CommandCheckpoint && r.Checkpoint != ""
	})
}

func (l *lease) drop(matches func(*command) bool) {
	kept := l.commands[:0]
	for _, c := range l.commands {
		if !matches(c) {
			kept = append(kept, c)
		}
	}
	clear(l.commands[len(kept):])
	l.commands = kept
}

func (h *Holder) sendable(l *lease, now time.Time) bool {
	permitted := now.Before(h.cfg.PermitUntil())
	for _, c := range l.commands {
		if c.due(now, permitted) {
			return true
		}
	}
	return false
}

func (c *command) due(now time.Time, startsPermitted bool) bool {
	if c.Kind == infra.CommandStart && !startsPermitted {
		return false
	}
	return c.sends == 0 || now.Sub(c.sentAt) >= resendAfter
}

// collect returns the commands that are due and marks them as sent.
func (h *Holder) collect(l *lease, now time.Time) []infra.Command {
	permitted := now.Before(h.cfg.PermitUntil())
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
	l.drop(func(c *command) bool {
		confirmed := c.Kind == infra.CommandStart || c.Kind == infra.CommandStop
		return !confirmed && c.sends >= maxUnreportedSends
	})
	return out
}
