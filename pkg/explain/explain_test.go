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

func find(t *testing.T, id string) *Timeline {
	t.Helper()
	story, skipped, err := FindRequest(id, []Log{
		{"vm-a.log", strings.NewReader(entryLog)}, {"all.log", strings.NewReader(upstreamLog)},
	})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(1))
	return story
}

// The clocks of nodes differ by more than a request takes. Its end would be told before its cause.
func TestAStoryIsToldInOrderWithClocksThatDiffer(t *testing.T) {
	g := NewWithT(t)
	story := find(t, "a1")
	told := make([]string, 0, len(story.Lines))
	for _, l := range story.Lines {
		told = append(told, l.Node+" "+l.Request+" "+l.Message)
	}
	g.Expect(told).To(Equal([]string{
		"vm-a.log  lost the store; serving on the last view",
		"vm-b a1.7 upstream did not answer a forwarded request",
		"vm-a.log a1.7 request ended",
		"vm-a.log a1 request ended",
	}))
}

func TestAnUnknownRequestIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, _, err := FindRequest("b", []Log{{"vm-a.log", strings.NewReader(entryLog)}})
	g.Expect(err).To(MatchError(ErrNotFound))
}

// A log that is cut inside a line or holds a huge one must not end in a story with parts missing.
func TestALogThatCannotBeReadIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, skipped, err := FindRequest("a1", []Log{{"x", strings.NewReader(entryLog + `{"msg":"request en`)}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(2))
	_, _, err = FindRequest("a1", []Log{{"x", strings.NewReader(strings.Repeat("x", longestLine+1))}})
	g.Expect(err).To(MatchError(ErrUnreadableLog))
}
