package consistency

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against using a value that is not the sender's: one that was built on another value, that nobody checked or that
// turned out different.
func TestOnlyCheckedDifferencesAreValid(t *testing.T) {
	for name, c := range map[string]struct {
		difference Difference
		verdict    Verdict
	}{
		"fits":                     {Difference{Base: 1, Known: 1, Applicable: true, Stated: 2, Built: 2}, Valid},
		"for another value":        {Difference{Base: 1, Known: 3, Applicable: true, Stated: 2, Built: 2}, WrongBase},
		"for a value not had":      {Difference{Applicable: true, Stated: 2, Built: 2}, WrongBase},
		"repeated":                 {Difference{Base: 1, Known: 2, Applicable: true, Stated: 2, Built: 4}, WrongBase},
		"without a digest":         {Difference{Base: 1, Known: 1, Applicable: true, Built: 2}, Unchecked},
		"another result":           {Difference{Base: 1, Known: 1, Applicable: true, Stated: 2, Built: 4}, WrongResult},
		"parts that don't exist":   {Difference{Base: 1, Known: 1, Stated: 2}, WrongResult},
		"for and of another value": {Difference{Base: 5, Known: 1, Applicable: true, Stated: 2, Built: 4}, WrongBase},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.difference.Check()).To(Equal(c.verdict))
			g.Expect(c.verdict.String()).NotTo(BeEmpty())
		})
	}
}
