package delivery

import (
	"fmt"
	"testing"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against two candidates in one data centre, a candidate that is not the best of its data centre, and an
// order that depends on the order of declaration.
func TestCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		o := config.Objects{}
		for i := range rapid.IntRange(1, 20).Draw(t, "upstreams") {
			dc := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "data centre"))
			o.Upstreams = append(o.Upstreams, config.Upstream{Name: fmt.Sprint("u", i), Service: "s", DataCentre: dc})
		}
		identity := rapid.String().Draw(t, "identity")
		got := Candidates(config.NewSet(o), "s", identity)
		var shuffled config.Objects
		shuffled.Upstreams = rapid.Permutation(o.Upstreams).Draw(t, "order")
		seen := map[string]bool{}
		for i, u := range Candidates(config.NewSet(shuffled), "s", identity) {
			g.Expect(u.Name).To(Equal(got[i].Name))
			g.Expect(seen[u.DataCentre]).To(BeFalse())
			seen[u.DataCentre] = true
		}
		for _, u := range o.Upstreams {
			g.Expect(seen[u.DataCentre]).To(BeTrue())
		}
	})
}

// Guards against a second attempt after an outcome that is not certain, and against a "not run" in that case.
func TestSender(t *testing.T) {
	refused := func(kind wire.ErrorKind) Event {
		return Event{Kind: Refused, Outcome: wire.OutcomeNotRun, Reason: kind}
	}
	for _, c := range []struct {
		name       string
		idempotent bool
		retries    int
		events     []Event
		sent       int
		outcome    wire.Outcome
		kind       wire.ErrorKind
	}{
		{"answer", false, 0, []Event{{Kind: Answered}}, 1, wire.OutcomeRan, ""},
		{"fail over for free when nothing was sent", false, 0, []Event{{Kind: NotOpened}, {Kind: NothingWritten}}, 2, wire.OutcomeNotRun, wire.KindNoUpstream},
		{"no second attempt after a byte", false, 9, []Event{{Kind: NoAnswer}}, 1, wire.OutcomeUnknown, wire.KindOutcomeUnknown},
		{"idempotent second attempt", true, 9, []Event{{Kind: NoAnswer}, {Kind: Answered}}, 2, wire.OutcomeRan, ""},
		{"idempotent unknown stays unknown", true, 9, []Event{{Kind: NoAnswer}, refused(wire.KindOverloaded)}, 2, wire.OutcomeUnknown, wire.KindOutcomeUnknown},
		{"refusal within the budget", false, 1, []Event{refused(wire.KindOverloaded), {Kind: Answered}}, 2, wire.OutcomeRan, ""},
		{"refusal without budget", false, 0, []Event{refused(wire.KindOverloaded)}, 1, wire.OutcomeNotRun, wire.KindOverloaded},
		{"new epoch, same upstream", false, 0, []Event{refused(wire.KindWrongEpoch), {Kind: Answered}}, 2, wire.OutcomeRan, ""},
		{"identity refused", false, 9, []Event{refused(wire.KindIdentityConflict)}, 1, wire.OutcomeNotRun, wire.KindIdentityConflict},
		{"refused as unknown", true, 9, []Event{{Kind: Refused, Outcome: wire.OutcomeUnknown, Reason: wire.KindDuplicateRequest}}, 1, wire.OutcomeUnknown, wire.KindDuplicateRequest},
	} {
		g := NewWithT(t)
		retries := c.retries
		s := NewSender(SenderConfig{
			Deadline: time.Second, Idempotent: c.idempotent, Next: InOrder([]string{"a", "b"}),
			AllowRetry: func(time.Duration) bool { retries--; return retries >= 0 },
		})
		sent := 0
		for _, e := range c.events {
			if s.Next(0).Action == AskEpoch {
				s.Epoch(0, "e")
			}
			g.Expect(s.Next(0).Action).To(Equal(Send), c.name)
			sent++
			s.Report(0, e)
		}
		end := s.Next(0)
		g.Expect(sent).To(Equal(c.sent), c.name)
		g.Expect([]any{end.Action, end.Outcome, end.Kind}).To(Equal([]any{Tell, c.outcome, c.kind}), c.name)
	}
}

// Guards against a call sent after its deadline by a sender that was frozen after it got the epoch.
func TestSenderChecksTheDeadlineAfterTheEpoch(t *testing.T) {
	g := NewWithT(t)
	s := NewSender(SenderConfig{Deadline: time.Second, Next: InOrder([]string{"a"})})
	g.Expect(s.Next(0).Action).To(Equal(AskEpoch))
	s.Epoch(2*time.Second, "e")
	g.Expect(s.Next(2 * time.Second)).To(Equal(Step{Action: Tell, Upstream: "a", Outcome: wire.OutcomeNotRun, Kind: wire.KindDeadlineExceeded}))
}

// Guards against a round that clears an identity although one candidate did not or could not confirm.
func TestBarRound(t *testing.T) {
	g := NewWithT(t)
	round := func(answers ...wire.BarIdentityResponse) *BarRound {
		b := NewBarRound([]string{"a", "b"})
		for i, r := range answers {
			b.Answer([]string{"a", "b"}[i], r)
		}
		return b
	}
	barred, unsure := wire.BarIdentityResponse{Result: wire.IdentityBarred}, wire.BarIdentityResponse{Result: wire.IdentityNotKnown}
	ran := wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan, Status: 200, Body: []byte("done")}
	g.Expect(round(barred).State()).To(Equal(Asking))
	g.Expect(round(barred, barred).State()).To(Equal(Clear))
	g.Expect(round(barred, unsure).State()).To(Equal(Undecided))
	g.Expect(round(unsure, ran).Decision().Result.Status).To(Equal(200))
	g.Expect(round(unsure, wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan}).Decision().Outcome).To(Equal(wire.OutcomeUnknown))
	expired := round(barred)
	expired.Answer("a", barred)
	expired.Expire()
	g.Expect(expired.State()).To(Equal(Undecided))
	g.Expect(NewBarRound(nil).State()).To(Equal(Clear))
}

// Guards against candidates that other nodes do not know yet, and against a later attempt that does not ask the
// candidates of an earlier or a skipped set.
func TestHistory(t *testing.T) {
	g := NewWithT(t)
	set := func(name string) *config.Set {
		return config.NewSet(config.Objects{Upstreams: []config.Upstream{{Name: name, Service: "s", DataCentre: "d"}}})
	}
	h := NewHistory(Config{})
	home := func(now time.Duration) string { return h.Candidates(now, "s", "x")[0].Name }
	h.Adopt(0, set("a"))
	g.Expect(home(0)).To(Equal("a"))
	h.Adopt(later, set("b"))
	g.Expect(home(later + DefaultAdoptionBound - 1)).To(Equal("a"))
	g.Expect(h.Eligible(later, "s", "x", "b")).To(BeFalse())
	g.Expect(h.Others(later, "s", "x", "a")).To(Equal([]string{"b"}))
	g.Expect(h.Complete(later)).To(BeTrue())
	settled := later + DefaultAdoptionBound
	g.Expect(home(settled)).To(Equal("b"))
	g.Expect(h.Eligible(settled, "s", "x", "a")).To(BeTrue(), "a sender may not have adopted the new set yet")
	h.Adopt(settled, set("c"))
	h.Skipped(settled)
	forgotten := settled + h.span()
	g.Expect(h.Complete(forgotten - 1)).To(BeFalse())
	g.Expect(h.Complete(forgotten)).To(BeTrue())
	g.Expect(h.Others(forgotten+1, "s", "x", "c")).To(BeEmpty(), "replaced sets are forgotten with their identities")
}
