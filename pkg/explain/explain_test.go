package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const entryLog = `{"level":"info","msg":"starting","time":"2026-02-05T21:12:00Z"}
{"level":"warning","msg":"lost the store; serving on the last view","time":"2026-02-05T21:12:31Z","age_ms":2318}
{"level":"warning","msg":"lost the store; serving on the last view","time":"2026-02-05T20:00:00Z","age_ms":1}
{"level":"info","msg":"request ended","request":"a1.7","outcome":"overloaded","time":"2026-02-05T21:12:32.2Z"}
{"level":"info","msg":"request ended","request":"a1","outcome":"answered","status":500,"time":"2026-02-05T21:12:32.3Z"}
{"level":"info","msg":"request ended","request":"a12","outcome":"answered","time":"2026-02-05T21:12:32.4Z"}
not JSON
`

// The clock of this node is 40 s ahead.
const upstreamLog = `  12.1 vm-b {"level":"info","msg":"upstream did not answer a forwarded request","request":"a1.7","reason":"overloaded","time":"2026-02-05T21:13:12Z"}
`

func findRequest(t *testing.T, id string) *Timeline {
	t.Helper()
	timeline, skipped, err := FindRequest(id, []Log{
		{"vm-a.log", strings.NewReader(entryLog)}, {"all.log", strings.NewReader(upstreamLog)},
	})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(1))
	return timeline
}

// Guards against a timeline in which the end of a request comes before its cause, because the clocks of the nodes
// differ by more than the duration of the request.
func TestTimelineOrderWithDifferentClocks(t *testing.T) {
	g := NewWithT(t)
	timeline := findRequest(t, "a1")
	lines := make([]string, 0, len(timeline.Lines))
	for _, l := range timeline.Lines {
		lines = append(lines, l.Node+" "+l.Request+" "+l.Message)
	}
	g.Expect(lines).To(Equal([]string{
		"vm-a.log  lost the store; serving on the last view",
		"vm-b a1.7 upstream did not answer a forwarded request",
		"vm-a.log a1.7 request ended",
		"vm-a.log a1 request ended",
	}))
}

func TestUnknownRequestIsError(t *testing.T) {
	g := NewWithT(t)
	_, _, err := FindRequest("b", []Log{{"vm-a.log", strings.NewReader(entryLog)}})
	g.Expect(err).To(MatchError(ErrNotFound))
}

// Guards against an incomplete timeline without notice: a line that is cut off must be counted as skipped, and a line
// that is too long must be an error.
func TestUnreadableLogIsError(t *testing.T) {
	g := NewWithT(t)
	_, skipped, err := FindRequest("a1", []Log{{"x", strings.NewReader(entryLog + `{"msg":"request en`)}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(2))
	_, _, err = FindRequest("a1", []Log{{"x", strings.NewReader(strings.Repeat("x", maxLineBytes+1))}})
	g.Expect(err).To(MatchError(ErrUnreadableLog))
}
