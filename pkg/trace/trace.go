// Package trace holds recorded traces: the calls and events of a period with the outcomes that must hold, in
// JSON, and a generator that makes such a trace from a configuration set and a seed.
package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"
)

// FormatVersion is the version of the JSON format.
const FormatVersion = 1

// ErrInvalid means that a trace cannot be replayed; the message names the entry.
var ErrInvalid = errors.New("the trace cannot be replayed")

// Trace is a period of calls and events.
type Trace struct {
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
	// Seed is the generator's seed; 0 for a trace that was not generated.
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	// Calls and Events are in order of time.
	Calls  []Call  `json:"calls"`
	Events []Event `json:"events"`
}

// Call is one logical call of a caller, with its further attempts.
type Call struct {
	// ID is unique in the trace.
	ID string `json:"id"`
	// AtUS is the time of the first attempt in microseconds from the start of the trace.
	AtUS int64  `json:"at_us"`
	Team string `json:"team"`
	// KeyID is the id of the key; secrets are not in a trace.
	KeyID  string `json:"key"`
	Route  string `json:"route"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// BodyBytes and AnswerBytes are lengths; the contents follow from the ID.
	BodyBytes   int `json:"body_bytes,omitempty"`
	AnswerBytes int `json:"answer_bytes"`
	// WorkUS is the work at the upstream in microseconds.
	WorkUS int64 `json:"work_us"`
	// Identity is the idempotency key; empty on idempotent calls.
	Identity string `json:"identity,omitempty"`
	// MaxAttempts is the most attempts that the caller makes.
	MaxAttempts int `json:"attempts"`
	// EntryNode selects the entry node: the node at this number, modulo the number of nodes.
	EntryNode int `json:"entry"`
	// Chain lists the onward calls, "METHOD /path"; its length is the depth of the call.
	Chain []string `json:"chain,omitempty"`
}

// At is the time of the first attempt from the start of the trace.
func (c *Call) At() time.Duration { return time.Duration(c.AtUS) * time.Microsecond }

// Depth is the number of onward calls.
func (c *Call) Depth() int { return len(c.Chain) }

// EventKind says what happens.
type EventKind string

// Kinds of events. Target names what it happens to.
const (
	// PublishVersion publishes a new version with an unrelated change.
	PublishVersion EventKind = "publish"
	// WithdrawKey publishes a version in which the key Target is withdrawn.
	WithdrawKey EventKind = "withdraw_key"
	// DataCentreOut and DataCentreIn publish versions in which the data centre Target is out or in.
	DataCentreOut EventKind = "data_centre_out"
	DataCentreIn  EventKind = "data_centre_in"
	// KillNode ends the node beside the upstream Target without warning; Restart starts it again.
	KillNode    EventKind = "kill"
	RestartNode EventKind = "restart"
	// FreezeNode pauses the node beside Target; Resume lets it go on.
	FreezeNode EventKind = "freeze"
	ResumeNode EventKind = "resume"
	// CutControlLink cuts the control link of the node beside Target; Heal restores it.
	CutControlLink     EventKind = "cut"
	RestoreControlLink EventKind = "heal"
	// MakeUpstreamCold makes the upstream Target cold without warning.
	MakeUpstreamCold EventKind = "chill"
	// PlatformFault gives the platform the fault Target; an empty Target ends it.
	PlatformFault EventKind = "platform_fault"
)

// Event is something that happens to the mesh, with the outcome that must hold.
type Event struct {
	AtMS   int64     `json:"at_ms"`
	Kind   EventKind `json:"kind"`
	Target string    `json:"target,omitempty"`
	// WithinMS bounds the time until Outcome holds, in milliseconds; 0 means that it holds throughout.
	WithinMS int64 `json:"within_ms,omitempty"`
	// ExpectedOutcome states what must hold.
	ExpectedOutcome string `json:"outcome"`
}

// At is the time of the event from the start of the trace.
func (e *Event) At() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// Duration is the length of the trace.
func (t *Trace) Duration() time.Duration { return time.Duration(t.DurationMS) * time.Millisecond }

// Excerpt returns the trace with its first calls only, and all events.
func (t *Trace) Excerpt(calls int) *Trace {
	out := *t
	out.Calls = t.Calls[:min(calls, len(t.Calls))]
	return &out
}

// Write writes the trace with one call or event on a line, so that differences are readable.
func (t *Trace) Write(w io.Writer) error {
	out := &lines{w: w}
	out.printf("{\"format\":%d,\"deployment\":%q,\"seed\":%d,\"duration_ms\":%d,\n\"calls\":[",
		t.Format, t.Deployment, t.Seed, t.DurationMS)
	for i := range t.Calls {
		out.entry(i, &t.Calls[i])
	}
	out.printf("],\n\"events\":[")
	for i := range t.Events {
		out.entry(i, &t.Events[i])
	}
	out.printf("]}\n")
	return out.err
}

type lines struct {
	w   io.Writer
	err error
}

func (l *lines) printf(format string, arguments ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.w, format, arguments...)
	}
}

func (l *lines) entry(i int, v any) {
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

// Read reads a trace and checks it.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return t, t.Check()
}

// Check reports the first entry that cannot be replayed.
func (t *Trace) Check() error {
	if t.Format != FormatVersion {
		return fmt.Errorf("%w: format %d; this program reads %d", ErrInvalid, t.Format, FormatVersion)
	}
	seen := make(map[string]struct{}, len(t.Calls))
	for i := range t.Calls {
		if err := t.checkCall(&t.Calls[i], seen); err != nil {
			return fmt.Errorf("%w: call %d (%q): %w", ErrInvalid, i, t.Calls[i].ID, err)
		}
	}
	if !sort.SliceIsSorted(t.Calls, func(i, j int) bool { return t.Calls[i].AtUS < t.Calls[j].AtUS }) {
		return fmt.Errorf("%w: the calls are not in order of time", ErrInvalid)
	}
	if !sort.SliceIsSorted(t.Events, func(i, j int) bool { return t.Events[i].AtMS < t.Events[j].AtMS }) {
		return fmt.Errorf("%w: the events are not in order of time", ErrInvalid)
	}
	return nil
}

func (t *Trace) checkCall(c *Call, seen map[string]struct{}) error {
	if _, again := seen[c.ID]; again || c.ID == "" {
		return errors.New("give each call an id of its own")
	}
	seen[c.ID] = struct{}{}
	switch {
	case c.AtUS < 0 || c.At() > t.Duration():
		return errors.New("the time is outside the trace")
	case c.MaxAttempts < 1:
		return errors.New("at least one attempt is needed")
	case c.BodyBytes < 0 || c.AnswerBytes < 0 || c.WorkUS < 0:
		return errors.New("lengths and work cannot be negative")
	case c.Method == "" || c.Path == "" || c.Path[0] != '/':
		return errors.New("give a method and a path that starts with /")
	}
	return nil
}
