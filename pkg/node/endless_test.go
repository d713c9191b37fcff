package node

import (
	"bytes"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
)

// maxNodeMemory is the memory in bytes that a node of the target size may take.
const maxNodeMemory = 128 << 20

// Guards against an upstream whose responses do not end and use up the memory of the VM together, although each is bounded, and against
// calls of others that fail meanwhile.
func TestEndlessResponsesLeaveMemoryForOthers(t *testing.T) {
	const endlessCalls, otherCalls = 32, 200
	g := NewWithT(t)
	faults := slices.Collect(maps.Values(responsetest.EndlessResponses()))
	n, stop, ended := start(g, func(ctx *fasthttp.RequestCtx) {
		number := len(ctx.Path()) - len("/shop/endless/")
		if number < 0 {
			ctx.SetBodyString("whole")
			return
		}
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { faults[number%len(faults)].Write(c) })
	}, &bytes.Buffer{})
	peak := responsetest.PeakMemory(func() {
		var calling sync.WaitGroup
		for i := range endlessCalls {
			calling.Go(func() {
				resp, err := get(n.settings.CallerAddress, "/shop/endless/"+strings.Repeat("x", i), key+"Bamboodeal-Deadline-Ms: 2000\r\n")
				if err != nil || resp.StatusCode() < fasthttp.StatusInternalServerError {
					t.Errorf("endless response %d: %v, %v", i, resp, err)
				}
			})
		}
		for range otherCalls {
			resp, err := get(n.settings.CallerAddress, "/shop/other", key)
			g.Expect(expectWhole(resp, err)).To(Succeed())
			time.Sleep(5 * time.Millisecond)
		}
		calling.Wait()
	})
	t.Logf("%d MB at the peak", peak>>20)
	g.Expect(peak).To(BeNumerically("<", maxNodeMemory), "bytes of memory")
	stop()
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}
