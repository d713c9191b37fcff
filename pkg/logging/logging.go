// Package logging writes JSON log lines from which callers' keys are removed.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes entries of the given level and above to w as JSON lines. isKey reports whether a
// word is a declared key; such words are replaced by RedactedText. isKey may be nil.
func New(w io.Writer, level string, isKey func(word string) bool) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&redactor{formatter: &logrus.JSONFormatter{}, isKey: isKey})
	return log, nil
}
