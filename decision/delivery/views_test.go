package delivery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// upstreamReplacement is the state shortly after the publication of a version that replaces the upstream "old" by
// "new" in one data centre. The node of "new" has adopted the version; those of "old" and "other" have not.
type upstreamReplacement struct {
	before, after *config.Set
	ledgers       map[string]*delivery.Ledger
	histories     map[string]*delivery.CandidateHistory
	identity      string
	runs          int
}

const now = time.Hour

func testSet(names ...string) *config.Set {
	var o config.Objects
	for _, name := range names {
		dc := "a"
		if name == "other" {
			dc = "b"
		}
		o.Upstreams = append(o.Upstreams, config.Upstream{Name: name, Service: "s", DataCentre: dc})
	}
	return config.NewSet(o)
}

func newUpstreamReplacement(disabled safeguard.Set) *upstreamReplacement {
	v := &upstreamReplacement{
		before: testSet("old", "other"), after: testSet("new", "other"),
		ledgers: map[string]*delivery.Ledger{}, histories: map[string]*delivery.CandidateHistory{},
	}
	cfg := delivery.Config{Disabled: disabled}
	for _, name := range []string{"old", "new", "other"} {
		v.ledgers[name] = delivery.NewLedger(cfg, 0, name)
		v.histories[name] = delivery.NewCandidateHistory(cfg)
		v.histories[name].Adopt(0, v.before)
	}
	v.histories["new"].Adopt(now, v.after)
	// Choose an identity whose home is in the changed data centre in both versions.
	home := func(set *config.Set, identity string) string { return delivery.Candidates(set, "s", identity)[0].Name }
	for i := 0; v.identity == ""; i++ {
		if id := fmt.Sprint(i); home(v.before, id) == "old" && home(v.after, id) == "new" {
			v.identity = id
		}
	}
	return v
}

// sendAttempt sends an attempt of the identity to its home according to the entry node's history, and counts it in
// runs if it may run there.
func (v *upstreamReplacement) sendAttempt(entry *delivery.CandidateHistory, number int) {
	home := entry.Candidates(now, "s", v.identity)[0].Name
	l, h := v.ledgers[home], v.histories[home]
	r := delivery.Request{Call: fmt.Sprint(number), Identity: v.identity, Attempt: number, Epoch: l.Epoch(now)}
	d := l.Accept(now, r)
	if d.Verdict == delivery.VerdictNeedBar {
		others := h.OtherCandidates(now, "s", v.identity, home)
		round := delivery.NewBarRound(others)
		for _, name := range others {
			round.RecordResponse(name, v.ledgers[name].Bar(now, v.identity))
		}
		if round.State() != delivery.BarRoundClear {
			return
		}
		r.BarredElsewhere = true
		d = l.Accept(now, r)
	}
	if d.Verdict != delivery.VerdictRun {
		return
	}
	if !h.Eligible(now, "s", v.identity, home) {
		l.Release(now, r, wire.KindWrongUpstream)
		return
	}
	v.runs++
}

// Guards against a second run of an identity whose first attempt went to a candidate that the controller of the later
// attempt does not know yet, so that it does not ask this candidate. Random simulations rarely reach this state.
// Without the safeguards the identity must run twice.
func TestAttemptsWithDifferentVersions(t *testing.T) {
	g := NewWithT(t)
	running := func(v *upstreamReplacement) *delivery.CandidateHistory { return v.histories["new"] }
	restarted := func(v *upstreamReplacement) *delivery.CandidateHistory {
		h := delivery.NewCandidateHistory(delivery.Config{})
		h.Adopt(now, v.after)
		return h
	}
	for _, c := range []struct {
		name     string
		disabled safeguard.Set
		entry    func(*upstreamReplacement) *delivery.CandidateHistory
		runs     int
	}{
		{"running entry node", 0, running, 1},
		{"running entry node, no settling delay", safeguard.SettlingDelay, running, 2},
		{"restarted entry node", 0, restarted, 1},
		{"restarted entry node, no eligibility check", safeguard.EligibilityCheck, restarted, 2},
	} {
		v := newUpstreamReplacement(c.disabled)
		v.sendAttempt(c.entry(v), 1)
		v.sendAttempt(v.histories["other"], 2)
		g.Expect(v.runs).To(Equal(c.runs), c.name)
	}
}
