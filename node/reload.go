package node

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/platform"
)

// settingsCheck is the interval at which the settings file is read to detect changes without a signal.
const settingsCheck = 2 * time.Second

// reloadLoop applies changes of the settings file. Names and addresses do not change while the process runs; the bounds
// do, for cells that are acquired afterwards. An invalid file changes nothing.
func (n *Node) reloadLoop(ctx context.Context) {
	last, err := os.ReadFile(n.settingsFile)
	if err != nil {
		n.log.WithError(err).Warn("could not read the settings file")
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
			n.log.WithError(err).Warn("could not read the settings file; the previous settings stay active")
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
		n.log.WithFields(fields).WithError(err).Error("settings rejected; the previous ones stay active")
		return
	}
	if fresh.ClientAddr != n.settings.ClientAddr || fresh.ReadyAddr != n.settings.ReadyAddr ||
		fresh.StoreAddr != n.settings.StoreAddr || fresh.Node != n.settings.Node {
		n.log.WithFields(fields).Warn("changes of names and addresses need a restart")
	}
	n.bounds.Store(&fresh.Bounds)
	n.applyVMLimits(fresh)
	n.log.WithFields(fields).Info("settings reloaded")
}
