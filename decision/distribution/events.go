package distribution

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/version"
)

// Event is an input of the state machine.
type Event interface{ event() }

// SetStatus describes the set that a response contained, after the caller has verified it.
type SetStatus int

// Statuses of a received set.
const (
	// NoSet means that the response contained no set.
	NoSet SetStatus = iota
	// ValidSet means that the set is complete, matches its digests and passes validation.
	ValidSet
	// InvalidSet means that the set matches its digests but fails validation, which it would do on every node.
	InvalidSet
	// IncompleteSet means that a value is missing or does not match its digest; another node may have the whole set.
	IncompleteSet
)

// Tick tells the state machine the time; the caller sends it at least every 250 ms.
type Tick struct{}

// Resumed reports that the process was paused, so that the responses to requests in flight may be out of date.
type Resumed struct{}

// MemberListReceived passes a member list from a response; the state machine ignores a list that is not newer than its
// own.
type MemberListReceived struct{ List *platform.MemberList }

// PollAnswered is the response to a Poll.
type PollAnswered struct {
	ID uint64
	// Version is the version in force at the answering node.
	Version         wire.VersionID
	MembersRevision uint64
	// ConfirmationAge is the time since the source last confirmed Version; VersionConfirmed is false when it never did.
	ConfirmationAge  time.Duration
	VersionConfirmed bool
	// ViewUnconfirmed is true when the answering node's own view is not confirmed, so that its answer cannot confirm
	// the view of another node.
	ViewUnconfirmed bool
	SetStatus       SetStatus
	// Faults states why an InvalidSet is invalid.
	Faults string
}

// PollFailed reports that a Poll got no response in time, or no connection.
type PollFailed struct{ ID uint64 }

// ManifestRead is the response to a ReadManifest. Version is the version that the source serves.
type ManifestRead struct {
	ID      uint64
	Version wire.VersionID
	// Faults states why the manifest cannot be parsed, in which case Version has only the digest; else it is empty.
	Faults string
}

// ValuesRead is the response to a ReadValues.
type ValuesRead struct {
	ID        uint64
	SetStatus SetStatus
	// Faults states why an InvalidSet is invalid.
	Faults string
}

// MembersRead reports that a ReadMembers was answered. A changed list is passed before, as MemberListReceived.
type MembersRead struct{ ID uint64 }

// ReadFailed reports that a read of the source failed.
type ReadFailed struct{ ID uint64 }

// VersionAnnounced reports that another node, whose address is From, stated in a request that it has Version.
type VersionAnnounced struct {
	Version wire.VersionID
	From    string
}

func (Tick) event()               {}
func (Resumed) event()            {}
func (MemberListReceived) event() {}
func (PollAnswered) event()       {}
func (PollFailed) event()         {}
func (ManifestRead) event()       {}
func (ValuesRead) event()         {}
func (MembersRead) event()        {}
func (ReadFailed) event()         {}
func (VersionAnnounced) event()   {}

// Action is an output of the state machine, which the caller carries out.
type Action interface{ action() }

// Poll asks another node for its version, and optionally its set and member list. The caller reports PollAnswered or
// PollFailed within Timeout.
type Poll struct {
	ID      uint64
	Address string
	// Wait is the time for which the other node may delay its answer while it has nothing newer.
	Wait, Timeout time.Duration
	// Contents asks for the set and the member list; without it, the answer states only their versions.
	Contents bool
	// NewConnection asks the caller to open a new connection instead of reusing one.
	NewConnection bool
}

// ReadManifest reads the manifest of the source with the index Source. Wait works as in Poll.
type ReadManifest struct {
	ID     uint64
	Source int
	Wait   time.Duration
}

// ReadMembers reads the member list of the source with the index Source. Wait works as in Poll.
type ReadMembers struct {
	ID     uint64
	Source int
	Wait   time.Duration
}

// ReadValues reads the values that are missing for the manifest of Version from the source with the index Source.
type ReadValues struct {
	ID      uint64
	Source  int
	Version wire.VersionID
}

// AdoptSet puts the set of Version in force; the caller has reported it as ValidSet.
type AdoptSet struct{ Version wire.VersionID }

// ReportConflict reports two different manifests with the same number.
type ReportConflict struct{ version.Conflict }

// CloseConnections cancels all requests in flight and closes all connections.
type CloseConnections struct{}

func (Poll) action()             {}
func (ReadManifest) action()     {}
func (ReadMembers) action()      {}
func (ReadValues) action()       {}
func (AdoptSet) action()         {}
func (ReportConflict) action()   {}
func (CloseConnections) action() {}
