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

// startUpstream starts an upstream on a free loopback port and returns it with its base URL.
func startUpstream(t *testing.T, o upstream.Options) (s *upstream.Server, base string) {
	t.Helper()
	o.Address = "127.0.0.1:0"
	s = upstream.New(o)
	address, _, err := s.Listen()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	return s, "http://" + address
}

// postCall sends a POST request with headers, given as alternating names and values. The status is 0 if no response
// arrives.
func postCall(ctx context.Context, t *testing.T, url, body string, headers ...string) (status int, answer []byte) {
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

// outcomes returns the outcomes of all calls in order of arrival.
func outcomes(s *upstream.Server) (list []upstream.Outcome) {
	for _, r := range s.Records() {
		list = append(list, r.Outcome)
	}
	return list
}

// Guards against CheckAnswer accepting an answer that is truncated or mixes the answers for two tokens.
func TestCheckAnswerComparesEveryByte(t *testing.T) {
	g := NewWithT(t)
	token, err := upstream.CheckAnswer(upstream.AnswerBody("a-1", 1000), 1000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(token).To(Equal("a-1"))
	_, err = upstream.CheckAnswer(upstream.AnswerBody("a-1", 1000)[:999], 1000)
	g.Expect(err).To(MatchError(upstream.ErrTruncatedAnswer))
	mixture := slices.Concat(upstream.AnswerBody("a-1", 1000)[:500], upstream.AnswerBody("b-1", 1000)[500:])
	_, err = upstream.CheckAnswer(mixture, 1000)
	g.Expect(err).To(MatchError(upstream.ErrMismatchedAnswer))
	_, err = upstream.CheckAnswer(nil, 1000)
	g.Expect(err).To(MatchError(upstream.ErrTruncatedAnswer))
}

// Guards against records that miss a call, a forbidden key or a body that does not match its digest.
func TestRecordDescribesEachCall(t *testing.T) {
	g := NewWithT(t)
	s, base := startUpstream(t, upstream.Options{Name: "u", DataCentre: "d", ForbiddenKeys: []string{"secret"}})
	status, answer := postCall(t.Context(), t, base+"/x", "body",
		upstream.HeaderToken, "tok", upstream.HeaderIdentity, "id", upstream.HeaderAnswerBytes, "300",
		upstream.HeaderBodyDigest, upstream.BodyDigest([]byte("body")), wire.HeaderTeam, "team", wire.HeaderDepth, "2")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(answer).To(Equal(upstream.AnswerBody("tok", 300)))
	postCall(t.Context(), t, base+"/x", "other", upstream.HeaderBodyDigest, upstream.BodyDigest([]byte("body")))
	postCall(t.Context(), t, base+"/x", "a secret body")
	postCall(t.Context(), t, base+"/x", "", "X-Forwarded", "secret")
	postCall(t.Context(), t, base+"/x", "", "Authorization", "Bearer anything")
	postCall(t.Context(), t, base+"/x?k=secret", "")
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

// Guards against an upstream that works on more calls than it has slots, or records a refused call as run.
func TestSlotsLimitConcurrentCalls(t *testing.T) {
	g := NewWithT(t)
	s, base := startUpstream(t, upstream.Options{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go postCall(ctx, t, base+"/x", "", upstream.HeaderWork, "60000000")
	g.Eventually(s.Records).Should(HaveLen(1))
	status, _ := postCall(t.Context(), t, base+"/x", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	cancel()
	g.Eventually(func() []upstream.Outcome { return outcomes(s) }).
		Should(Equal([]upstream.Outcome{upstream.OutcomeCancelled, upstream.OutcomeShed}))
	records := s.Records()
	g.Expect(records[0].Ran()).To(BeTrue())
	g.Expect(records[1].Ran()).To(BeFalse())
	g.Expect(records[1].AboveLimit).To(BeTrue())
}

// Guards against a cold upstream that handles any load. When overloaded, it must fail or work slowly as the overload
// mode says, and it must serve calls again after the recovery and the warm-up.
func TestColdStartLimitsConcurrentCalls(t *testing.T) {
	for _, mode := range []upstream.OverloadMode{upstream.FailOnOverload, upstream.SlowOnOverload} {
		t.Run(string(mode), func(t *testing.T) {
			g := NewWithT(t)
			clock := newTestClock()
			s, base := startUpstream(t, upstream.Options{Slots: 4, Now: clock.now, ColdStart: upstream.ColdStart{
				InitialConcurrency: 1, RampMS: 1000, OverloadMode: mode, RecoveryMS: 500,
			}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go postCall(ctx, t, base+"/x", "", upstream.HeaderWork, "60000000")
			g.Eventually(s.Records).Should(HaveLen(1))
			status, _ := postCall(t.Context(), t, base+"/x", "")
			g.Expect(status == http.StatusOK).To(Equal(mode == upstream.SlowOnOverload))
			g.Expect(s.Records()[1].AboveLimit).To(BeTrue())
			clock.advance(499 * time.Millisecond)
			status, _ = postCall(t.Context(), t, base+"/x", "")
			g.Expect(status == http.StatusOK).To(Equal(mode == upstream.SlowOnOverload))
			clock.advance(1001 * time.Millisecond)
			status, _ = postCall(t.Context(), t, base+"/x", "")
			g.Expect(status).To(Equal(http.StatusOK))
			s.MakeCold()
			g.Expect(getLoadReport(t, base)).To(ContainSubstring(`"cold"`))
		})
	}
}

// Guards against a call that runs beyond its deadline, draining that interrupts a running call, and refused calls
// without a record.
func TestDeadlineDrainingAndShedding(t *testing.T) {
	g := NewWithT(t)
	s, base := startUpstream(t, upstream.Options{})
	status, _ := postCall(t.Context(), t, base+"/x", "", upstream.HeaderWork, "60000000", wire.HeaderDeadlineMS, "10")
	g.Expect(status).To(Equal(http.StatusGatewayTimeout))
	s.SetBehaviour(upstream.Behaviour{ShedEvery: 2})
	postCall(t.Context(), t, base+"/x", "")
	postCall(t.Context(), t, base+"/x", "")
	s.SetBehaviour(upstream.Behaviour{})
	finished := make(chan int)
	go func() {
		status, _ := postCall(t.Context(), t, base+"/x", "", upstream.HeaderWork, "200000")
		finished <- status
	}()
	g.Eventually(s.Records).Should(HaveLen(4))
	s.SetBehaviour(upstream.Behaviour{Draining: true})
	status, _ = postCall(t.Context(), t, base+"/x", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(finished).Should(Receive(Equal(http.StatusOK)))
	g.Expect(outcomes(s)).To(Equal([]upstream.Outcome{
		upstream.OutcomeDeadlineExceeded, upstream.OutcomeShed, upstream.OutcomeServed, upstream.OutcomeServed, upstream.OutcomeShed,
	}))
}

// Guards against load reports that ignore Behaviour.ReportLagMS or Behaviour.ReportOverride.
func TestLoadReportDelayAndOverride(t *testing.T) {
	g := NewWithT(t)
	clock := newTestClock()
	s, base := startUpstream(t, upstream.Options{Slots: 3, Now: clock.now})
	s.SetBehaviour(upstream.Behaviour{ReportLagMS: 1000})
	g.Expect(getLoadReport(t, base)).To(ContainSubstring(`"serving"`))
	s.SetBehaviour(upstream.Behaviour{ReportLagMS: 1000, Draining: true})
	g.Expect(getLoadReport(t, base)).To(ContainSubstring(`"serving"`))
	clock.advance(time.Second)
	g.Expect(getLoadReport(t, base)).To(ContainSubstring(`"draining"`))
	s.SetBehaviour(upstream.Behaviour{Draining: true, ReportOverride: &upstream.LoadReport{Slots: 99, State: "serving"}})
	g.Expect(getLoadReport(t, base)).To(ContainSubstring(`"slots":99`))
}

// Guards against an onward call that loses the context of the call, and against success of a call whose onward call
// failed.
func TestOnwardCallKeepsContext(t *testing.T) {
	g := NewWithT(t)
	next, nextBase := startUpstream(t, upstream.Options{Name: "next"})
	_, base := startUpstream(t, upstream.Options{Name: "first", LocalAddress: strings.TrimPrefix(nextBase, "http://")})
	status, _ := postCall(t.Context(), t, base+"/a", "", upstream.HeaderToken, "tok", upstream.HeaderIdentity, "id",
		upstream.HeaderChain, "POST /b,GET /c", wire.HeaderTeam, "team", wire.HeaderDepth, "4",
		wire.HeaderRetriesLeft, "2", wire.HeaderDeadlineMS, "60000")
	g.Expect(status).To(Equal(http.StatusOK))
	r := next.Records()[0]
	g.Expect([]any{r.Method, r.Path, r.Token, r.Identity, r.Team, r.Depth}).
		To(Equal([]any{"POST", "/b", "tok/", "id/", "team", 4}))
	g.Expect(next.Close()).To(Succeed())
	status, _ = postCall(t.Context(), t, base+"/a", "", upstream.HeaderChain, "GET /c")
	g.Expect(status).To(Equal(http.StatusBadGateway))
}

// Guards against an upstream that accepts more connections than its limit, or still counts closed connections.
func TestConnectionLimitAndRelease(t *testing.T) {
	g := NewWithT(t)
	_, base := startUpstream(t, upstream.Options{MaxConnections: 1})
	address := strings.TrimPrefix(base, "http://")
	openConn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return tryConnection(address) }).Should(MatchError(io.EOF))
	g.Expect(openConn.Close()).To(Succeed())
	g.Eventually(func() error { return tryConnection(address) }).ShouldNot(HaveOccurred())
}

// tryConnection opens a connection and sends a request. It returns io.EOF if the upstream closes the connection without
// a response.
func tryConnection(address string) error {
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

// getLoadReport returns the JSON body of the load endpoint.
func getLoadReport(t *testing.T, base string) string {
	t.Helper()
	response, err := http.Get(base + upstream.PathLoad)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return string(body)
}
