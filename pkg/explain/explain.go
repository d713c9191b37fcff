// Package explain collects from the logs of several nodes the lines that show what happened to one request.
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

// Errors of FindRequest.
var (
	// ErrNotFound means that no log line names the request.
	ErrNotFound = eris.New("no log line names the request; give the logs of its entry node and of the nodes that ran it")
	// ErrUnreadableLog means that a log cannot be read to its end.
	ErrUnreadableLog = eris.New("a log cannot be read to its end; give a text file with JSON lines")
)

const (
	// maxLineBytes is the length of the longest log line that can be read.
	maxLineBytes = 1 << 20
	// warningMargin is the time before and after the request within which the warnings of its nodes are part of the
	// timeline. A node logs the loss of a dependency within a few seconds.
	warningMargin = 3 * time.Second
	// requestEndedMessage is the message of the line that an entry node writes when a request ends.
	requestEndedMessage = "request ended"
)

// Line is a line of a node's log.
type Line struct {
	// Node is the node that wrote the line: the name in front of the line, or else the name of the log.
	Node string `json:"node"`
	// Time is the time on the node's clock, which may differ from the clocks of other nodes and may jump.
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Request is the ID of the request or call that the line is about, or empty.
	Request string `json:"request,omitempty"`
	// Fields are all other fields of the line.
	Fields map[string]any `json:"fields"`
	// position is the number of the line in its log.
	position int
}

// Log is the log of one or more nodes.
type Log struct {
	Name string
	Text io.Reader
}

// Timeline holds the lines about a request and the calls that it made, and the warnings that the nodes involved
// logged at that time.
type Timeline struct {
	// Request is the ID of the request.
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
}

// FindRequest returns the timeline of the request with that ID from the logs. Lines that are not JSON are ignored;
// skipped is their number. It returns ErrNotFound if no line names the request, and ErrUnreadableLog if a log cannot be
// read.
func FindRequest(id string, logs []Log) (timeline *Timeline, skipped int, err error) {
	var lines []Line
	for _, l := range logs {
		read, notJSON, err := readLog(l)
		if err != nil {
			return nil, skipped, err
		}
		lines, skipped = append(lines, read...), skipped+notJSON
	}
	timeline = &Timeline{Request: id}
	spans := map[string]*timeSpan{}
	for _, l := range lines {
		if l.Request == id || strings.HasPrefix(l.Request, id+".") {
			timeline.Lines = append(timeline.Lines, l)
			spans[l.Node] = spans[l.Node].extend(l)
		}
	}
	if len(timeline.Lines) == 0 {
		return nil, skipped, eris.Wrap(ErrNotFound, id)
	}
	for _, l := range lines {
		if s := spans[l.Node]; s != nil && l.Request == "" && isWarning(l) && s.isNear(l) {
			timeline.Lines = append(timeline.Lines, l)
		}
	}
	timeline.orderLines()
	return timeline, skipped, nil
}

// isWarning reports whether the line is a warning or an error.
func isWarning(l Line) bool { return l.Fields["level"] == "warning" || l.Fields["level"] == "error" }

// timeSpan is the time from a node's first to its last line about the request.
type timeSpan struct{ from, to time.Time }

// extend returns the time span extended to the time of the line; s may be nil.
func (s *timeSpan) extend(l Line) *timeSpan {
	if s == nil {
		return &timeSpan{l.Time, l.Time}
	}
	if l.Time.Before(s.from) {
		s.from = l.Time
	}
	if l.Time.After(s.to) {
		s.to = l.Time
	}
	return s
}

// isNear reports whether the line was written within warningMargin of the time span.
func (s *timeSpan) isNear(l Line) bool {
	return l.Time.After(s.from.Add(-warningMargin)) && l.Time.Before(s.to.Add(warningMargin))
}

// orderLines orders the lines by time, and the lines of the same node as in its log. Because the clocks of the nodes
// differ, the line about the end of a request, which its entry node writes last, is moved behind all other lines about
// the request.
func (t *Timeline) orderLines() {
	sort.SliceStable(t.Lines, func(i, j int) bool {
		a, b := &t.Lines[i], &t.Lines[j]
		if a.Node == b.Node {
			return a.position < b.position
		}
		return a.Time.Before(b.Time)
	})
	var sorted, ends []Line
	for _, l := range t.Lines {
		if l.Message == requestEndedMessage {
			ends = append(ends, l)
			continue
		}
		sorted = append(sorted, l)
	}
	// A call ends before the request that makes it. The ID of the request is a prefix of the ID of the call.
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
	t.Lines = sorted
}

// readLog returns the lines of a log, and the number of lines that are not JSON.
func readLog(l Log) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(l.Text)
	scanner.Buffer(nil, maxLineBytes)
	for n := 0; scanner.Scan(); n++ {
		line, ok := parseLine(l.Name, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		line.position = n
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, eris.Wrapf(ErrUnreadableLog, "%s: %v", l.Name, err)
	}
	return lines, skipped, nil
}

// parseLine parses a line of JSON. Log collectors put text in front of it whose last word is the name of the node.
func parseLine(name, text string) (Line, bool) {
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
	// A line without a valid time has the zero time; it keeps its place among the lines of its node.
	l.Time, _ = time.Parse(time.RFC3339Nano, at)
	for _, name := range [...]string{"msg", "request", "time"} {
		delete(l.Fields, name)
	}
	return l, true
}
