package distribution

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/version"
)

// Event is an input of the machine.
type Event interface{ event() }

// SetStatus says what a response contained besides the holder's version.
type SetStatus int

// Deliveries.
const (
	// NoSet means that the response held no contents.
	NoSet SetStatus = iota
	// ValidSet means that the whole set is present, matches its digests and is valid.
	ValidSet
	// InvalidSet means that the set matches its digests and is invalid; it is invalid on every node.
	InvalidSet
	// IncompleteSet means that a part is missing or does not match its digest; another holder may have it whole.
	IncompleteSet
)

// Tick lets time pass; the caller sends it at least every 250 ms.
type Tick struct{}

// Resumed says that the process was paused: all that was in flight is out of date.
type Resumed struct{}

// MemberListReceived passes a member list that came with a response; older lists are ignored.
type MemberListReceived struct{ List *platform.MemberList }

// PollAnswered is the response to a Poll.
type PollAnswered struct {
	ID uint64
	// Version is the version in force at the answering node.
	Version         wire.VersionID
	MembersRevision uint64
	// ConfirmationAge is the time since the source confirmed Version; Confirmed is false when it never did.
	ConfirmationAge  time.Duration
	VersionConfirmed bool
	// ViewUnconfirmed means that the answering node's own view is not confirmed, so that it confirms none.
	ViewUnconfirmed bool
	SetStatus       SetStatus
	Faults          string
}

// PollFailed says that a Poll got no response in time, or no connection.
type PollFailed struct{ ID uint64 }

// ManifestRead is the response to a ReadManifest: the version that the source has.
type ManifestRead struct {
	ID      uint64
	Version wire.VersionID
	// Faults is not empty when the manifest cannot be parsed; Version then has the digest only.
	Faults string
}

// ValuesRead is the response to a ReadValues.
type ValuesRead struct {
	ID        uint64
	SetStatus SetStatus
	Faults    string
}

// MembersRead says that a ReadMembers was answered; a changed list is passed as ListChanged first.
type MembersRead struct{ ID uint64 }

// ReadFailed says that a read of the source failed.
type ReadFailed struct{ ID uint64 }

// VersionAnnounced is a version that another node named in a request.
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

// Action is an output of the machine.
type Action interface{ action() }

// Poll asks another node. The caller answers with PollAnswered or PollFailed within Timeout.
type Poll struct {
	ID      uint64
	Address string
	// Wait is the time for which the other node may hold the request when it has nothing newer.
	Wait, Timeout time.Duration
	// Contents asks for the set and the member list; otherwise only versions are announced.
	Contents bool
	// NewConnection asks for a new connection.
	NewConnection bool
}

// ReadManifest reads the manifest of a source, ReadMembers the list of VMs. Wait works as in Poll.
type ReadManifest struct {
	ID     uint64
	Source int
	Wait   time.Duration
}

// ReadMembers reads the member list of a source.
type ReadMembers struct {
	ID     uint64
	Source int
	Wait   time.Duration
}

// ReadValues reads the missing values of the manifest that the source answered last.
type ReadValues struct {
	ID      uint64
	Source  int
	Version wire.VersionID
}

// AdoptSet puts a set in force that was delivered as ValidSet.
type AdoptSet struct{ Version wire.VersionID }

// ReportConflict reports two manifests with one number.
type ReportConflict struct{ version.Conflict }

// CloseConnections ends all that is in flight and closes all connections.
type CloseConnections struct{}

func (Poll) action()             {}
func (ReadManifest) action()     {}
func (ReadMembers) action()      {}
func (ReadValues) action()       {}
func (AdoptSet) action()         {}
func (ReportConflict) action()   {}
func (CloseConnections) action() {}
