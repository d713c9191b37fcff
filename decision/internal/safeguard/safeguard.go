// Package safeguard names the safeguards of package delivery that tests and measurements can disable, to show what each
// prevents. The package is internal to the decision module, so programs cannot disable safeguards.
package safeguard

// Set is a set of safeguards.
type Set uint16

// Safeguards of package delivery.
const (
	// EpochFence makes a controller refuse calls that carry neither its current nor its previous epoch.
	EpochFence Set = 1 << iota
	// StartQuarantine makes a controller refuse calls for a time after its start.
	StartQuarantine
	// DeadlineCheck makes a sender check the deadline after it knows the epoch.
	DeadlineCheck
	// IdentityBarring makes a controller bar the identity of a repeated call at the other candidates first.
	IdentityBarring
	// RefusalRecord makes a controller record the calls that it has refused.
	RefusalRecord
	// SettlingDelay delays the use of the candidates of a newly adopted set.
	SettlingDelay
	// EligibilityCheck makes a controller refuse calls for whose identity it is not a candidate.
	EligibilityCheck
	// PauseCheck makes an entry node refuse calls that may have waited while the node was paused.
	PauseCheck
	// SkippedVersionCheck makes a controller refuse repeated calls, with an unknown outcome, for a time after it
	// skipped a version.
	SkippedVersionCheck
)

// Has reports whether the set contains any of the given safeguards.
func (s Set) Has(safeguards Set) bool { return s&safeguards != 0 }
