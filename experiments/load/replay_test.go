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

// fakeNode answers requests in order with what respond returns; an empty answer closes the connection.
type fakeNode struct {
	Node
	mu   sync.Mutex
	seen []http.Header
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
		f.seen = append(f.seen, r.Header.Clone())
		n := len(f.seen)
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
	return append([]http.Header{}, f.seen...)
}

func ok(r *http.Request) string {
	body := upstream.AnswerBody(r.Header.Get(upstream.HeaderToken), answerBytes)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func refusal(status int, kind wire.ErrorKind, ran string) string {
	body := fmt.Sprintf(`{"error":{"kind":%q,"ran":%q}}`, kind, ran)
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func testCaller(t *testing.T, nodes ...*fakeNode) *caller {
	c := &caller{client: newClient(), secret: "s", limit: 5 * time.Second, retryFor: time.Minute, sleep: func(time.Duration) {}}
	for _, n := range nodes {
		c.nodes = append(c.nodes, n.Node)
	}
	t.Cleanup(c.client.close)
	return c
}

func order() *trace.Call {
	return &trace.Call{
		ID: "o-1", KeyID: "k", Route: "order", Method: http.MethodPost, Path: "/o", BodyBytes: 50, AnswerBytes: answerBytes,
		Identity: "id-1", MaxAttempts: 2,
	}
}

func page() *trace.Call {
	return &trace.Call{ID: "p-1", KeyID: "k", Route: "page", Method: http.MethodGet, Path: "/p", AnswerBytes: answerBytes, MaxAttempts: 3}
}

// Guards against requests that a library repeats by itself: a connection that closes without an answer, new or
// kept, must show as one attempt with an unknown outcome.
func TestNoAutomaticRepeat(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			node := startNode(t, "n", func(n int, r *http.Request) string {
				if kept && n == 1 {
					return ok(r)
				}
				return ""
			})
			c := testCaller(t, node)
			single := page()
			single.MaxAttempts = 1
			if kept {
				g.Expect(c.run(single).LastAttempt().Kind).To(Equal(KindServed))
			}
			before := len(node.requests())
			result := c.run(single)
			g.Expect(node.requests()).To(HaveLen(before + 1))
			g.Expect([]any{result.LastAttempt().Kind, result.LastAttempt().Ran}).To(Equal([]any{KindNoAnswer, RanUnknown}))
		})
	}
}

// Guards against an order that is repeated under another identity, without a raised attempt, or after a
// refusal that is final.
func TestOrdersAreRepeatedByTheRules(t *testing.T) {
	g := NewWithT(t)
	answers := func(first string) *fakeNode {
		return startNode(t, "n", func(n int, r *http.Request) string {
			if n == 1 {
				return first
			}
			return ok(r)
		})
	}
	repeated := map[string]string{
		"not run": refusal(503, wire.KindOverloaded, RanNo),
		"unknown": refusal(504, wire.KindOutcomeUnknown, RanUnknown),
		"closed":  "",
	}
	for name, first := range repeated {
		node := answers(first)
		g.Expect(testCaller(t, node).run(order()).LastAttempt().Kind).To(Equal(KindServed), name)
		seen := node.requests()
		g.Expect(seen).To(HaveLen(2), name)
		g.Expect([]string{seen[0].Get(wire.HeaderAttempt), seen[1].Get(wire.HeaderAttempt)}).To(Equal([]string{"1", "2"}))
		g.Expect(seen[1].Get(wire.HeaderIdempotencyKey)).To(Equal("id-1"))
		g.Expect(seen[1].Get(upstream.HeaderBodyDigest)).To(Equal(seen[0].Get(upstream.HeaderBodyDigest)))
	}
	for _, final := range []string{
		refusal(429, wire.KindTeamRateExceeded, RanNo),
		refusal(403, wire.KindKeyWithdrawn, RanNo),
		refusal(409, wire.KindDuplicateRequest, RanUnknown),
	} {
		node := answers(final)
		g.Expect(testCaller(t, node).run(order()).Attempts).To(HaveLen(1))
		g.Expect(node.requests()).To(HaveLen(1))
	}
}

// Guards against a request that was never sent but counts as an attempt: the next node must see attempt 1.
func TestUnreachableNodeIsNoAttempt(t *testing.T) {
	g := NewWithT(t)
	node := startNode(t, "up", func(_ int, r *http.Request) string { return ok(r) })
	c := testCaller(t, node)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	c.nodes = append([]Node{{Name: "down", CallerAddress: ln.Addr().String()}}, c.nodes...)
	g.Expect(ln.Close()).To(Succeed())
	result := c.run(order())
	g.Expect(result.Attempts[0].Kind).To(Equal(KindNotSent))
	g.Expect(result.LastAttempt().Kind).To(Equal(KindServed))
	g.Expect(node.requests()[0].Get(wire.HeaderAttempt)).To(Equal("1"))
	// The record of the call that was sent must not be taken for one of the attempt that was not.
	g.Expect(result.LastAttempt().Token).NotTo(Equal(result.Attempts[0].Token))
}

// Guards against the rest of an answer on a kept connection that is taken for the next one.
func TestUnreadDataIsNotReused(t *testing.T) {
	g := NewWithT(t)
	node := startNode(t, "n", func(n int, r *http.Request) string {
		if n == 1 {
			return ok(r) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		return ok(r)
	})
	c := testCaller(t, node)
	g.Expect(c.run(page()).LastAttempt().Defect).To(Equal(NoDefect))
	g.Expect(c.run(page()).LastAttempt().Defect).To(Equal(NoDefect))
}

type actor struct{ events chan trace.Event }

func (a actor) Execute(_ context.Context, e trace.Event) (EventResult, error) {
	a.events <- e
	return EventResult{Event: e}, errors.New("planted")
}

// Guards against a replay that leaves out calls or events, or hides a failed event.
func TestReplay(t *testing.T) {
	g := NewWithT(t)
	node := startNode(t, "n", func(_ int, r *http.Request) string { return ok(r) })
	tr := &trace.Trace{
		Format: trace.FormatVersion, DurationMS: 20, Calls: []trace.Call{*order(), *page()},
		Events: []trace.Event{{AtMS: 1, Kind: trace.KillNode, Target: "n"}},
	}
	a := actor{events: make(chan trace.Event, 1)}
	options := Options{Trace: tr, Nodes: []Node{node.Node}, Secrets: map[string]string{"k": "s"}, EventExecutor: a}
	r, err := NewReplay(options)
	g.Expect(err).NotTo(HaveOccurred())
	results, moves, err := r.Run(t.Context())
	g.Expect(err).To(MatchError("planted"))
	g.Expect(results).To(HaveLen(2))
	g.Expect(moves).To(HaveLen(1))
	g.Expect(a.events).To(Receive(Equal(tr.Events[0])))
	g.Expect(r.Progress.Served.Load()).To(BeEquivalentTo(2))
	options.Secrets = nil
	_, err = NewReplay(options)
	g.Expect(err).To(MatchError(ErrInvalidOptions))
}
