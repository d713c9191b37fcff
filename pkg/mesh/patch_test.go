package mesh

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// A follower must get the very bytes of the next value, whatever the two values have in common.
func TestAPatchGivesTheNextValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"a}", "b},", "},", "c", "", "a},b},", "{"})
		old := strings.Join(rapid.SliceOf(part).Draw(t, "old"), "")
		next := strings.Join(rapid.SliceOf(part).Draw(t, "next"), "")
		got, ok := applyPatch(old, makePatch(old, next))
		if !ok || got != next {
			t.Fatalf("old %q, next %q: patch gives %q", old, next, got)
		}
	})
}

func TestAPatchForAnotherValueIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, ok := applyPatch("a", makePatch("a},b},c},", "b},c},"))
	g.Expect(ok).To(BeFalse())
}
