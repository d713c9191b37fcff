package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

const answerBytes = 100

// fakeNode answers each request with the text that respond returns; for an empty text it closes the connection. It
// records the headers of the requests.
type fakeNode struct {
	Node
	mu       sync.Mutex
	received []http.Header
}

func startNode(t *testing.T, name string, respond func(n int, r *http.Request) string) *fakeNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	f := &fakeNode{Node: Node{Name: name, CallerAddress: ln.Addr().String()}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(c, respond)
		}
	}()
	return f
}

func (f *fakeNode) serve(c net.Conn, respond func(n int, r *http.Request) string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		f.mu.Lock()
		f.received = append(f.received, r.Header.Clone())
		n := len(f.received)
		f.mu.Unlock()
		answer := respond(n, r)
		if answer == "" {
			return
		}
		_, _ = fmt.Fprint(c, answer)
	}
}

func (f *fakeNode) requests() []http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]http.Header{}, f.received...)
}

func okResponse(r *http.Request) string {
	body := upstream.AnswerBody(r.Header.Get(upstream.HeaderToken), answerBytes)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func refusalResponse(status int, kind wire.ErrorKind, ran string) string {
	body := fmt.Sprintf(`{"error":{"kind":%q,"ran":%q}}`, kind, ran)
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func newTestCaller(t *testing.T, nodes ...*fakeNode) *caller {
	c := &caller{
		client: newClient(), secret: "s", attemptTimeout: 5 * time.Second, retryFor: time.Minute,
		sleep: func(time.Duration) {},
	}
	for _, n := range nodes {
		c.nodes = append(c.nodes, n.Node)
	}
	t.Cleanup(c.client.close)
	return c
}

func nonIdempotentCall() *trace.Call {
	return &trace.Call{
		ID: "o-1", KeyID: "k", Route: "order", Method: http.MethodPost, Path: "/o", BodyBytes: 50, AnswerBytes: answerBytes,
		Identity: "id-1", MaxAttempts: 2,
	}
}

func idempotentCall() *trace.Call {
	return &trace.Call{
		ID: "p-1", KeyID: "k", Route: "page", Method: http.MethodGet, Path: "/p", AnswerBytes: answerBytes, MaxAttempts: 3,
	}
}

// Guards against an HTTP library that retries requests by itself: if the node closes a new or a reused connection
// without an answer, the caller must see one attempt with an unknown outcome.
func TestClientDoesNotRetry(t *testing.T) {
	for name, reused := range map[string]bool{"new connection": false, "reused connection": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			node := startNode(t, "n", func(n int, r *http.Request) string {
				if reused && n == 1 {
					return okResponse(r)
				}
				return ""
			})
			c := newTestCaller(t, node)
			single := idempotentCall()
			single.MaxAttempts = 1
			if reused {
				g.Expect(c.callWithRetries(single).LastAttempt().Kind).To(Equal(KindServed))
			}
			before := len(node.requests())
			result := c.callWithRetries(single)
			g.Expect(node.requests()).To(HaveLen(before + 1))
			g.Expect([]any{result.LastAttempt().Kind, result.LastAttempt().Ran}).To(Equal([]any{KindNoAnswer, RanUnknown}))
		})
	}
}

// Guards against retries of a non-idempotent call with another identity, another body or the same attempt number, and
// against retries after a final refusal.
func TestRetriesOfNonIdempotentCall(t *testing.T) {
	g := NewWithT(t)
	startNodeWithFirstResponse := func(firstResponse string) *fakeNode {
		return startNode(t, "n", func(n int, r *http.Request) string {
			if n == 1 {
				return firstResponse
			}
			return okResponse(r)
		})
	}
	retriedResponses := map[string]string{
		"not run": refusalResponse(503, wire.KindOverloaded, RanNo),
		"unknown": refusalResponse(504, wire.KindOutcomeUnknown, RanUnknown),
		"closed":  "",
	}
	for name, firstResponse := range retriedResponses {
		node := startNodeWithFirstResponse(firstResponse)
		g.Expect(newTestCaller(t, node).callWithRetries(nonIdempotentCall()).LastAttempt().Kind).To(Equal(KindServed), name)
		seen := node.requests()
		g.Expect(seen).To(HaveLen(2), name)
		g.Expect([]string{seen[0].Get(wire.HeaderAttempt), seen[1].Get(wire.HeaderAttempt)}).To(Equal([]string{"1", "2"}))
		g.Expect(seen[1].Get(wire.HeaderIdempotencyKey)).To(Equal("id-1"))
		g.Expect(seen[1].Get(upstream.HeaderBodyDigest)).To(Equal(seen[0].Get(upstream.HeaderBodyDigest)))
	}
	for _, finalResponse := range []string{
		refusalResponse(429, wire.KindTeamRateExceeded, RanNo),
		refusalResponse(403, wire.KindKeyWithdrawn, RanNo),
		refusalResponse(409, wire.KindDuplicateRequest, RanUnknown),
	} {
		node := startNodeWithFirstResponse(finalResponse)
		g.Expect(newTestCaller(t, node).callWithRetries(nonIdempotentCall()).Attempts).To(HaveLen(1))
		g.Expect(node.requests()).To(HaveLen(1))
	}
}

