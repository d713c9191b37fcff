package sidecar

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/slots"
)

// A node forwards the caller's request to another node with one additional header, and gets the response with one
// additional header. A single short header for all fields keeps the traffic between data centres small.
const (
	hopHeader        = "Bamboodeal-Hop"
	answerHeader     = "Bamboodeal-Answer"
	separator        = ";"
	percent          = 100
	hopFieldCount    = 12
	answerFieldCount = 11
)

// errInvalidHeader is the error of a header between nodes that does not follow the protocol.
var errInvalidHeader = eris.New("the header of the forwarded request or of its response is not valid; run the same release on all nodes")

// requestMetadata is what the entry node tells the upstream's node about a request.
type requestMetadata struct {
	// upstream is the ID of the upstream that is to run the request.
	upstream string
	route    string
	// remaining is the time until the deadline, objective the time until the latency objective. Nodes exchange them as
	// durations because their clocks differ.
	remaining  time.Duration
	objective  time.Duration
	priority   int
	idempotent bool
	// nested is true for a call that an upstream makes while it runs another request.
	nested bool
	// mustMeetObjective asks the upstream's node to refuse the request if it would miss the objective.
	mustMeetObjective bool
	// hedgeable is true if the request may be sent to another upstream while this one is at work on it. The upstream's
	// node then announces when the response takes much longer than usual.
	hedgeable bool
	// costlyToMove is true if the request has a large body and other upstreams are in other data centres, so that it may
	// wait longer here.
	costlyToMove bool
	// repeated is true if another upstream has received the request. The calls that it makes count as extra attempts.
	repeated bool
	// firstAsked is true if no other upstream was asked to run the request before.
	firstAsked bool
}

// setHeader writes the metadata into the header of a request to another node.
func (m *requestMetadata) setHeader(req *fasthttp.Request) {
	var b []byte
	b = append(b, m.upstream...)
	b = append(append(b, separator...), m.route...)
	for _, n := range [...]int64{m.remaining.Milliseconds(), m.objective.Milliseconds(), int64(m.priority)} {
		b = strconv.AppendInt(append(b, separator...), n, 10)
	}
	for _, flag := range [...]bool{m.idempotent, m.mustMeetObjective, m.hedgeable, m.costlyToMove, m.repeated, m.nested, m.firstAsked} {
		b = append(append(b, separator...), flagDigit(flag))
	}
	req.Header.SetBytesV(hopHeader, b)
}

func flagDigit(flag bool) byte {
	if flag {
		return '1'
	}
	return '0'
}

// parseRequestMetadata reads the header that requestMetadata.setHeader writes.
func parseRequestMetadata(value []byte) (*requestMetadata, error) {
	parts := strings.Split(string(value), separator)
	if len(parts) != hopFieldCount {
		return nil, errInvalidHeader
	}
	numbers, err := parseIntegers(parts[2:5])
	if err != nil {
		return nil, err
	}
	return &requestMetadata{
		upstream: parts[0], route: parts[1],
		remaining:         time.Duration(numbers[0]) * time.Millisecond,
		objective:         time.Duration(numbers[1]) * time.Millisecond,
		priority:          numbers[2],
		idempotent:        parts[5] == "1",
		mustMeetObjective: parts[6] == "1",
		hedgeable:         parts[7] == "1",
		costlyToMove:      parts[8] == "1",
		repeated:          parts[9] == "1",
		nested:            parts[10] == "1",
		firstAsked:        parts[11] == "1",
	}, nil
}

func parseIntegers(texts []string) ([]int, error) {
	numbers := make([]int, len(texts))
	for i, text := range texts {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, errInvalidHeader
		}
		numbers[i] = n
	}
	return numbers, nil
}

// outcome says whether a request ran at an upstream. Its value is sent between nodes.
type outcome byte

const (
	outcomeRan     outcome = 'r'
	outcomeNotRun  outcome = 'n'
	outcomeUnknown outcome = 'u'
)

// attemptResult is the result of one attempt at an upstream. With outcomeRan, the response is the upstream's.
type attemptResult struct {
	outcome outcome
	reason  Reason
	// reachedUpstream is true if the upstream received the request, even if it did not run it.
	reachedUpstream bool
	load            slots.Load
	// retryAfter is the time after which the upstream is expected to have a free slot.
	retryAfter time.Duration
	// serviceTime is the usual service time of the request's route at the upstream, or 0 if it is not known, and slowness
	// the factor by which work there takes longer at this moment.
	serviceTime time.Duration
	slowness    float64
	// callFailed is true if a nested call of the request failed, which is the likely cause of an error response.
	callFailed bool
}

// setHeader writes the result into the header of a response to another node.
func (a *attemptResult) setHeader(resp *fasthttp.Response) {
	var b []byte
	b = append(b, byte(a.outcome), separator[0])
	b = append(append(b, string(a.reason)...), separator[0], flagDigit(a.reachedUpstream))
	for _, n := range [...]int64{
		int64(a.load.Running), int64(a.load.Waiting), int64(a.load.Slots), a.load.MeanServiceTime.Milliseconds(), a.retryAfter.Milliseconds(),
		a.serviceTime.Milliseconds(), int64(percent * a.slowness),
	} {
		b = strconv.AppendInt(append(b, separator...), n, 10)
	}
	b = append(append(b, separator...), flagDigit(a.callFailed))
	if a.load.Cold {
		b = append(b, 'c')
	}
	resp.Header.SetBytesV(answerHeader, b)
}

// parseAttemptResult reads and removes the header that attemptResult.setHeader writes.
func parseAttemptResult(resp *fasthttp.Response) (attemptResult, error) {
	value := bytes.Clone(resp.Header.Peek(answerHeader))
	resp.Header.Del(answerHeader)
	value, cold := bytes.CutSuffix(value, []byte{'c'})
	parts := strings.Split(string(value), separator)
	if len(parts) != answerFieldCount || len(parts[0]) != 1 {
		return attemptResult{}, errInvalidHeader
	}
	numbers, err := parseIntegers(parts[3:])
	if err != nil {
		return attemptResult{}, err
	}
	result, reason := outcome(parts[0][0]), Reason(parts[1])
	switch result {
	case outcomeRan, outcomeNotRun:
	case outcomeUnknown:
		// Any other reason would tell the caller that the request did not run, or pass for a response.
		if !reason.leavesOutcomeUnknown() {
			reason = ReasonAnswerLost
		}
	default:
		return attemptResult{}, errInvalidHeader
	}
	return attemptResult{
		outcome: result, reason: reason, reachedUpstream: parts[2] == "1",
		load: slots.Load{
			Running: numbers[0], Waiting: numbers[1], Slots: numbers[2],
			MeanServiceTime: time.Duration(numbers[3]) * time.Millisecond, Cold: cold,
		},
		retryAfter:  time.Duration(numbers[4]) * time.Millisecond,
		serviceTime: time.Duration(numbers[5]) * time.Millisecond, slowness: float64(numbers[6]) / percent,
		callFailed: numbers[7] == 1,
	}, nil
}
