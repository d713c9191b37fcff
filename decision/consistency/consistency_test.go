package consistency

import (
	"testing"
	"time"

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

// Guards against a node that takes another one's progress for a difference, and against one that misses a difference.
func TestContentsAreComparedAtTheSameRevision(t *testing.T) {
	g := NewWithT(t)
	own := Contents{Era: 1, Revision: 7, Digest: 5}
	g.Expect(own.DifferFrom(Contents{Era: 1, Revision: 7, Digest: 6})).To(BeTrue())
	for _, other := range []Contents{
		own, {Era: 2, Revision: 7, Digest: 6}, {Era: 1, Revision: 8, Digest: 6}, {Era: 1, Revision: 6, Digest: 6}, {Era: 1, Revision: 7},
	} {
		g.Expect(own.DifferFrom(other)).To(BeFalse())
		g.Expect(other.DifferFrom(own)).To(BeFalse())
	}
}

// Guards against a node that trusts what another node gave it, and against a read of everything with each message of a node
// that stays wrong, also while the store is out of reach.
func TestStoreDecidesWhichContentsAreRight(t *testing.T) {
	g := NewWithT(t)
	var a Arbiter
	a.RecordWhole(0, false)
	g.Expect(a.RecordDispute(time.Second)).To(BeTrue())
	g.Expect(a.RecordDispute(2*time.Second)).To(BeTrue(), "nothing has been read yet")
	a.RecordWhole(3*time.Second, true)
	g.Expect(a.RecordDispute(4*time.Second)).To(BeFalse(), "the store has just answered")
	g.Expect(a.RecordDispute(3*time.Second + rereadInterval)).To(BeTrue())
	a.RecordWhole(time.Minute, false)
	g.Expect(a.RecordDispute(time.Minute+time.Second)).To(BeFalse(), "another node has just answered in place of the store")
	g.Expect(a.RecordDispute(time.Minute + rereadInterval)).To(BeTrue())
}
