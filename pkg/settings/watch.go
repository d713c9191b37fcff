package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadInterval is how often a settings file is read again without a signal.
const reloadInterval = 2 * time.Second

// Watch reads the file every 2 s, and at once after SIGHUP, and calls changed when its content differs from the last
// one that was read. It returns when ctx ends.
func Watch(ctx context.Context, file string, changed func(), log *logrus.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).Warn("cannot read the settings file")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("reloading the settings after SIGHUP")
		case <-ticker.C:
		}
		content, err := os.ReadFile(file)
		if err != nil {
			log.WithError(err).Warn("cannot read the settings file; the previous settings stay in force")
			continue
		}
		if !bytes.Equal(content, last) {
			last = content
			changed()
		}
	}
}
