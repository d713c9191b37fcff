// Package consistency decides whether a node may use what it built from another node's message, and what it does if its
// contents and those of another node differ. Nodes learn the contents of the platform's store from each other, mostly
// as differences to what they have. A difference for another value, or a value that is not the present one, can produce
// something that the store never held; without a check the node would keep it until the next change.
package consistency

import "time"

// Verdict says whether a value that was built from a difference may be used.
type Verdict int

// Verdicts on a difference.
const (
	// Valid means that the value is the one that the sender has.
	Valid Verdict = iota
	// WrongBase means that the difference refers to a value that the receiver does not have.
	WrongBase
	// Unchecked means that the sender did not state the digest of the result. Nodes of earlier releases don't.
	Unchecked
	// WrongResult means that the difference produces another value than the sender has.
	WrongResult
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return [...]string{"valid", "the difference is for another value", "the difference states no digest of its result", "the result is not the sender's value"}[v]
}

// Difference describes a value that arrived as a difference to an earlier one. Digests of 0 are unknown.
type Difference struct {
	// Base is the digest of the value that the difference refers to, Known that of the receiver's value.
	Base, Known uint64
	// Applicable is false if the difference refers to parts that the receiver's value does not have.
	Applicable bool
	// Stated is the digest of the result according to the sender, Built that of the receiver's result.
	Stated, Built uint64
}

// Check returns the verdict on a difference.
func (d Difference) Check() Verdict {
	switch {
	case d.Known == 0 || d.Base != d.Known:
		return WrongBase
	case d.Stated == 0:
		return Unchecked
	case !d.Applicable || d.Built != d.Stated:
		return WrongResult
	}
	return Valid
}

// Contents identifies all entries that a node has. Digest is 0 if it is unknown.
type Contents struct {
	Era, Revision, Digest uint64
}

// DifferFrom reports whether two nodes have different entries at the same revision of the store, so that at least one of
// them is wrong. Contents of different revisions can't be compared.
func (c Contents) DifferFrom(other Contents) bool {
	return c.Era == other.Era && c.Revision == other.Revision && c.Digest != other.Digest && c.Digest != 0 && other.Digest != 0
}

// rereadInterval is the shortest time between two reads of all entries because of differing contents. It bounds the
// calls to the store while nodes go on to differ: with 470 nodes to less than 100 calls/s of 2,000.
const rereadInterval = 5 * time.Second

// Arbiter decides what a node does if another node has different contents. Only the store knows which of the two is
// wrong, so a node reads everything from there unless it has just done so. The zero value is that of a node without
// contents. An Arbiter is not safe for concurrent use.
type Arbiter struct {
	// disputed is true until everything has been read because of differing contents.
	disputed bool
	// trustUntil is the time until which the contents count as those of the store.
	trustUntil time.Duration
}

// RecordWhole records that all entries were read, from the store or, while it is out of reach, from another node.
func (a *Arbiter) RecordWhole(now time.Duration, fromStore bool) {
	if fromStore || a.disputed {
		a.trustUntil = now + rereadInterval
	}
	a.disputed = false
}

// RecordDispute records that another node has different contents, and reports whether this node has to read all entries from
// the store. If it returns false, the node has just done so.
func (a *Arbiter) RecordDispute(now time.Duration) (readStore bool) {
	a.disputed = a.disputed || now >= a.trustUntil
	return a.disputed
}
