package trace_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

func testSet() *config.Set {
	return config.NewSet(config.Objects{
		Services: []config.Service{{Name: "shop", DependsOn: []string{"stock"}}, {Name: "stock"}},
		Routes: []config.Route{
			{
				Name: "browse", Service: "shop", PathPrefix: "/browse", Methods: []string{"GET", "HEAD"},
				Visibility: config.VisibilityPublic, Idempotent: true, Priority: config.PriorityInteractive,
			},
			{
				Name: "order", Service: "shop", PathPrefix: "/order", Methods: []string{"POST"},
				Visibility: config.VisibilityPublic, Priority: config.PriorityNormal, MaxBodyBytes: 4096,
			},
			{
				Name: "level", Service: "stock", PathPrefix: "/level/", Methods: []string{"GET"},
				Visibility: config.VisibilityInternal, Idempotent: true, Priority: config.PriorityNormal,
			},
		},
		Teams: []config.Team{
			{Name: "large", RatePerSecond: 100, Burst: 50},
			{Name: "small", RatePerSecond: 10, Burst: 5},
		},
		Keys: []config.Key{
			{ID: "large-1", Team: "large", State: config.KeyGranted},
			{ID: "small-0", Team: "small", State: config.KeyWithdrawn},
			{ID: "small-1", Team: "small", State: config.KeyGranted},
		},
	})
}

func testProfile() trace.Profile {
	return trace.Profile{
		Deployment: "test", Duration: 10 * time.Second, CallsPerSecond: 50, ChainShare: 0.2, MaxDepth: 3,
		OverLimitTeam: "small", OverLimitFactor: 4, OverLimitFrom: 4 * time.Second, OverLimitUntil: 6 * time.Second,
		Events: []trace.Event{
			{AtMS: 5000, Kind: trace.RestartNode, Target: "shop-1", ExpectedOutcome: "it serves again"},
			{AtMS: 3000, Kind: trace.KillNode, Target: "shop-1", WithinMS: 1000, ExpectedOutcome: "nothing is lost"},
		},
	}
}

func encode(t *testing.T, tr *trace.Trace) string {
	t.Helper()
	out := &bytes.Buffer{}
	NewWithT(t).Expect(tr.Write(out)).To(Succeed())
	return out.String()
}

// Guards against fields that are lost when a trace is written and read, and against traces that differ for the same
// seed: a failure could then not be reproduced.
func TestRoundTripAndReproducibility(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(t)
		seed := rapid.Uint64().Draw(rt, "seed")
		profile := testProfile()
		profile.Duration = time.Second
		first, err := trace.Generate(profile, testSet(), seed)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := trace.Generate(profile, testSet(), seed)
		g.Expect(err).NotTo(HaveOccurred())
		text := encode(t, first)
		g.Expect(encode(t, again)).To(Equal(text))
		read, err := trace.Read(strings.NewReader(text))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read).To(Equal(first))
	})
}

// Guards against a generated trace that does not match its profile.
func TestGeneratedCalls(t *testing.T) {
	g := NewWithT(t)
	tr, err := trace.Generate(testProfile(), testSet(), 7)
	g.Expect(err).NotTo(HaveOccurred())
	overLimit, onwardCalls, identities := 0, 0, map[string]bool{}
	for i := range tr.Calls {
		c := &tr.Calls[i]
		g.Expect(c.KeyID).NotTo(Equal("small-0"))
		g.Expect(c.Method).NotTo(Equal("HEAD"))
		if c.Team == "small" && c.At() >= 4*time.Second && c.At() < 6*time.Second {
			overLimit++
		}
		onwardCalls += c.Depth()
		g.Expect(c.Identity != "").To(Equal(c.Route == "order"))
		if c.Identity != "" {
			g.Expect(identities).NotTo(HaveKey(c.Identity))
			identities[c.Identity] = true
			g.Expect(c.BodyBytes).To(BeNumerically("<=", 4096))
		}
	}
	g.Expect(len(tr.Calls)).To(BeNumerically("~", 530, 120))
	g.Expect(overLimit).To(BeNumerically("~", 80, 40))
	g.Expect(onwardCalls).To(BeNumerically(">", 0))
	g.Expect(identities).NotTo(BeEmpty())
	g.Expect([]trace.EventKind{tr.Events[0].Kind, tr.Events[1].Kind}).
		To(Equal([]trace.EventKind{trace.KillNode, trace.RestartNode}))
}

// Guards against accepting an invalid trace, of which only a part could be replayed.
func TestInvalidTraces(t *testing.T) {
	g := NewWithT(t)
	call := trace.Call{ID: "a", Method: "GET", Path: "/", MaxAttempts: 1, AtUS: 10}
	valid := trace.Trace{Format: trace.FormatVersion, DurationMS: 1, Calls: []trace.Call{call}}
	g.Expect(valid.Check()).To(Succeed())
	changes := map[string]func(*trace.Trace){
		"format":   func(t *trace.Trace) { t.Format = 99 },
		"id":       func(t *trace.Trace) { t.Calls = append(t.Calls, call) },
		"time":     func(t *trace.Trace) { t.Calls[0].AtUS = 2000 },
		"attempts": func(t *trace.Trace) { t.Calls[0].MaxAttempts = 0 },
		"path":     func(t *trace.Trace) { t.Calls[0].Path = "x" },
		"length":   func(t *trace.Trace) { t.Calls[0].BodyBytes = -1 },
		"order": func(t *trace.Trace) {
			t.Calls = append(t.Calls, trace.Call{ID: "b", Method: "GET", Path: "/", MaxAttempts: 1})
		},
		"events": func(t *trace.Trace) { t.Events = []trace.Event{{AtMS: 2}, {AtMS: 1}} },
	}
	for name, invalidate := range changes {
		invalid := valid
		invalid.Calls = append([]trace.Call{}, valid.Calls...)
		invalidate(&invalid)
		g.Expect(invalid.Check()).To(MatchError(trace.ErrInvalid), name)
	}
	_, err := trace.Read(strings.NewReader(`{"format":1,"unknown":true}`))
	g.Expect(err).To(MatchError(trace.ErrInvalid))
}

// Guards against an empty trace instead of an error for an unusable profile.
func TestUnusableProfiles(t *testing.T) {
	g := NewWithT(t)
	_, err := trace.Generate(testProfile(), config.NewSet(config.Objects{}), 1)
	g.Expect(err).To(MatchError(trace.ErrUnusableProfile))
	o := testSet().Objects
	o.Keys = o.Keys[:2]
	_, err = trace.Generate(testProfile(), config.NewSet(o), 1)
	g.Expect(err).To(MatchError(trace.ErrUnusableProfile))
}
