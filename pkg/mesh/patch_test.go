package mesh

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
)

// Applying a patch produces exactly the next value, whatever the two values have in common.
func TestPatchProducesNextValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a}", "b},", "},", "c", "", "a},b},", "{"})
		old := strings.Join(rapid.SliceOf(part).Draw(t, "old"), "")
		next := strings.Join(rapid.SliceOf(part).Draw(t, "next"), "")
		got, ok := applyPatch(old, makePatch(old, next))
		if !ok || got != next {
			t.Fatalf("old %q, next %q: the patch produces %q", old, next, got)
		}
	})
}

func TestPatchForAnotherValueIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, ok := applyPatch("a", makePatch("a},b},c},", "b},c},"))
	g.Expect(ok).To(BeFalse())
}

// Guards against a patch that ends the process: one whose numbers overflow, or one that copies a large value again and again. What answers
// at the address of a node may not be one.
func TestPatchWithoutBoundIsRefused(t *testing.T) {
	old := strings.Repeat("a", 1<<20) + "}," + "b"
	for name, patch := range map[string][]PatchStep{
		"index overflows": {{From: math.MaxInt, Count: 1}}, "count overflows": {{From: 1, Count: math.MaxInt}},
		"index behind the end": {{From: 3}}, "negative": {{From: -1, Count: 1}},
		"large copies": slices.Repeat([]PatchStep{{From: 0, Count: 1}}, 1000),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			peak := responsetest.PeakMemory(func() {
				_, ok := applyPatch(old, patch)
				g.Expect(ok).To(BeFalse())
			})
			g.Expect(peak).To(BeNumerically("<", 4*maxPatchedBytes), "bytes of memory")
		})
	}
}

// BenchmarkMakePatch measures a patch for a configuration of about 120 KB in which one route, or every route, changed.
func BenchmarkMakePatch(b *testing.B) {
	const routes = 820
	value := func(timeout func(route int) int) string {
		var text strings.Builder
		for i := range routes {
			fmt.Fprintf(&text, `{"name":"r-%d","prefix":"/leny%d/","kind":"idempotent","timeout_s":%d.5,"target_latency_s":0.4,"priority":2,`+
				`"service":"svc%d","max_attempts":2},`, i, i, timeout(i), i%4)
		}
		return text.String()
	}
	old := value(func(int) int { return 1 })
	for name, next := range map[string]string{
		"one": value(func(route int) int { return 1 + route/(routes-1) }),
		"all": value(func(int) int { return 2 }),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				makePatch(old, next)
			}
		})
	}
}
