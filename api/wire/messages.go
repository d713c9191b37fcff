package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// Paths between nodes.
const (
	// PathHello is on the peer port.
	PathHello = "/v1/hello"
	// PathBarIdentity is on the peer port.
	PathBarIdentity = "/v1/bar"
	// PathConfigPoll, PathVersion, PathLease and PathHandover are on the control port.
	PathConfigPoll    = "/v1/config/poll"
	PathConfigVersion = "/v1/config/version"
	PathQuotaLease    = "/v1/quota/lease"
	PathQuotaHandover = "/v1/quota/handover"
)

// NodeDescription is a node's description of itself.
type NodeDescription struct {
	VM         string    `json:"vm"`
	Upstream   string    `json:"upstream"`
	DataCentre string    `json:"data_centre"`
	State      NodeState `json:"state"`
	// Epoch is empty while the node may not accept non-idempotent calls.
	Epoch   string    `json:"epoch,omitempty"`
	Version VersionID `json:"version"`
}

// BarIdentityRequest asks a controller to refuse an identity from now on if it has not accepted it.
type BarIdentityRequest struct {
	Identity string `json:"identity"`
}

// BarIdentityResult is the answer to a BarRequest.
type BarIdentityResult string

// Answers to a BarRequest.
const (
	// IdentityBarred means never accepted here, and refused from now on.
	IdentityBarred BarIdentityResult = "barred"
	// IdentityAlreadyRan means accepted here; Status and Body hold the recorded result when it is known.
	IdentityAlreadyRan BarIdentityResult = "already_ran"
	// IdentityNotKnown means that this node's record is too young to tell.
	IdentityNotKnown BarIdentityResult = "not_known"
)

// BarIdentityResponse answers a BarRequest.
type BarIdentityResponse struct {
	Result BarIdentityResult `json:"verdict"`
	Status int               `json:"status,omitempty"`
	Body   []byte            `json:"body,omitempty"`
}

// ErrorBody is the JSON body of each refusal and failure towards a caller.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail names the kind of failure and the remedy, and says whether the call ran.
type ErrorDetail struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	// Ran is "no" or "unknown".
	Ran    string `json:"ran"`
	CallID string `json:"call,omitempty"`
}

// String formats v for HeaderVersion.
func (v VersionID) String() string { return fmt.Sprintf("%d:%s", v.Number, v.Digest) }

// ParseVersionID parses the format of VersionID.String.
func ParseVersionID(s string) (VersionID, error) {
	number, digest, found := strings.Cut(s, ":")
	n, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil {
		return VersionID{}, fmt.Errorf("version %q is not <number>:<digest>", s)
	}
	return VersionID{Number: n, Digest: digest}, nil
}
