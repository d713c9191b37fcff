// Package explain finds in the logs of several nodes what happened to one request.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a story.
var (
	// ErrNotFound means that no line names the request.
	ErrNotFound = eris.New("no line names the request; name the logs of the node that the caller used and of those that ran it")
	// ErrUnreadableLog means that a log cannot be read to its end.
	ErrUnreadableLog = eris.New("a log cannot be read to its end; name a text file with JSON lines")
)

const (
	// longestLine bounds one line of a log.
	longestLine = 1 << 20
	// contextTime is how long before and after the request the warnings of its nodes are part of the story. Lost
	// dependencies show after a few seconds at most.
	contextTime = 3 * time.Second
	// endMessage is the message of the line that an entry node writes when a request ends.
	endMessage = "request ended"
)

// Line is one line of a node's log.
type Line struct {
	// Node is the node that wrote the line, by the name in front of it or by that of its file.
	Node string `json:"node"`
	// Time is the node's time of day, which may differ from that of others and may jump.
	Time    time.Time      `json:"time"`
	Message string         `json:"message"`
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields"`
	// order is the place of the line in its log.
	order int
}

// Log is the text of one or more nodes.
type Log struct {
	Name string
	Text io.Reader
}

// Timeline collects the lines about a request and its calls, and the warnings of the nodes that had part in it.
type Timeline struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
}

// FindRequest reads the logs. Lines that are not JSON are passed over, with their number in skipped.
func FindRequest(id string, logs []Log) (story *Timeline, skipped int, err error) {
	var lines []Line
	for _, l := range logs {
		read, odd, err := readLog(l)
		if err != nil {
			return nil, skipped, err
		}
		lines, skipped = append(lines, read...), skipped+odd
	}
	story = &Timeline{Request: id}
	spans := map[string]*span{}
	for _, l := range lines {
		if l.Request == id || strings.HasPrefix(l.Request, id+".") {
			story.Lines = append(story.Lines, l)
			spans[l.Node] = spans[l.Node].with(l)
		}
	}
	if len(story.Lines) == 0 {
		return nil, skipped, eris.Wrap(ErrNotFound, id)
	}
	for _, l := range lines {
		if s := spans[l.Node]; s != nil && l.Request == "" && isWarning(l) && s.near(l) {
			story.Lines = append(story.Lines, l)
		}
	}
	story.sort()
	return story, skipped, nil
}

func isWarning(l Line) bool { return l.Fields["level"] == "warning" || l.Fields["level"] == "error" }

// span is the part of a node's log in which it worked on the request.
type span struct{ from, to time.Time }

func (s *span) with(l Line) *span {
	if s == nil {
		return &span{l.Time, l.Time}
	}
	if l.Time.Before(s.from) {
		s.from = l.Time
	}
	if l.Time.After(s.to) {
		s.to = l.Time
	}
	return s
}

func (s *span) near(l Line) bool {
	return l.Time.After(s.from.Add(-contextTime)) && l.Time.Before(s.to.Add(contextTime))
}

// sort orders the lines by time. The clocks of the nodes differ, so the end of a request, which its entry node writes
// last, is moved behind all other lines about it, and each node's own lines keep their order.
func (s *Timeline) sort() {
	sort.SliceStable(s.Lines, func(i, j int) bool {
		a, b := &s.Lines[i], &s.Lines[j]
		if a.Node == b.Node {
			return a.order < b.order
		}
		return a.Time.Before(b.Time)
	})
	var sorted, ends []Line
	for _, l := range s.Lines {
		if l.Message == endMessage {
			ends = append(ends, l)
			continue
		}
		sorted = append(sorted, l)
	}
	// Calls end before the request that makes them, whose ID is a prefix of theirs.
	sort.SliceStable(ends, func(i, j int) bool { return len(ends[i].Request) > len(ends[j].Request) })
	for _, end := range ends {
		at := 0
		for i, l := range sorted {
			if l.Request == end.Request || strings.HasPrefix(l.Request, end.Request+".") {
				at = i + 1
			}
		}
		if at == 0 {
			at = len(sorted)
		}
		sorted = append(sorted[:at], append([]Line{end}, sorted[at:]...)...)
	}
	s.Lines = sorted
}

func readLog(l Log) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(l.Text)
	scanner.Buffer(nil, longestLine)
	for n := 0; scanner.Scan(); n++ {
		line, ok := parse(l.Name, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		line.order = n
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, eris.Wrapf(ErrUnreadableLog, "%s: %v", l.Name, err)
	}
	return lines, skipped, nil
}

// parse reads a line of JSON. Collectors put the name of the node in front of it, as the last word.
func parse(name, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Node: name}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		l.Node = words[len(words)-1]
	}
	if err := json.Unmarshal([]byte(text[start:]), &l.Fields); err != nil {
		return Line{}, false
	}
	l.Message, _ = l.Fields["msg"].(string)
	l.Request, _ = l.Fields["request"].(string)
	at, _ := l.Fields["time"].(string)
	// A line without a readable time stays in its place within its node's log.
	l.Time, _ = time.Parse(time.RFC3339Nano, at)
	for _, name := range [...]string{"msg", "request", "time"} {
		delete(l.Fields, name)
	}
	return l, true
}
