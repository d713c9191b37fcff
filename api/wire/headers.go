// Package wire defines what the processes of the system exchange: headers, outcomes, error kinds and JSON messages.
package wire

// Headers of a forwarded call and of its response.
const (
	HeaderPrefix   = "Bamboodeal-"
	HeaderCallID   = "Bamboodeal-Call"
	HeaderIdentity = "Bamboodeal-Identity"
	HeaderAttempt  = "Bamboodeal-Attempt"
	HeaderRoute    = "Bamboodeal-Route"
	HeaderTeam     = "Bamboodeal-Team"
	HeaderKeyID    = "Bamboodeal-Key-Id"
	HeaderUpstream = "Bamboodeal-Upstream"
	HeaderEpoch    = "Bamboodeal-Epoch"
	HeaderVersion  = "Bamboodeal-Version"
	// HeaderSenderUpstream is the upstream of the sending node, from which the receiver can fetch a newer version.
	HeaderSenderUpstream = "Bamboodeal-Sender"
	HeaderDeadlineMS     = "Bamboodeal-Deadline-Ms"
	HeaderDepth          = "Bamboodeal-Depth"
	HeaderRetriesLeft    = "Bamboodeal-Retries-Left"
	HeaderOutcome        = "Bamboodeal-Outcome"
	HeaderReason         = "Bamboodeal-Reason"
	HeaderLoad           = "Bamboodeal-Load"
	HeaderState          = "Bamboodeal-State"

	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcome states whether an upstream executed a call.
type Outcome string

// Outcomes of a call.
const (
	// OutcomeRan means that the upstream answered.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that certainly no upstream received the call.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the call was forwarded to an upstream and no response came.
	OutcomeUnknown Outcome = "unknown"
)

// NodeState is the state of a node and its upstream, as the node reports it.
type NodeState string

// States of a node. StateCold is the state of an upstream that has just started and cannot take its full load yet.
const (
	StateStarting NodeState = "starting"
	StateCold     NodeState = "cold"
	StateServing  NodeState = "serving"
	StateLeaving  NodeState = "leaving"
)

// ErrorKind classifies a refusal or failure. Callers get it in the error body, other nodes in HeaderReason.
type ErrorKind string

// Kinds of errors.
const (
	KindNoKey              ErrorKind = "no_key"
	KindUnknownKey         ErrorKind = "unknown_key"
	KindKeyWithdrawn       ErrorKind = "key_withdrawn"
	KindDuplicateKeyHeader ErrorKind = "duplicate_key_header"
	KindNoRoute            ErrorKind = "no_route"
	KindMethodNotAllowed   ErrorKind = "method_not_allowed"
	KindBodyTooLarge       ErrorKind = "body_too_large"
	KindBodyTruncated      ErrorKind = "body_truncated"
	KindMalformedRequest   ErrorKind = "malformed_request"
	KindTeamRateExceeded   ErrorKind = "team_rate_exceeded"
	KindOverloaded         ErrorKind = "overloaded"
	KindLeaving            ErrorKind = "leaving"
	KindNoUpstream         ErrorKind = "no_upstream"
	KindNotReady           ErrorKind = "not_ready"
	KindStaleConfiguration ErrorKind = "stale_configuration"
	KindDeadlineExceeded   ErrorKind = "deadline_exceeded"
	KindOutcomeUnknown     ErrorKind = "outcome_unknown"
	KindDuplicateRequest   ErrorKind = "duplicate_request"
	KindIdentityConflict   ErrorKind = "identity_conflict"
	KindUpstreamError      ErrorKind = "upstream_error"
	// KindWrongEpoch and KindWrongUpstream are sent between nodes only. The sender then asks for the current epoch
	// and tries again.
	KindWrongEpoch    ErrorKind = "wrong_epoch"
	KindWrongUpstream ErrorKind = "wrong_upstream"
)

// VersionID identifies a configuration version. Versions are ordered by number, then by digest.
type VersionID struct {
	Number uint64 `json:"number"`
	// Digest is the hexadecimal SHA-256 of the manifest's bytes.
	Digest string `json:"digest"`
}

// Less reports whether v is older than o.
func (v VersionID) Less(o VersionID) bool {
	if v.Number != o.Number {
		return v.Number < o.Number
	}
	return v.Digest < o.Digest
}

// IsZero reports whether v identifies no version.
func (v VersionID) IsZero() bool { return v.Number == 0 && v.Digest == "" }
