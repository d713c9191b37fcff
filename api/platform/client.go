package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of Client besides those of Source.
var (
	// ErrStale means that the answering replica is behind a revision that was already seen.
	ErrStale = errors.New("the platform's service answered with an older revision; ask another address")
	// ErrNotFound means that the service does not have the value, or no manifest was published.
	ErrNotFound = errors.New("the platform's service does not have this document; publish the whole bundle")
	// ErrMalformed means that the response does not follow the protocol.
	ErrMalformed = errors.New("the platform's response does not follow its protocol; check the address")
)

const (
	// defaultTimeout bounds a request beyond the time that it asks the service to wait. The service answers
	// in milliseconds.
	defaultTimeout = time.Second
	headerRevision = "X-Revision"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Addresses are base URLs such as http://10.0.0.1:7000. After a failure the next call uses the next one.
	Addresses []string
	// DialAddress is the source IP address of connections; empty leaves the choice to the system.
	DialAddress string
	// Timeout bounds a request beyond its wait; 0 means 1 s.
	Timeout time.Duration
}

// Client reads the platform's published protocol over HTTP. It is safe for concurrent use. A call sends one
// request at most; the caller decides about retries.
type Client struct {
	hosts   []string
	paths   []string
	current atomic.Uint32
	timeout time.Duration
	*SingleAttemptClient
}

var _ Source = (*Client)(nil)

// NewClient returns a Client, or an error that names a wrong address.
func NewClient(o ClientOptions) (*Client, error) {
	exchanger, err := NewSingleAttemptClient(o.DialAddress)
	if err != nil {
		return nil, err
	}
	c := &Client{timeout: o.Timeout, SingleAttemptClient: exchanger}
	if c.timeout == 0 {
		c.timeout = defaultTimeout
	}
	if len(o.Addresses) == 0 {
		return nil, errors.New("no platform address; set platform_addresses to at least one base URL")
	}
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Scheme != "http" || u.Hostname() == "" {
			return nil, fmt.Errorf("platform address %q is not a URL of the form http://host:port", address)
		}
		port := u.Port()
		if port == "" {
			port = "80"
		}
		c.hosts = append(c.hosts, net.JoinHostPort(u.Hostname(), port))
		c.paths = append(c.paths, u.Path)
	}
	return c, nil
}

// Manifest implements Source.
func (c *Client) Manifest(
	ctx context.Context, after uint64, wait time.Duration,
) (manifest []byte, revision uint64, changed bool, err error) {
	a, err := c.get(ctx, "/v1/config/manifest"+watchQuery(after, wait), wait)
	if err != nil {
		return nil, 0, false, err
	}
	if a.hasRevision && a.revision < after {
		c.next()
		return nil, 0, false, ErrStale
	}
	if a.status == fasthttp.StatusNotModified {
		return nil, after, false, nil
	}
	if !a.hasRevision {
		return nil, 0, false, fmt.Errorf("%w: the manifest has no %s header", ErrMalformed, headerRevision)
	}
	return a.body, a.revision, true, nil
}

// Value implements Source. It checks the digest.
func (c *Client) Value(ctx context.Context, digest string) ([]byte, error) {
	a, err := c.get(ctx, "/v1/config/values/"+url.PathEscape(digest), 0)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(a.body)
	if hex.EncodeToString(sum[:]) != digest {
		c.next()
		return nil, fmt.Errorf("%w: value %s has another digest", ErrMalformed, digest)
	}
	return a.body, nil
}

// Members implements Source.
func (c *Client) Members(ctx context.Context, after uint64, wait time.Duration) (*MemberList, error) {
	a, err := c.get(ctx, "/v1/members"+watchQuery(after, wait), wait)
	if err != nil || a.status == fasthttp.StatusNotModified {
		return nil, err
	}
	list := &MemberList{}
	if err := json.Unmarshal(a.body, list); err != nil {
		return nil, fmt.Errorf("%w: member list: %w", ErrMalformed, err)
	}
	if list.Revision < after {
		c.next()
		return nil, ErrStale
	}
	return list, nil
}

type answer struct {
	status      int
	body        []byte
	revision    uint64
	hasRevision bool
}

func (c *Client) get(ctx context.Context, path string, wait time.Duration) (answer, error) {
	i := int(c.current.Load()) % len(c.hosts)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.hosts[i] + c.paths[i] + path)
	req.Header.SetNoDefaultContentType(true)
	if err := c.Do(ctx, c.hosts[i], req, resp, wait+c.timeout); err != nil {
		c.CloseIdleConnectionsTo(c.hosts[i])
		c.next()
		return answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	a := answer{status: resp.StatusCode()}
	switch a.status {
	case fasthttp.StatusOK, fasthttp.StatusNotModified:
	case fasthttp.StatusTooManyRequests:
		return answer{}, ErrReadLimit
	case fasthttp.StatusNotFound:
		return answer{}, ErrNotFound
	default:
		c.next()
		return answer{}, fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
	}
	// The response is reused after this call, so its body is copied.
	a.body = append([]byte(nil), resp.Body()...)
	if text := string(resp.Header.Peek(headerRevision)); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return answer{}, fmt.Errorf("%w: %s %q", ErrMalformed, headerRevision, text)
		}
		a.revision, a.hasRevision = revision, true
	}
	return a, nil
}

// next makes the following calls use the next address.
func (c *Client) next() { c.current.Add(1) }

func watchQuery(after uint64, wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
