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

// watchInterval is how often a settings file is read again for changes without a signal.
const watchInterval = 2 * time.Second

// Watch calls changed when the content of the file differs from the last one, after SIGHUP at once, until ctx ends.
func Watch(ctx context.Context, file string, changed func(), log *logrus.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(watchInterval)
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
