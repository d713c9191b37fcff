package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// Paths of requests between nodes.
const (
	// PathHello is on the peer port.
	PathHello = "/v1/hello"
	// PathBarIdentity is on the peer port.
	PathBarIdentity = "/v1/bar"
	// The other paths are on the control port. A GET of PathQuotaStream opens a lease stream (see LeaseStreamProtocol);
	// PathQuotaLease takes the same requests as JSON, for nodes of releases without lease streams.
	PathConfigPoll    = "/v1/config/poll"
	PathConfigVersion = "/v1/config/version"
	PathQuotaLease    = "/v1/quota/lease"
	PathQuotaStream   = "/v1/quota/stream"
	PathQuotaHandover = "/v1/quota/handover"
)

// NodeDescription is a node's description of itself.
type NodeDescription struct {
	VM         string    `json:"vm"`
	Upstream   string    `json:"upstream"`
	DataCentre string    `json:"data_centre"`
	State      NodeState `json:"state"`
	// Epoch is the node's current epoch. It is empty while the node must not accept non-idempotent calls.
	Epoch   string    `json:"epoch,omitempty"`
	Version VersionID `json:"version"`
}

// BarIdentityRequest asks an admission controller to refuse every later call with the identity, unless it has already
// accepted one.
type BarIdentityRequest struct {
	Identity string `json:"identity"`
}

// BarIdentityResult is the result of a BarIdentityRequest.
type BarIdentityResult string

// Results of a BarIdentityRequest.
const (
	// IdentityBarred means that the controller has accepted no call with the identity and will refuse them from now on.
	IdentityBarred BarIdentityResult = "barred"
	// IdentityAlreadyRan means that the controller has accepted a call with the identity. Status and Body hold the
	// recorded response if it is known.
	IdentityAlreadyRan BarIdentityResult = "already_ran"
	// IdentityNotKnown means that the node started too recently to know whether it accepted the identity.
	IdentityNotKnown BarIdentityResult = "not_known"
)

// BarIdentityResponse is the response to a BarIdentityRequest.
type BarIdentityResponse struct {
	Result BarIdentityResult `json:"verdict"`
	Status int               `json:"status,omitempty"`
	Body   []byte            `json:"body,omitempty"`
}

// ErrorBody is the JSON body of each error response to a caller.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail states the kind of error, the remedy and whether the call may have been executed.
type ErrorDetail struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	// Ran is "no" when the call was certainly not executed, else "unknown".
	Ran    string `json:"ran"`
	CallID string `json:"call,omitempty"`
}

// String returns v in the form <number>:<digest>, which HeaderVersion carries.
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
