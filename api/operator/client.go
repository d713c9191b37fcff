package operator

import (
	"encoding/json"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrNoAnswer reports a node whose operator port gave no usable answer. Errors of the client wrap it.
var ErrNoAnswer = eris.New("the node's operator port does not answer; check the address and the node's log")

// maxResponseBytes bounds an answer; a status is a few hundred bytes, a burn report a few kilobytes.
const maxResponseBytes = 4 << 20

// Client reads the operator ports of nodes. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	client  *fasthttp.Client
}

// NewClient returns a client whose calls take at most the timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{
		timeout: timeout,
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader: true,
			ReadTimeout:              timeout,
			WriteTimeout:             timeout,
			MaxResponseBodySize:      maxResponseBytes,
			// The library repeats idempotent calls by itself; a node that does not answer is reported instead.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				return fasthttp.DialDualStackTimeout(address, timeout)
			},
		},
	}
}

// Status reads the status of the node at an operator address.
func (c *Client) Status(address string) (Status, error) {
	var s Status
	err := c.get(address, PathStatus, &s)
	return s, err
}

// BurnReport reads the burn report of the node at an operator address.
func (c *Client) BurnReport(address string) (BurnReport, error) {
	var b BurnReport
	err := c.get(address, PathBurnReport, &b)
	return b, err
}

func (c *Client) get(address, path string, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	// The deadline of the request is kept by the connection's own deadlines, so no call stays behind.
	request.SetTimeout(c.timeout)
	request.SetConnectionClose()
	if err := c.client.Do(request, response); err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s%s: %v", address, path, err)
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return eris.Wrapf(ErrNoAnswer, "%s%s: status %d", address, path, code)
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s%s: not the expected JSON: %v", address, path, err)
	}
	return nil
}
