package operatorcli

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/pkg/explain"
)

// explainName is the name of the command that takes any number of files as its last arguments.
const explainName = "explain"

// endOfFlags is the argument that the argument parser requires before a list of any number of arguments.
const endOfFlags = "--"

// separateFiles reorders the arguments of the command explain so that the argument parser accepts them: first the
// flags, then the ID of the request, endOfFlags and the files. It returns the arguments of other commands unchanged.
func separateFiles(args []string) []string {
	if len(args) == 0 || args[0] != explainName {
		return args
	}
	var flags, positional []string
	for _, a := range args[1:] {
		switch {
		case a == endOfFlags:
		case strings.HasPrefix(a, "-"):
			flags = append(flags, a)
		default:
			positional = append(positional, a)
		}
	}
	separated := append([]string{explainName}, flags...)
	if len(positional) < 2 {
		return append(separated, positional...)
	}
	return append(append(separated, positional[0], endOfFlags), positional[1:]...)
}

// explain prints the log lines that concern one request, in the order of time. It reads the given log files, or
// standard input if there are none.
func (s *session) explain(files []string) error {
	logs := []explain.Log{{Name: "standard input", Text: os.Stdin}}
	if len(files) > 0 {
		logs = nil
	}
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return eris.Wrap(errUsage, err.Error())
		}
		defer func() {
			if err := file.Close(); err != nil {
				s.notef("cannot close %s: %v", path, err)
			}
		}()
		logs = append(logs, explain.Log{Name: path, Text: file})
	}
	timeline, skipped, err := explain.FindRequest(s.firstArg, logs)
	if skipped > 0 {
		s.notef("skipped %d lines that are not JSON objects", skipped)
	}
	if err != nil {
		return err
	}
	if s.json {
		return json.NewEncoder(s.stdout).Encode(timeline)
	}
	for _, l := range timeline.Lines {
		s.printf("%s %s %s", l.Time.Format(time.RFC3339Nano), l.Node, formatLine(&l))
	}
	return nil
}

// formatLine formats a log line with its fields in alphabetical order.
func formatLine(l *explain.Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := []string{l.Message}
	if l.Request != "" {
		parts = append(parts, "request="+l.Request)
	}
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(parts, " ")
}
