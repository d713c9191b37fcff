package gateway

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// errorResponse is the fixed part of the response to a kind of error.
type errorResponse struct {
	status  int
	message string
	remedy  string
}

// errorResponses holds the response to each kind of error that a caller may get.
var errorResponses = map[wire.ErrorKind]errorResponse{
	wire.KindNoKey: {fasthttp.StatusUnauthorized, "the request carries no key", "send Authorization: Bearer <key>"},
	wire.KindUnknownKey: {
		fasthttp.StatusUnauthorized, "the key is not declared",
		"check the key; a new key works once its version is in force",
	},
	wire.KindKeyWithdrawn: {fasthttp.StatusForbidden, "the key is withdrawn", "use the key that replaced it"},
	wire.KindDuplicateKeyHeader: {
		fasthttp.StatusBadRequest, "the request carries more than one Authorization header",
		"send exactly one Authorization header",
	},
	wire.KindNoRoute: {fasthttp.StatusNotFound, "no route matches the path", "check the path"},
	wire.KindMethodNotAllowed: {
		fasthttp.StatusMethodNotAllowed, "no route of the path allows the method", "check the method",
	},
	wire.KindBodyTooLarge: {
		fasthttp.StatusRequestEntityTooLarge, "the body is larger than the route allows", "send a smaller body",
	},
	wire.KindBodyTruncated: {
		fasthttp.StatusBadRequest, "the body ended early or came too slowly", "send the whole body again",
	},
	wire.KindMalformedRequest: {
		fasthttp.StatusBadRequest, "the request is not valid HTTP, or its headers or path are ambiguous",
		"send one length, one host, a plain path and valid headers",
	},
	wire.KindTeamRateExceeded: {
		fasthttp.StatusTooManyRequests, "the team is above its rate", "slow down and send the request again",
	},
	wire.KindOverloaded: {
		fasthttp.StatusServiceUnavailable, "the service has no capacity for the request in its time",
		"send the request again after a delay",
	},
	wire.KindLeaving: {
		fasthttp.StatusServiceUnavailable, "the node or the upstream is leaving", "send the request again to another node",
	},
	wire.KindNoUpstream: {
		fasthttp.StatusServiceUnavailable, "no upstream of the service is reachable", "send the request again after a delay",
	},
	wire.KindNotReady: {
		fasthttp.StatusServiceUnavailable, "the node or the upstream's controller is still starting",
		"send the request again after a few seconds, or to another node",
	},
	wire.KindStaleConfiguration: {
		fasthttp.StatusServiceUnavailable, "the node's configuration is not confirmed", "send the request again to another node",
	},
	wire.KindDeadlineExceeded: {
		fasthttp.StatusGatewayTimeout, "the time of the request ran out before it ran", "send the request again",
	},
	wire.KindOutcomeUnknown: {
		fasthttp.StatusGatewayTimeout, "the request may have run; no whole answer came",
		"send it again with the same Idempotency-Key and a higher Bamboodeal-Attempt",
	},
	wire.KindDuplicateRequest: {
		fasthttp.StatusConflict, "a request with this Idempotency-Key runs or ran; its answer is not held",
		"read the result at the service; do not send the request with a new key",
	},
	wire.KindIdentityConflict: {
		fasthttp.StatusConflict, "another request used this Idempotency-Key", "use a new Idempotency-Key for a new request",
	},
	wire.KindUpstreamError: {
		fasthttp.StatusBadGateway, "the upstream's answer was not usable; the request may have run",
		"read the result at the service before sending it again",
	},
}

// ranFieldValue returns the value of the error body's field "ran" for an outcome.
func ranFieldValue(o wire.Outcome) string {
	if o == wire.OutcomeNotRun {
		return "no"
	}
	return "unknown"
}

// writeError replaces the response by the JSON error of a kind. Its text is fixed, so that it cannot contain any part
// of the request.
func writeError(resp *fasthttp.Response, kind wire.ErrorKind, outcome wire.Outcome, callID string) {
	a, known := errorResponses[kind]
	if !known {
		// The other kinds are refusals between nodes, after which no other attempt succeeded.
		kind, a = wire.KindNoUpstream, errorResponses[wire.KindNoUpstream]
	}
	skip := resp.SkipBody
	resp.Reset()
	resp.SkipBody = skip
	body, _ := json.Marshal(wire.ErrorBody{Error: wire.ErrorDetail{
		Kind: kind, Message: a.message, Remedy: a.remedy, Ran: ranFieldValue(outcome), CallID: callID,
	}})
	resp.SetStatusCode(a.status)
	resp.Header.SetContentType("application/json")
	resp.Header.Set(wire.HeaderOutcome, string(outcome))
	if callID != "" {
		resp.Header.Set(wire.HeaderCallID, callID)
	}
	resp.SetBody(body)
}
