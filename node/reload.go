package node

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/platform"
)

// settingsCheck is how often the settings file is read to see whether it changed without a signal.
const settingsCheck = 2 * time.Second

// reloadLoop puts a changed settings file in force. What a process binds or is named by does not change while it runs;
// the bounds do, for cells that are acquired afterwards. A file that is not accepted leaves everything as it is.
func (n *Node) reloadLoop(ctx context.Context) {
	last, err := os.ReadFile(n.settingsFile)
	if err != nil {
		n.log.WithError(err).Warn("settings file can't be read")
	}
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case _, signalled = <-n.reload:
		}
		source, err := os.ReadFile(n.settingsFile)
		if err != nil {
			n.log.WithError(err).Warn("settings file can't be read; the earlier settings stay in force")
			continue
		}
		if bytes.Equal(source, last) {
			if signalled {
				n.log.Info("settings file is unchanged")
			}
			continue
		}
		last = source
		n.applySettings(source, signalled)
	}
}

func (n *Node) applySettings(source []byte, signalled bool) {
	fields := logrus.Fields{"file": n.settingsFile, "signalled": signalled}
	fresh, err := platform.ParseSettings(n.settingsFile, source)
	if err != nil {
		n.log.WithFields(fields).WithError(err).Error("settings were not accepted; the earlier ones stay in force")
		return
	}
	if fresh.ClientAddr != n.settings.ClientAddr || fresh.ReadyAddr != n.settings.ReadyAddr ||
		fresh.StoreAddr != n.settings.StoreAddr || fresh.Node != n.settings.Node {
		n.log.WithFields(fields).Warn("names and addresses change only with a restart")
	}
	n.bounds.Store(&fresh.Bounds)
	n.log.WithFields(fields).Info("settings reloaded")
}
