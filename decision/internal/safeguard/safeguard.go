// Package safeguard names the protections of delivery that tests and measurements can switch off, to see what each
// prevents. Only the decision module can name them, so no program can.
package safeguard

// Set is a set of mechanisms.
type Set uint16

// Mechanisms of delivery.
const (
	EpochFence Set = 1 << iota
	StartQuarantine
	DeadlineCheck
	IdentityBarring
	RefusalRecord
	SettlingDelay
	EligibilityCheck
	PauseCheck
	SkippedVersionCheck
)

// Has reports whether the set contains m.
func (s Set) Has(m Set) bool { return s&m != 0 }
