// Package consistency decides whether a node may use what it built from another node's message. Nodes learn the contents of the platform's store from each other, mostly
// as differences to what they have. A difference for another value, or a value that is not the present one, can produce
// something that the store never held; without a check the node would keep it until the next change.
package consistency

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