// Guards against an attempt that was never sent but raises the attempt number: the next node must see attempt 1.
func TestUnreachableNodeDoesNotCountAsAttempt(t *testing.T) {
	g := NewWithT(t)
	node := startNode(t, "up", func(_ int, r *http.Request) string { return okResponse(r) })
	c := newTestCaller(t, node)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	c.nodes = append([]Node{{Name: "down", CallerAddress: ln.Addr().String()}}, c.nodes...)
	g.Expect(ln.Close()).To(Succeed())
	result := c.callWithRetries(nonIdempotentCall())
	g.Expect(result.Attempts[0].Kind).To(Equal(KindNotSent))
	g.Expect(result.LastAttempt().Kind).To(Equal(KindServed))
	g.Expect(node.requests()[0].Get(wire.HeaderAttempt)).To(Equal("1"))
	// With equal tokens, the record of the attempt that was sent would also match the attempt that was not sent.
	g.Expect(result.LastAttempt().Token).NotTo(Equal(result.Attempts[0].Token))
}

// Guards against unread data on a reused connection that is read as the answer to the next request.
func TestConnectionWithUnreadDataIsNotReused(t *testing.T) {
	g := NewWithT(t)
	node := startNode(t, "n", func(n int, r *http.Request) string {
		if n == 1 {
			return okResponse(r) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		return okResponse(r)
	})
	c := newTestCaller(t, node)
	g.Expect(c.callWithRetries(idempotentCall()).LastAttempt().Defect).To(Equal(NoDefect))
	g.Expect(c.callWithRetries(idempotentCall()).LastAttempt().Defect).To(Equal(NoDefect))
}

// failingExecutor sends each event to a channel and returns an error.
type failingExecutor struct{ events chan trace.Event }

func (a failingExecutor) Execute(_ context.Context, e trace.Event) (EventResult, error) {
	a.events <- e
	return EventResult{Event: e}, errors.New("event failed")
}

// Guards against a replay that omits calls or events, or that does not return the error of a failed event.
func TestReplay(t *testing.T) {
	g := NewWithT(t)
	node := startNode(t, "n", func(_ int, r *http.Request) string { return okResponse(r) })
	tr := &trace.Trace{
		Format: trace.FormatVersion, DurationMS: 20, Calls: []trace.Call{*nonIdempotentCall(), *idempotentCall()},
		Events: []trace.Event{{AtMS: 1, Kind: trace.KillNode, Target: "n"}},
	}
	executor := failingExecutor{events: make(chan trace.Event, 1)}
	options := Options{Trace: tr, Nodes: []Node{node.Node}, Secrets: map[string]string{"k": "s"}, EventExecutor: executor}
	r, err := NewReplay(options)
	g.Expect(err).NotTo(HaveOccurred())
	results, eventResults, err := r.Run(t.Context())
	g.Expect(err).To(MatchError("event failed"))
	g.Expect(results).To(HaveLen(2))
	g.Expect(eventResults).To(HaveLen(1))
	g.Expect(executor.events).To(Receive(Equal(tr.Events[0])))
	g.Expect(r.Progress.Served.Load()).To(BeEquivalentTo(2))
	options.Secrets = nil
	_, err = NewReplay(options)
	g.Expect(err).To(MatchError(ErrInvalidOptions))
}
