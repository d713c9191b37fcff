package response_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
)

// Guards against a body whose elements take much more memory than their text, and against refusing the entries of a mesh of 470 upstreams,
// or texts that contain commas.
func TestDecodedElementsAreBounded(t *testing.T) {
	g := NewWithT(t)
	entries := make([]string, 0, 470)
	for i := range 470 {
		entries = append(entries, fmt.Sprintf(`{"key":"servers/i-%d","value":"%s","revision":%d,"created_rev":1,"lease":0}`, i, strings.Repeat(`,\",\\`, 200), i))
	}
	var list []map[string]any
	g.Expect(response.DecodeJSON([]byte("["+strings.Join(entries, ",")+"]"), &list)).To(Succeed())
	g.Expect(list).To(HaveLen(470))
	var empty []struct{ A, B, C string }
	body := []byte("[" + strings.Repeat("{},", 1<<20) + "{}]")
	peak := responsetest.PeakMemory(func() { g.Expect(response.DecodeJSON(body, &empty)).To(MatchError(response.ErrTooManyElements)) })
	g.Expect(peak).To(BeNumerically("<", 8<<20), "bytes of memory")
	g.Expect(response.DecodeJSON([]byte(`{"a":`), &list)).NotTo(Succeed())
}
