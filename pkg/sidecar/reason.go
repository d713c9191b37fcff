package sidecar

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Reason is why a request was refused or failed. Error bodies, log lines and metrics use its value.
type Reason string

// Reasons of refusals and failures.
const (
	// ReasonNone means that an upstream responded.
	ReasonNone Reason = ""
	// ReasonNotReady means that the node knows no configuration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonNoRoute means that no route of the configuration matches.
	ReasonNoRoute Reason = "no_route"
	// ReasonUnknownKey means that the key is missing or belongs to no team.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonMalformedRequest means that the end of the request is ambiguous.
	ReasonMalformedRequest Reason = "malformed_request"
	// ReasonTeamRateExceeded means that the team is over its rate.
	ReasonTeamRateExceeded Reason = "team_rate_exceeded"
	// ReasonNoUpstream means that no upstream of the service can be used now.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonOverloaded means that no upstream can run the request before its deadline.
	ReasonOverloaded Reason = "overloaded"
	// ReasonDeadlineExceeded means that the deadline passed before the request was sent to an upstream.
	ReasonDeadlineExceeded Reason = "deadline_exceeded"
	// ReasonLeaving means that the upstream or its node is stopping.
	ReasonLeaving Reason = "leaving"
	// ReasonDataCentreEvacuated means that the operators have taken the upstream's data centre out of use.
	ReasonDataCentreEvacuated Reason = "data_centre_out"
	// ReasonWrongUpstream means that a different upstream than the chosen one runs at the address.
	ReasonWrongUpstream Reason = "wrong_upstream"
	// ReasonUpstreamShed means that the upstream responded that it did not run the request.
	ReasonUpstreamShed Reason = "upstream_shed"
	// ReasonUnreachable means that no connection to the node or upstream could be opened or used.
	ReasonUnreachable Reason = "unreachable"
	// ReasonAnswerLost means that the request was sent and no complete response came, so it may have run.
	ReasonAnswerLost Reason = "answer_lost"
	// ReasonTimedOut means that the request was sent and its deadline passed without a response, so it may have run.
	ReasonTimedOut Reason = "timed_out"
	// ReasonCallerGone means that the caller closed its connection.
	ReasonCallerGone Reason = "caller_gone"
	// ReasonBodiesTooLarge means that the body of the request does not fit into the node's memory for request bodies.
	ReasonBodiesTooLarge Reason = "bodies_too_large"
	// ReasonLinkBusy means that the network link of the upstream's VM cannot carry the body of the request in time.
	ReasonLinkBusy Reason = "link_busy"
	// ReasonRetryBudgetSpent means that another attempt would exceed the retry budget.
	ReasonRetryBudgetSpent Reason = "retry_budget_spent"
)

// leavesOutcomeUnknown reports whether the status for the reason promises neither that the request ran nor that it did not.
func (r Reason) leavesOutcomeUnknown() bool {
	return r == ReasonAnswerLost || r == ReasonTimedOut || r == ReasonCallerGone
}

// remedies holds, for each reason that a caller may get, what the caller should do.
var remedies = map[Reason]string{
	ReasonNotReady:         "the node has no configuration yet; send the request again after Retry-After",
	ReasonNoRoute:          "no route matches the host and path; check them against the configuration",
	ReasonUnknownKey:       "the key is missing or not valid; send a key of your team",
	ReasonMalformedRequest: "the request is malformed; send one length and a plain path",
	ReasonTeamRateExceeded: "the team is over its rate; send the request again after Retry-After",
	ReasonNoUpstream:       "no upstream of the service is available; send the request again after Retry-After",
	ReasonOverloaded:       "the service is overloaded; send the request again after Retry-After",
	ReasonDeadlineExceeded: "the deadline passed before the request was sent; allow more time",
	ReasonLeaving:          "the node stops; send the request to another node",
	ReasonBodiesTooLarge:   "the node holds too many bytes of requests; send the request again after Retry-After",
	ReasonLinkBusy:         "the network links to the upstreams are busy; send the request again after Retry-After",
	ReasonUpstreamShed:     "the upstream refused the request; send it again after Retry-After",
	ReasonUnreachable:      "no upstream was reached; send the request again after Retry-After",
	ReasonAnswerLost:       "the answer was lost and the request may have run; check before sending it again",
	ReasonTimedOut:         "the upstream did not answer in time and the request may have run; check before sending it again",
}

const (
	// shortestRetryAfter and longestRetryAfter bound the Retry-After header. A caller that is told to wait for longer
	// than its deadline never sends the request again.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 1500 * time.Millisecond
)

// status returns the HTTP status for a reason. To the caller, only 400, 401, 404, 429 and 503 mean that the request did
// not run.
func (r Reason) status() int {
	switch r {
	case ReasonNoRoute:
		return fasthttp.StatusNotFound
	case ReasonUnknownKey:
		return fasthttp.StatusUnauthorized
	case ReasonMalformedRequest:
		return fasthttp.StatusBadRequest
	case ReasonTeamRateExceeded:
		return fasthttp.StatusTooManyRequests
	case ReasonAnswerLost, ReasonCallerGone:
		return fasthttp.StatusBadGateway
	case ReasonTimedOut:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusServiceUnavailable
}

// writeError replaces the response by an error of the node itself, with the reason and its remedy as JSON.
func writeError(resp *fasthttp.Response, r Reason, retryAfter time.Duration) {
	skip := resp.SkipBody
	resp.Reset()
	resp.SkipBody = skip
	resp.Header.SetNoDefaultContentType(true)
	status := r.status()
	resp.SetStatusCode(status)
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		after := min(max(retryAfter, shortestRetryAfter), longestRetryAfter)
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	resp.Header.SetContentType("application/json")
	resp.SetBodyString(`{"error":{"kind":"` + string(r) + `","remedy":"` + remedies[r] + `"}}`)
}
