package mesh

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
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
