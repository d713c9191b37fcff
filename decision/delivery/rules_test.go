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

// Guards against two candidates or none in a data centre, and against candidates that depend on the order of
// declaration.
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

// Guards against a second attempt of a non-idempotent call after an uncertain outcome, and against reporting "not run"
// then.
func TestSender(t *testing.T) {
	refused := func(kind wire.ErrorKind) AttemptEvent {
		return AttemptEvent{Kind: AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: kind}
	}
	for _, c := range []struct {
		name       string
		idempotent bool
		retries    int
		events     []AttemptEvent
		sent       int
		outcome    wire.Outcome
		kind       wire.ErrorKind
	}{
		{"answer", false, 0, []AttemptEvent{{Kind: AttemptAnswered}}, 1, wire.OutcomeRan, ""},
		{"next upstream without a retry when nothing was sent", false, 0, []AttemptEvent{{Kind: AttemptNotConnected}, {Kind: AttemptNotWritten}}, 2, wire.OutcomeNotRun, wire.KindNoUpstream},
		{"no second attempt after a byte was written", false, 9, []AttemptEvent{{Kind: AttemptUnanswered}}, 1, wire.OutcomeUnknown, wire.KindOutcomeUnknown},
		{"idempotent second attempt", true, 9, []AttemptEvent{{Kind: AttemptUnanswered}, {Kind: AttemptAnswered}}, 2, wire.OutcomeRan, ""},
		{"idempotent unknown stays unknown", true, 9, []AttemptEvent{{Kind: AttemptUnanswered}, refused(wire.KindOverloaded)}, 2, wire.OutcomeUnknown, wire.KindOutcomeUnknown},
		{"retry after a refusal", false, 1, []AttemptEvent{refused(wire.KindOverloaded), {Kind: AttemptAnswered}}, 2, wire.OutcomeRan, ""},
		{"refusal without a retry left", false, 0, []AttemptEvent{refused(wire.KindOverloaded)}, 1, wire.OutcomeNotRun, wire.KindOverloaded},
		{"new epoch, same upstream", false, 0, []AttemptEvent{refused(wire.KindWrongEpoch), {Kind: AttemptAnswered}}, 2, wire.OutcomeRan, ""},
		{"identity refused", false, 9, []AttemptEvent{refused(wire.KindIdentityConflict)}, 1, wire.OutcomeNotRun, wire.KindIdentityConflict},
		{"refused as unknown", true, 9, []AttemptEvent{{Kind: AttemptRefused, Outcome: wire.OutcomeUnknown, Reason: wire.KindDuplicateRequest}}, 1, wire.OutcomeUnknown, wire.KindDuplicateRequest},
	} {
		g := NewWithT(t)
		retries := c.retries
		s := NewSender(SenderConfig{
			Deadline: time.Second, Idempotent: c.idempotent, NextUpstream: InOrder([]string{"a", "b"}),
			AllowRetry: func(time.Duration) bool { retries--; return retries >= 0 },
		})
		sent := 0
		for _, e := range c.events {
			if s.Next(0).Action == ActionFetchEpoch {
				s.SetEpoch(0, "e")
			}
			g.Expect(s.Next(0).Action).To(Equal(ActionSendCall), c.name)
			sent++
			s.Report(0, e)
		}
		end := s.Next(0)
		g.Expect(sent).To(Equal(c.sent), c.name)
		g.Expect([]any{end.Action, end.Outcome, end.Reason}).To(Equal([]any{ActionRespond, c.outcome, c.kind}), c.name)
	}
}

// Guards against a call that is sent after its deadline because the sender was paused after it got the epoch.
func TestSenderChecksDeadlineAfterEpoch(t *testing.T) {
	g := NewWithT(t)
	s := NewSender(SenderConfig{Deadline: time.Second, NextUpstream: InOrder([]string{"a"})})
	g.Expect(s.Next(0).Action).To(Equal(ActionFetchEpoch))
	s.SetEpoch(2*time.Second, "e")
	g.Expect(s.Next(2 * time.Second)).To(Equal(Step{Action: ActionRespond, Upstream: "a", Outcome: wire.OutcomeNotRun, Reason: wire.KindDeadlineExceeded}))
}

// Guards against a clear round although a candidate has not answered, does not know or ran the identity.
func TestBarRound(t *testing.T) {
	g := NewWithT(t)
	round := func(answers ...wire.BarIdentityResponse) *BarRound {
		b := NewBarRound([]string{"a", "b"})
		for i, r := range answers {
			b.RecordResponse([]string{"a", "b"}[i], r)
		}
		return b
	}
	barred, unknown := wire.BarIdentityResponse{Result: wire.IdentityBarred}, wire.BarIdentityResponse{Result: wire.IdentityNotKnown}
	ran := wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan, Status: 200, Body: []byte("done")}
	g.Expect(round(barred).State()).To(Equal(BarRoundPending))
	g.Expect(round(barred, barred).State()).To(Equal(BarRoundClear))
	g.Expect(round(barred, unknown).State()).To(Equal(BarRoundUndecided))
	g.Expect(round(unknown, ran).Decision().Result.Status).To(Equal(200))
	g.Expect(round(unknown, wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan}).Decision().Outcome).To(Equal(wire.OutcomeUnknown))
	expired := round(barred)
	expired.RecordResponse("a", barred)
	expired.Expire()
	g.Expect(expired.State()).To(Equal(BarRoundUndecided))
	g.Expect(NewBarRound(nil).State()).To(Equal(BarRoundClear))
}

// Guards against using candidates that other nodes do not know yet, and against later attempts for which the candidates
// of an earlier or a skipped set are not asked.
func TestHistory(t *testing.T) {
	g := NewWithT(t)
	set := func(name string) *config.Set {
		return config.NewSet(config.Objects{Upstreams: []config.Upstream{{Name: name, Service: "s", DataCentre: "d"}}})
	}
	h := NewCandidateHistory(Config{})
	home := func(now time.Duration) string { return h.Candidates(now, "s", "x")[0].Name }
	h.Adopt(0, set("a"))
	g.Expect(home(0)).To(Equal("a"))
	h.Adopt(wellAfterStart, set("b"))
	g.Expect(home(wellAfterStart + DefaultAdoptionBound - 1)).To(Equal("a"))
	g.Expect(h.Eligible(wellAfterStart, "s", "x", "b")).To(BeFalse())
	g.Expect(h.OtherCandidates(wellAfterStart, "s", "x", "a")).To(Equal([]string{"b"}))
	g.Expect(h.IsComplete(wellAfterStart)).To(BeTrue())
	settled := wellAfterStart + DefaultAdoptionBound
	g.Expect(home(settled)).To(Equal("b"))
	g.Expect(h.Eligible(settled, "s", "x", "a")).To(BeTrue(), "a sender may not have adopted the new set yet")
	h.Adopt(settled, set("c"))
	h.RecordSkippedSet(settled)
	dropped := settled + h.replacedSetLifetime()
	g.Expect(h.IsComplete(dropped - 1)).To(BeFalse())
	g.Expect(h.IsComplete(dropped)).To(BeTrue())
	g.Expect(h.OtherCandidates(dropped+1, "s", "x", "c")).To(BeEmpty(), "replaced sets must be dropped when their identities can no longer be repeated")
}
