package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

func start(t *testing.T, o upstream.Options) (s *upstream.Server, base string) {
	t.Helper()
	o.Address = "127.0.0.1:0"
	s = upstream.New(o)
	address, _, err := s.Listen()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	return s, "http://" + address
}

func call(ctx context.Context, t *testing.T, url, body string, headers ...string) (status int, answer []byte) {
	t.Helper()
	g := NewWithT(t)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, answer
}

func endings(s *upstream.Server) (out []upstream.Outcome) {
	for _, r := range s.Records() {
		out = append(out, r.Outcome)
	}
	return out
}

// Guards against a check that lets a crossed, mixed or short answer pass.
func TestAnswerIsCheckedByteForByte(t *testing.T) {
	g := NewWithT(t)
	token, err := upstream.CheckAnswer(upstream.AnswerBody("a-1", 1000), 1000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(token).To(Equal("a-1"))
	_, err = upstream.CheckAnswer(upstream.AnswerBody("a-1", 1000)[:999], 1000)
	g.Expect(err).To(MatchError(upstream.ErrTruncatedAnswer))
	mixed := slices.Concat(upstream.AnswerBody("a-1", 1000)[:500], upstream.AnswerBody("b-1", 1000)[500:])
	_, err = upstream.CheckAnswer(mixed, 1000)
	g.Expect(err).To(MatchError(upstream.ErrMismatchedAnswer))
	_, err = upstream.CheckAnswer(nil, 1000)
	g.Expect(err).To(MatchError(upstream.ErrTruncatedAnswer))
}

// Guards against a record that misses a call, a key or a damaged body.
func TestRecord(t *testing.T) {
	g := NewWithT(t)
	s, base := start(t, upstream.Options{Name: "u", DataCentre: "d", ForbiddenKeys: []string{"secret"}})
	status, answer := call(t.Context(), t, base+"/x", "body",
		upstream.HeaderToken, "tok", upstream.HeaderIdentity, "id", upstream.HeaderAnswerBytes, "300",
		upstream.HeaderBodyDigest, upstream.BodyDigest([]byte("body")), wire.HeaderTeam, "team", wire.HeaderDepth, "2")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(answer).To(Equal(upstream.AnswerBody("tok", 300)))
	call(t.Context(), t, base+"/x", "other", upstream.HeaderBodyDigest, upstream.BodyDigest([]byte("body")))
	call(t.Context(), t, base+"/x", "a secret body")
	call(t.Context(), t, base+"/x", "", "X-Forwarded", "secret")
	call(t.Context(), t, base+"/x", "", "Authorization", "Bearer anything")
	call(t.Context(), t, base+"/x?k=secret", "")
	records := s.Records()
	g.Expect(records).To(HaveLen(6))
	first := records[0]
	g.Expect(first.End).To(BeTemporally(">=", first.Start))
	g.Expect([]any{first.Token, first.Identity, first.Team, first.Depth, first.Outcome, first.KeySeen, first.BodyCorrupted}).
		To(Equal([]any{"tok", "id", "team", 2, upstream.OutcomeServed, false, false}))
	g.Expect(records[1].BodyCorrupted).To(BeTrue())
	for _, r := range records[2:] {
		g.Expect(r.KeySeen).To(BeTrue())
	}
}

// Guards against an upstream that bears more than its slots, or counts a refused call as run.
func TestSlots(t *testing.T) {
	g := NewWithT(t)
	s, base := start(t, upstream.Options{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go call(ctx, t, base+"/x", "", upstream.HeaderWork, "60000000")
	g.Eventually(s.Records).Should(HaveLen(1))
	status, _ := call(t.Context(), t, base+"/x", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	cancel()
	g.Eventually(func() []upstream.Outcome { return endings(s) }).
		Should(Equal([]upstream.Outcome{upstream.OutcomeCancelled, upstream.OutcomeShed}))
	records := s.Records()
	g.Expect(records[0].Ran()).To(BeTrue())
	g.Expect(records[1].Ran()).To(BeFalse())
	g.Expect(records[1].AboveLimit).To(BeTrue())
}

// Guards against a cold start that any load passes: pushed beyond it, the upstream falls over or crawls, and
// bears all slots after its ramp.
func TestColdStart(t *testing.T) {
	for _, mode := range []upstream.OverloadMode{upstream.FailOnOverload, upstream.SlowOnOverload} {
		t.Run(string(mode), func(t *testing.T) {
			g := NewWithT(t)
			clock := newClock()
			s, base := start(t, upstream.Options{Slots: 4, Now: clock.now, ColdStart: upstream.ColdStart{
				InitialConcurrency: 1, RampMS: 1000, OverloadMode: mode, RecoveryMS: 500,
			}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go call(ctx, t, base+"/x", "", upstream.HeaderWork, "60000000")
			g.Eventually(s.Records).Should(HaveLen(1))
			status, _ := call(t.Context(), t, base+"/x", "")
			g.Expect(status == http.StatusOK).To(Equal(mode == upstream.SlowOnOverload))
			g.Expect(s.Records()[1].AboveLimit).To(BeTrue())
			clock.move(499 * time.Millisecond)
			status, _ = call(t.Context(), t, base+"/x", "")
			g.Expect(status == http.StatusOK).To(Equal(mode == upstream.SlowOnOverload))
			clock.move(1001 * time.Millisecond)
			status, _ = call(t.Context(), t, base+"/x", "")
			g.Expect(status).To(Equal(http.StatusOK))
			s.MakeCold()
			g.Expect(load(t, base)).To(ContainSubstring(`"cold"`))
		})
	}
}

// Guards against deadlines that are not kept, drains that interrupt, and shedding that is not counted.
func TestDeadlineDrainAndShedding(t *testing.T) {
	g := NewWithT(t)
	s, base := start(t, upstream.Options{})
	status, _ := call(t.Context(), t, base+"/x", "", upstream.HeaderWork, "60000000", wire.HeaderDeadlineMS, "10")
	g.Expect(status).To(Equal(http.StatusGatewayTimeout))
	s.SetBehaviour(upstream.Behaviour{ShedEvery: 2})
	call(t.Context(), t, base+"/x", "")
	call(t.Context(), t, base+"/x", "")
	s.SetBehaviour(upstream.Behaviour{})
	finished := make(chan int)
	go func() {
		status, _ := call(t.Context(), t, base+"/x", "", upstream.HeaderWork, "200000")
		finished <- status
	}()
	g.Eventually(s.Records).Should(HaveLen(4))
	s.SetBehaviour(upstream.Behaviour{Draining: true})
	status, _ = call(t.Context(), t, base+"/x", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(finished).Should(Receive(Equal(http.StatusOK)))
	g.Expect(endings(s)).To(Equal([]upstream.Outcome{
		upstream.OutcomeDeadlineExceeded, upstream.OutcomeShed, upstream.OutcomeServed, upstream.OutcomeServed, upstream.OutcomeShed,
	}))
}

// Guards against reports that cannot lag or lie.
func TestReportsLagAndLie(t *testing.T) {
	g := NewWithT(t)
	clock := newClock()
	s, base := start(t, upstream.Options{Slots: 3, Now: clock.now})
	s.SetBehaviour(upstream.Behaviour{ReportLagMS: 1000})
	g.Expect(load(t, base)).To(ContainSubstring(`"serving"`))
	s.SetBehaviour(upstream.Behaviour{ReportLagMS: 1000, Draining: true})
	g.Expect(load(t, base)).To(ContainSubstring(`"serving"`))
	clock.move(time.Second)
	g.Expect(load(t, base)).To(ContainSubstring(`"draining"`))
	s.SetBehaviour(upstream.Behaviour{Draining: true, ReportOverride: &upstream.LoadReport{Slots: 99, State: "serving"}})
	g.Expect(load(t, base)).To(ContainSubstring(`"slots":99`))
}

// Guards against a chain that loses the call's context or accepts a wrong answer.
func TestChainKeepsContext(t *testing.T) {
	g := NewWithT(t)
	next, nextBase := start(t, upstream.Options{Name: "next"})
	_, base := start(t, upstream.Options{Name: "first", LocalAddress: strings.TrimPrefix(nextBase, "http://")})
	status, _ := call(t.Context(), t, base+"/a", "", upstream.HeaderToken, "tok", upstream.HeaderIdentity, "id",
		upstream.HeaderChain, "POST /b,GET /c", wire.HeaderTeam, "team", wire.HeaderDepth, "4",
		wire.HeaderRetriesLeft, "2", wire.HeaderDeadlineMS, "60000")
	g.Expect(status).To(Equal(http.StatusOK))
	r := next.Records()[0]
	g.Expect([]any{r.Method, r.Path, r.Token, r.Identity, r.Team, r.Depth}).
		To(Equal([]any{"POST", "/b", "tok/", "id/", "team", 4}))
	g.Expect(next.Close()).To(Succeed())
	status, _ = call(t.Context(), t, base+"/a", "", upstream.HeaderChain, "GET /c")
	g.Expect(status).To(Equal(http.StatusBadGateway))
}

// Guards against a connection limit that is not kept, or whose places are not returned.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	_, base := start(t, upstream.Options{MaxConnections: 1})
	address := strings.TrimPrefix(base, "http://")
	holder, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return refused(address) }).Should(MatchError(io.EOF))
	g.Expect(holder.Close()).To(Succeed())
	g.Eventually(func() error { return refused(address) }).ShouldNot(HaveOccurred())
}

// refused returns an error when the upstream closes a new connection at once.
func refused(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /load HTTP/1.0\r\n\r\n"); err != nil {
		return io.EOF
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return io.EOF
	}
	return nil
}

func load(t *testing.T, base string) string {
	t.Helper()
	response, err := http.Get(base + upstream.PathLoad)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return string(body)
}
