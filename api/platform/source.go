// Package platform is the client of the platform's configuration service, which publishes the configuration bundle and
// the list of VMs.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of a Source. The caller may retry after a delay on both.
var (
	ErrUnavailable = errors.New("the platform's configuration service does not answer; retry later")
	ErrReadLimit   = errors.New("the platform's read allowance is spent; retry later, with fewer reads")
)

// MemberState is the platform's view of a VM.
type MemberState string

// States of a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one VM of the platform's list. The list is updated with a delay and may contain VMs that no longer exist.
// Addresses are host and port.
type Member struct {
	VM              string      `json:"vm"`
	Upstream        string      `json:"upstream"`
	DataCentre      string      `json:"data_centre"`
	State           MemberState `json:"state"`
	CallerAddress   string      `json:"caller_address"`
	PeerAddress     string      `json:"peer_address"`
	ControlAddress  string      `json:"control_address"`
	OperatorAddress string      `json:"operator_address"`
}

// MemberList is one revision of the list of VMs; newer lists have greater revisions.
type MemberList struct {
	Revision uint64   `json:"revision"`
	Members  []Member `json:"members"`
}

// Source is the platform's read-only configuration service.
type Source interface {
	// Manifest returns the manifest's bytes and its revision. With wait > 0 it blocks until the revision is above
	// after; when the wait has passed without that, changed is false.
	Manifest(ctx context.Context, after uint64, wait time.Duration) (manifest []byte, revision uint64, changed bool, err error)
	// Value returns the value with the given hexadecimal SHA-256 digest; a value has at most 1 MiB.
	Value(ctx context.Context, digest string) ([]byte, error)
	// Members returns the list of VMs. The arguments after and wait work as in Manifest; the list is nil when it has
	// not changed.
	Members(ctx context.Context, after uint64, wait time.Duration) (*MemberList, error)
}
