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

// The hop between two nodes is the caller's request with one header more, and the response with one header more. One
// short header for all fields keeps the bytes between data centres few.
const (
	hopHeader    = "Bamboodeal-Hop"
	answerHeader = "Bamboodeal-Answer"
	separator    = ";"
	hopFields    = 8
	answerFields = 8
)

// errHop is a hop header that does not follow the protocol.
var errHop = eris.New("the header of the forwarded request is not valid; run the same release on all nodes")

// hop is what an entry node says of a forwarded request.
type hop struct {
	// upstream is the ID of the upstream that is to run the request.
	upstream string
	route    string
	// remaining is the time until the deadline, objective the time until the latency objective.
	remaining  time.Duration
	objective  time.Duration
	priority   int
	idempotent bool
	// strict asks for a refusal rather than an answer after the objective.
	strict bool
	// retriable requests can be sent elsewhere, and are not waited for much longer than usual.
	retriable bool
}

func (h *hop) write(req *fasthttp.Request) {
	var b []byte
	b = append(b, h.upstream...)
	b = append(append(b, separator...), h.route...)
	for _, n := range [...]int64{h.remaining.Milliseconds(), h.objective.Milliseconds(), int64(h.priority)} {
		b = strconv.AppendInt(append(b, separator...), n, 10)
	}
	for _, flag := range [...]bool{h.idempotent, h.strict, h.retriable} {
		b = append(append(b, separator...), digit(flag))
	}
	req.Header.SetBytesV(hopHeader, b)
}

func digit(flag bool) byte {
	if flag {
		return '1'
	}
	return '0'
}

func readHop(value []byte) (*hop, error) {
	parts := strings.Split(string(value), separator)
	if len(parts) != hopFields {
		return nil, errHop
	}
	numbers, err := integers(parts[2:5])
	if err != nil {
		return nil, err
	}
	return &hop{
		upstream: parts[0], route: parts[1],
		remaining:  time.Duration(numbers[0]) * time.Millisecond,
		objective:  time.Duration(numbers[1]) * time.Millisecond,
		priority:   numbers[2],
		idempotent: parts[5] == "1",
		strict:     parts[6] == "1",
		retriable:  parts[7] == "1",
	}, nil
}

func integers(texts []string) ([]int, error) {
	numbers := make([]int, len(texts))
	for i, text := range texts {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, errHop
		}
		numbers[i] = n
	}
	return numbers, nil
}

// outcome says whether a request ran at an upstream.
type outcome byte

const (
	ran     outcome = 'r'
	notRun  outcome = 'n'
	unknown outcome = 'u'
)

// answer says what came of a forwarded request. With ran, the response is the upstream's.
type answer struct {
	outcome outcome
	reason  Reason
	// arrived is true when the upstream saw the request, also when it did not run it.
	arrived bool
	load    slots.Load
	// after is when the upstream is expected to have room.
	after time.Duration
}

func (a *answer) write(resp *fasthttp.Response) {
	var b []byte
	b = append(b, byte(a.outcome), separator[0])
	b = append(append(b, string(a.reason)...), separator[0], digit(a.arrived))
	for _, n := range [...]int64{
		int64(a.load.Running), int64(a.load.Waiting), int64(a.load.Slots), a.load.MeanServiceTime.Milliseconds(), a.after.Milliseconds(),
	} {
		b = strconv.AppendInt(append(b, separator...), n, 10)
	}
	if a.load.Cold {
		b = append(b, 'c')
	}
	resp.Header.SetBytesV(answerHeader, b)
}

func readAnswer(resp *fasthttp.Response) (answer, error) {
	value := bytes.Clone(resp.Header.Peek(answerHeader))
	resp.Header.Del(answerHeader)
	value, cold := bytes.CutSuffix(value, []byte{'c'})
	parts := strings.Split(string(value), separator)
	if len(parts) != answerFields || len(parts[0]) != 1 {
		return answer{}, errHop
	}
	numbers, err := integers(parts[3:])
	if err != nil {
		return answer{}, err
	}
	return answer{
		outcome: outcome(parts[0][0]), reason: Reason(parts[1]), arrived: parts[2] == "1",
		load: slots.Load{
			Running: numbers[0], Waiting: numbers[1], Slots: numbers[2],
			MeanServiceTime: time.Duration(numbers[3]) * time.Millisecond, Cold: cold,
		},
		after: time.Duration(numbers[4]) * time.Millisecond,
	}, nil
}
