package operator_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
)

// Guards against a status that is taken from a malformed response.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for _, text := range responsetest.Malformed(`{"upstream":"leaked"}`) {
		server := responsetest.Serve(t, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
		status, err := operator.NewClient(time.Second).Status(server.Address)
		if err == nil {
			t.Errorf("%q was taken for an answer: %v", text, status)
			continue
		}
		NewWithT(t).Expect(err).To(MatchError(operator.ErrNoAnswer))
	}
}

// Guards against a response without end that uses up the memory of the operator's machine or keeps the command waiting.
func TestEndlessResponseIsNoAnswer(t *testing.T) {
	const timeout, maxDelay, maxMemory = 500 * time.Millisecond, 300 * time.Millisecond, 32 << 20
	for name, endless := range responsetest.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := responsetest.Serve(t, endless.Write)
			started := time.Now()
			peak := responsetest.PeakMemory(func() {
				_, err := operator.NewClient(timeout).BurnReport(server.Address)
				g.Expect(err).To(MatchError(operator.ErrNoAnswer))
			})
			g.Expect(time.Since(started)).To(BeNumerically("<", timeout+maxDelay))
			g.Expect(peak).To(BeNumerically("<", maxMemory), "bytes of memory")
		})
	}
}
