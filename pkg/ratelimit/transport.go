package ratelimit

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// leaseTimeout is shorter than the borrower's own limit, so that a connection without an answer is closed
// before the borrower asks again.
const leaseTimeout = 250 * time.Millisecond

// HTTPTransport sends lease requests over HTTP.
type HTTPTransport struct{ client *fasthttp.Client }

// NewHTTPTransport returns a carrier that dials from the given source address, or from any when it is not valid.
func NewHTTPTransport(source netip.Addr) *HTTPTransport {
	dialer := &net.Dialer{Timeout: leaseTimeout}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return &HTTPTransport{client: &fasthttp.Client{
		Dial:                func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) },
		ReadTimeout:         leaseTimeout,
		WriteTimeout:        leaseTimeout,
		MaxIdleConnDuration: 10 * time.Second,
		MaxResponseBodySize: maxBody,
		// Short messages: headers that carry no meaning between nodes are left out.
		NoDefaultUserAgentHeader: true,
		// A repeated request would lease twice; the borrower decides when to ask again.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// RequestLease sends the request to the control address.
func (c *HTTPTransport) RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error) {
	return post[wire.LeaseResponse](c.client, address, wire.PathQuotaLease, req)
}

// RequestHandover sends the request to the control address.
func (c *HTTPTransport) RequestHandover(address string, req wire.HandoverRequest) (wire.HandoverResponse, error) {
	return post[wire.HandoverResponse](c.client, address, wire.PathQuotaHandover, req)
}

func post[Response any](client *fasthttp.Client, address, path string, message any) (Response, error) {
	var answer Response
	body, err := json.Marshal(message)
	if err != nil {
		return answer, eris.Wrap(err, "encode quota request")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + address + path)
	// Nodes are addressed by IP and port; the host's name carries no meaning and is kept short.
	req.UseHostHeader = true
	req.Header.SetHost("node")
	req.SetBodyRaw(body)
	if err := client.Do(req, resp); err != nil {
		return answer, eris.Wrap(err, "ask quota holder")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer, eris.Errorf("quota holder answered %d: %s", resp.StatusCode(), resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return answer, eris.Wrap(err, "decode quota response")
	}
	return answer, nil
}

// Close closes idle connections.
func (c *HTTPTransport) Close() { c.client.CloseIdleConnections() }
