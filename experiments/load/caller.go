package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// Node is the name of a node and the address on which it accepts calls.
type Node struct {
	Name          string `json:"name"`
	CallerAddress string `json:"caller_address"`
}

// caller sends one call of a trace, with its retries.
type caller struct {
	client *client
	nodes  []Node
	secret string
	// attemptTimeout bounds each attempt; retryFor bounds the time from the start of the first attempt to the start
	// of the last one.
	attemptTimeout time.Duration
	retryFor       time.Duration
	// retryDelay is the time between the end of an attempt and the start of the next one.
	retryDelay time.Duration
	sleep      func(time.Duration)
}

// maxUnreachableNodes is the number of failures to open a connection after which a caller gives up the call.
const maxUnreachableNodes = 4

// callWithRetries sends attempts, each to the next node, until one is final or no further attempt is allowed. An
// attempt whose connection could not be opened does not raise the attempt number, because no node has seen it.
func (c *caller) callWithRetries(call *trace.Call) *CallResult {
	result := &CallResult{Call: call}
	start := time.Now()
	attemptNumber, unreachableNodes := 1, 0
	for entry := call.EntryNode; ; entry++ {
		token := fmt.Sprintf("%s#%d", call.ID, len(result.Attempts)+1)
		attempt := c.sendAttempt(call, attemptNumber, token, c.nodes[entry%len(c.nodes)])
		result.Attempts = append(result.Attempts, attempt)
		if attempt.Kind == KindNotSent {
			unreachableNodes++
		} else {
			attemptNumber++
		}
		exhausted := attemptNumber > call.MaxAttempts || unreachableNodes >= maxUnreachableNodes ||
			time.Since(start)+c.retryDelay > c.retryFor
		if exhausted || !mayRetry(call, &attempt) {
			return result
		}
		c.sleep(c.retryDelay)
	}
}

// mayRetry reports whether the outcome of an attempt allows a further attempt. A call that is not idempotent has an
// identity; it is retried only if it did not run or if its outcome is unknown. Statuses that a retry cannot change are
// final.
func mayRetry(call *trace.Call, a *Attempt) bool {
	if a.Kind == KindServed || a.Ran == RanYes {
		return false
	}
	switch a.Status {
	case 400, 401, 403, 404, 405, 409, 413, 429:
		return false
	}
	return call.Identity == "" || a.Ran == RanNo || a.Ran == RanUnknown
}

func (c *caller) sendAttempt(call *trace.Call, number int, token string, node Node) Attempt {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	a := Attempt{Number: number, Token: token, Node: node.Name}
	c.buildRequest(request, call, &a, node)
	a.Sent = time.Now()
	err := c.client.do(node.CallerAddress, request, response, c.attemptTimeout)
	a.Done = time.Now()
	switch {
	case errors.Is(err, errNotSent):
		a.Kind, a.Ran = KindNotSent, RanNo
	case err != nil:
		a.Kind, a.Ran = KindNoAnswer, RanUnknown
	default:
		classifyResponse(&a, call, response)
	}
	return a
}

func (c *caller) buildRequest(request *fasthttp.Request, call *trace.Call, a *Attempt, node Node) {
	body := requestBody(call)
	request.SetRequestURI("http://" + node.CallerAddress + call.Path)
	h := &request.Header
	h.SetMethod(call.Method)
	h.Set("Authorization", "Bearer "+c.secret)
	h.Set(upstream.HeaderToken, a.Token)
	h.Set(upstream.HeaderWork, strconv.FormatInt(call.WorkUS, 10))
	h.Set(upstream.HeaderAnswerBytes, strconv.Itoa(call.AnswerBytes))
	h.Set(upstream.HeaderBodyDigest, upstream.BodyDigest(body))
	if len(call.Chain) > 0 {
		h.Set(upstream.HeaderChain, strings.Join(call.Chain, ","))
	}
	if call.Identity != "" {
		h.Set(upstream.HeaderIdentity, call.Identity)
		h.Set(wire.HeaderIdempotencyKey, call.Identity)
		h.Set(wire.HeaderAttempt, strconv.Itoa(a.Number))
	}
	request.SetBody(body)
}

// requestBody returns the same body for all attempts of a call, because nodes refuse another body with the same
// idempotency key.
func requestBody(call *trace.Call) []byte {
	if call.BodyBytes == 0 {
		return nil
	}
	return upstream.AnswerBody("body of "+call.ID, call.BodyBytes)
}

// classifyResponse sets the outcome of an attempt that got a complete response.
func classifyResponse(a *Attempt, call *trace.Call, response *fasthttp.Response) {
	a.Status = response.StatusCode()
	if a.Status >= 200 && a.Status < 300 {
		a.Kind, a.Ran = KindServed, RanYes
		a.EchoedToken, a.Defect = checkAnswer(call, a.Token, response.Body())
		return
	}
	var body wire.ErrorBody
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Error.Kind == "" {
		a.Kind, a.Ran = KindOtherStatus, RanUnknown
		return
	}
	a.Kind, a.Ran = body.Error.Kind, body.Error.Ran
}

// checkAnswer checks that the answer is complete and belongs to the request, and returns the token that it echoes. A
// retry of a call with an identity may get the recorded answer of an earlier attempt of the same call.
func checkAnswer(call *trace.Call, token string, body []byte) (echoed string, defect AnswerDefect) {
	if len(body) == 0 {
		return "", DefectMissing
	}
	echoed, err := upstream.CheckAnswer(body, call.AnswerBytes)
	switch {
	case errors.Is(err, upstream.ErrTruncatedAnswer):
		return echoed, DefectTruncated
	case err != nil:
		return echoed, DefectMismatched
	case echoed == token:
		return echoed, NoDefect
	case call.Identity != "" && strings.HasPrefix(echoed, call.ID+"#"):
		return echoed, NoDefect
	}
	return echoed, DefectMismatched
}
