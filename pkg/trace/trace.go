// Package trace defines traces, which load tests replay: the calls and events of a period, with the expected
// outcomes, in JSON. It generates traces from a configuration set and a seed.
package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"
)

// FormatVersion is the version of the JSON format that this package reads and writes.
const FormatVersion = 1

// ErrInvalid means that a trace cannot be replayed; the message says which entry is invalid and why.
var ErrInvalid = errors.New("the trace cannot be replayed")

// Trace holds the calls and events of a period.
type Trace struct {
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
	// Seed is the seed of Generate, or 0 for a trace that was not generated.
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	// Calls and Events are ordered by time.
	Calls  []Call  `json:"calls"`
	Events []Event `json:"events"`
}

// Call is one call of a caller, which may make several attempts.
type Call struct {
	// ID is unique within the trace.
	ID string `json:"id"`
	// AtUS is the time of the first attempt in microseconds from the start of the trace.
	AtUS int64  `json:"at_us"`
	Team string `json:"team"`
	// KeyID is the ID of the caller's key; a trace contains no secrets.
	KeyID  string `json:"key"`
	Route  string `json:"route"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// BodyBytes and AnswerBytes are the lengths of the bodies of the request and of the answer. Their contents are
	// derived from the ID.
	BodyBytes   int `json:"body_bytes,omitempty"`
	AnswerBytes int `json:"answer_bytes"`
	// WorkUS is the time in microseconds for which the upstream works on the call.
	WorkUS int64 `json:"work_us"`
	// Identity is the idempotency key; it is empty for idempotent calls.
	Identity string `json:"identity,omitempty"`
	// MaxAttempts is the largest number of attempts that the caller makes.
	MaxAttempts int `json:"attempts"`
	// EntryNode selects the entry node: its index is EntryNode modulo the number of nodes.
	EntryNode int `json:"entry"`
	// Chain lists the onward calls as "METHOD /path": the upstream of the call makes the first one, whose upstream
	// makes the second one, and so on.
	Chain []string `json:"chain,omitempty"`
}

// At returns the time of the first attempt from the start of the trace.
func (c *Call) At() time.Duration { return time.Duration(c.AtUS) * time.Microsecond }

// Depth returns the number of onward calls.
func (c *Call) Depth() int { return len(c.Chain) }

// EventKind names what happens at an event.
type EventKind string

// Kinds of events. Event.Target names the object that is affected.
const (
	// PublishVersion publishes a new version with an unrelated change.
	PublishVersion EventKind = "publish"
	// WithdrawKey publishes a version in which the key Target is withdrawn.
	WithdrawKey EventKind = "withdraw_key"
	// DataCentreOut and DataCentreIn publish a version in which the data centre Target is out of service or in service.
	DataCentreOut EventKind = "data_centre_out"
	DataCentreIn  EventKind = "data_centre_in"
	// KillNode kills the process of the node beside the upstream Target; RestartNode starts it again.
	KillNode    EventKind = "kill"
	RestartNode EventKind = "restart"
	// FreezeNode pauses the process of the node beside the upstream Target; ResumeNode continues it.
	FreezeNode EventKind = "freeze"
	ResumeNode EventKind = "resume"
	// CutControlLink cuts the control link of the node beside the upstream Target; RestoreControlLink restores it.
	CutControlLink     EventKind = "cut"
	RestoreControlLink EventKind = "heal"
	// MakeUpstreamCold makes the upstream Target cold without warning.
	MakeUpstreamCold EventKind = "chill"
	// PlatformFault gives the stand-in of the platform the fault Target; an empty Target ends the fault.
	PlatformFault EventKind = "platform_fault"
)

// Event is a change or failure of the mesh, with the outcome that is expected.
type Event struct {
	AtMS   int64     `json:"at_ms"`
	Kind   EventKind `json:"kind"`
	Target string    `json:"target,omitempty"`
	// WithinMS is the longest time in milliseconds until ExpectedOutcome holds; 0 means that it holds at all times.
	WithinMS int64 `json:"within_ms,omitempty"`
	// ExpectedOutcome describes what must hold after the event.
	ExpectedOutcome string `json:"outcome"`
}

// At returns the time of the event from the start of the trace.
func (e *Event) At() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// Duration returns the length of the trace.
func (t *Trace) Duration() time.Duration { return time.Duration(t.DurationMS) * time.Millisecond }

// Excerpt returns a copy of the trace with all events and only the given number of calls, the first ones.
func (t *Trace) Excerpt(calls int) *Trace {
	out := *t
	out.Calls = t.Calls[:min(calls, len(t.Calls))]
	return &out
}

// Write writes the trace as JSON with one call or event on each line, so that diffs of traces are readable.
func (t *Trace) Write(w io.Writer) error {
	out := &lineWriter{w: w}
	out.printf("{\"format\":%d,\"deployment\":%q,\"seed\":%d,\"duration_ms\":%d,\n\"calls\":[",
		t.Format, t.Deployment, t.Seed, t.DurationMS)
	for i := range t.Calls {
		out.writeEntry(i, &t.Calls[i])
	}
	out.printf("],\n\"events\":[")
	for i := range t.Events {
		out.writeEntry(i, &t.Events[i])
	}
	out.printf("]}\n")
	return out.err
}

// lineWriter writes lines until the first error, which it keeps.
type lineWriter struct {
	w   io.Writer
	err error
}

func (l *lineWriter) printf(format string, arguments ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format, arguments...)
	}
}

func (l *lineWriter) writeEntry(i int, v any) {
	separator := ",\n"
	if i == 0 {
		separator = "\n"
	}
	encoded, err := json.Marshal(v)
	if err != nil && l.err == nil {
		l.err = err
	}
	l.printf("%s%s", separator, encoded)
}

// Read reads a trace from JSON and checks it. It returns ErrInvalid if the trace cannot be decoded or replayed.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return t, t.Check()
}

// Check returns ErrInvalid, with the reason, for the first entry that cannot be replayed.
func (t *Trace) Check() error {
	if t.Format != FormatVersion {
		return fmt.Errorf("%w: its format is %d; this program reads format %d", ErrInvalid, t.Format, FormatVersion)
	}
	seen := make(map[string]struct{}, len(t.Calls))
	for i := range t.Calls {
		if err := t.checkCall(&t.Calls[i], seen); err != nil {
			return fmt.Errorf("%w: call %d (%q): %w", ErrInvalid, i, t.Calls[i].ID, err)
		}
	}
	if !sort.SliceIsSorted(t.Calls, func(i, j int) bool { return t.Calls[i].AtUS < t.Calls[j].AtUS }) {
		return fmt.Errorf("%w: the calls are not ordered by time; sort them by at_us", ErrInvalid)
	}
	if !sort.SliceIsSorted(t.Events, func(i, j int) bool { return t.Events[i].AtMS < t.Events[j].AtMS }) {
		return fmt.Errorf("%w: the events are not ordered by time; sort them by at_ms", ErrInvalid)
	}
	return nil
}

func (t *Trace) checkCall(c *Call, seen map[string]struct{}) error {
	if _, again := seen[c.ID]; again || c.ID == "" {
		return errors.New("the id is empty or used before; give each call its own id")
	}
	seen[c.ID] = struct{}{}
	switch {
	case c.AtUS < 0 || c.At() > t.Duration():
		return errors.New("the time is outside the trace; choose at_us between 0 and the duration")
	case c.MaxAttempts < 1:
		return errors.New("attempts is less than 1; allow at least one attempt")
	case c.BodyBytes < 0 || c.AnswerBytes < 0 || c.WorkUS < 0:
		return errors.New("a length or the work is negative; use 0 or more")
	case c.Method == "" || c.Path == "" || c.Path[0] != '/':
		return errors.New("the method or the path is not valid; give a method and a path that starts with /")
	}
	return nil
}
