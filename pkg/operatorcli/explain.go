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

// explainName is the command whose last arguments are files.
const explainName = "explain"

// endOfFlags is what the argument parser expects in front of a list of any length.
const endOfFlags = "--"

// separateFiles puts the end of the flags in front of the files of the command explain, which takes any number of them
// after the ID of the request.
func separateFiles(args []string) []string {
	if len(args) == 0 || args[0] != explainName {
		return args
	}
	var flags, plain []string
	for _, a := range args[1:] {
		switch {
		case a == endOfFlags:
		case strings.HasPrefix(a, "-"):
			flags = append(flags, a)
		default:
			plain = append(plain, a)
		}
	}
	separated := append([]string{explainName}, flags...)
	if len(plain) < 2 {
		return append(separated, plain...)
	}
	return append(append(separated, plain[0], endOfFlags), plain[1:]...)
}

// explain prints what the logs say of one request.
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
	story, skipped, err := explain.FindRequest(s.first, logs)
	if skipped > 0 {
		s.notef("%d lines are not JSON objects and were passed over", skipped)
	}
	if err != nil {
		return err
	}
	if s.json {
		return json.NewEncoder(s.stdout).Encode(story)
	}
	for _, l := range story.Lines {
		s.printf("%s %s %s", l.Time.Format(time.RFC3339Nano), l.Node, describe(&l))
	}
	return nil
}

// describe renders a line with its fields in a fixed order.
func describe(l *explain.Line) string {
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
