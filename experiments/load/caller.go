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

// Node is where callers reach a node.
type Node struct {
	Name          string `json:"name"`
	CallerAddress string `json:"caller_address"`
}

// caller makes the attempts of one logical call.
type caller struct {
	client *client
	nodes  []Node
	secret string
	// limit bounds one attempt; retryFor bounds when the last attempt starts after the first.
	limit    time.Duration
	retryFor time.Duration
	// pause is the time before a further attempt.
	pause time.Duration
	sleep func(time.Duration)
}

// maxNotSent bounds how many nodes in a row a caller finds unreachable before it gives up.
const maxNotSent = 4

// run makes attempts until one is final. A request that was not sent does not count as an attempt, because
// no node has seen it.
func (c *caller) run(call *trace.Call) *CallResult {
	result := &CallResult{Call: call}
	start := time.Now()
	number, notSent := 1, 0
	for entry := call.EntryNode; ; entry++ {
		token := fmt.Sprintf("%s#%d", call.ID, len(result.Attempts)+1)
		attempt := c.attempt(call, number, token, c.nodes[entry%len(c.nodes)])
		result.Attempts = append(result.Attempts, attempt)
		if attempt.Kind == KindNotSent {
			notSent++
		} else {
			number++
		}
		spent := number > call.MaxAttempts || notSent >= maxNotSent || time.Since(start)+c.pause > c.retryFor
		if spent || !mayRepeat(call, &attempt) {
			return result
		}
		c.sleep(c.pause)
	}
}

// mayRepeat reports whether the caller makes a further attempt. A call that is not idempotent is repeated
// only when it is known not to have run or its outcome is unknown; refusals that a repetition cannot change
// are final.
func mayRepeat(call *trace.Call, a *Attempt) bool {
	if a.Kind == KindServed || a.Ran == RanYes {
		return false
	}
	switch a.Status {
	case 400, 401, 403, 404, 405, 409, 413, 429:
		return false
	}
	return call.Identity == "" || a.Ran == RanNo || a.Ran == RanUnknown
}

func (c *caller) attempt(call *trace.Call, number int, token string, node Node) Attempt {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	a := Attempt{Number: number, Token: token, Node: node.Name}
	c.compose(request, call, &a, node)
	a.Sent = time.Now()
	err := c.client.do(node.CallerAddress, request, response, c.limit)
	a.Done = time.Now()
	switch {
	case errors.Is(err, errNotSent):
		a.Kind, a.Ran = KindNotSent, RanNo
	case err != nil:
		a.Kind, a.Ran = KindNoAnswer, RanUnknown
	default:
		judge(&a, call, response)
	}
	return a
}

func (c *caller) compose(request *fasthttp.Request, call *trace.Call, a *Attempt, node Node) {
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

// requestBody is the same for all attempts, because another body under the same identity is a conflict.
func requestBody(call *trace.Call) []byte {
	if call.BodyBytes == 0 {
		return nil
	}
	return upstream.AnswerBody("body of "+call.ID, call.BodyBytes)
}

// judge classifies a whole response.
func judge(a *Attempt, call *trace.Call, response *fasthttp.Response) {
	a.Status = response.StatusCode()
	if a.Status >= 200 && a.Status < 300 {
		a.Kind, a.Ran = KindServed, RanYes
		a.EchoedToken, a.Defect = inspect(call, a.Token, response.Body())
		return
	}
	var body wire.ErrorBody
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Error.Kind == "" {
		a.Kind, a.Ran = KindOtherStatus, RanUnknown
		return
	}
	a.Kind, a.Ran = body.Error.Kind, body.Error.Ran
}

// inspect checks that the answer is whole and the request's own. The answer to a repetition may be the
// recorded one of an earlier attempt of the same call.
func inspect(call *trace.Call, token string, body []byte) (echoed string, flaw AnswerDefect) {
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
