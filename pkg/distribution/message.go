package distribution

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Arguments of a poll. They are short because a poll without news is most of what travels.
const (
	argHave     = "h" // version that the asking node has
	argMembers  = "m" // revision of its member list
	argWait     = "w" // longest wait in milliseconds
	argContents = "c" // "1" asks for the contents
	argAddress  = "a" // control address of the asking node
)

// pollRequest is a poll as it travels.
type pollRequest struct {
	have     wire.VersionID
	members  uint64
	wait     time.Duration
	contents bool
	address  string
}

func (p *pollRequest) write(req *fasthttp.Request, host string) {
	req.Header.SetMethod(fasthttp.MethodGet)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + host + wire.PathConfigPoll)
	args := req.URI().QueryArgs()
	if !p.have.IsZero() {
		args.Set(argHave, p.have.String())
	}
	args.SetUint(argMembers, int(p.members))
	if p.wait > 0 {
		args.SetUint(argWait, int(p.wait.Milliseconds()))
	}
	if p.contents {
		args.Set(argContents, "1")
	}
	args.Set(argAddress, p.address)
}

func readPollRequest(args *fasthttp.Args) (pollRequest, error) {
	// The arguments' bytes are reused after the handler returns; the conversions to string copy them.
	p := pollRequest{
		contents: string(args.Peek(argContents)) == "1",
		address:  string(args.Peek(argAddress)),
	}
	var err error
	if have := string(args.Peek(argHave)); have != "" {
		if p.have, err = wire.ParseVersionID(have); err != nil {
			return p, err
		}
	}
	if revision := string(args.Peek(argMembers)); revision != "" {
		if p.members, err = strconv.ParseUint(revision, 10, 64); err != nil {
			return p, err
		}
	}
	if wait := string(args.Peek(argWait)); wait != "" {
		ms, err := strconv.ParseUint(wait, 10, 32)
		if err != nil {
			return p, err
		}
		p.wait = time.Duration(ms) * time.Millisecond
	}
	return p, nil
}

// pollAnswer is the answer to a poll. What equals the request is left out.
type pollAnswer struct {
	Version *wire.VersionID `json:"version,omitempty"`
	Members uint64          `json:"members,omitempty"`
	// AgeMS is the time since the source confirmed the version, in milliseconds; -1 means never.
	AgeMS int64 `json:"age_ms"`
	// Unconfirmed is set while the answering node's own view is not confirmed.
	Unconfirmed bool          `json:"unconfirmed,omitempty"`
	Set         *delivery     `json:"set,omitempty"`
	List        *listDelivery `json:"list,omitempty"`
}

// answerCache keeps the encoded parts of answers, so that a change is encoded once for all children that have the
// same version. It belongs to one state and is bounded by the versions and lists that the state holds.
type answerCache struct {
	mu    sync.Mutex
	sets  map[wire.VersionID]*delivery
	lists map[uint64]*listDelivery
}

func newAnswerCache() *answerCache {
	return &answerCache{sets: map[wire.VersionID]*delivery{}, lists: map[uint64]*listDelivery{}}
}

func (s *state) set(have wire.VersionID) (*delivery, error) {
	base := s.find(have)
	if base == nil {
		have = wire.VersionID{}
	}
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	if d := s.cache.sets[have]; d != nil {
		return d, nil
	}
	d, err := s.current.encode(base)
	if err == nil {
		s.cache.sets[have] = d
	}
	return d, err
}

func (s *state) list(revision uint64) (*listDelivery, error) {
	base := s.findList(revision)
	if base == nil {
		revision = 0
	}
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	if d := s.cache.lists[revision]; d != nil {
		return d, nil
	}
	d, err := s.members.encode(base)
	if err == nil {
		s.cache.lists[revision] = d
	}
	return d, err
}

// answer returns the answer of the state to a request at the time now.
func (s *state) answer(p *pollRequest, now time.Duration) (*pollAnswer, error) {
	a := &pollAnswer{AgeMS: s.age(now)}
	version := s.version()
	if version != p.have {
		a.Version = &version
	}
	newerList := s.members.revision() > p.members
	if s.members.revision() != p.members {
		a.Members = s.members.revision()
	}
	if !p.contents {
		return a, nil
	}
	var err error
	if p.have.Less(version) {
		if a.Set, err = s.set(p.have); err != nil {
			return nil, err
		}
	}
	if newerList {
		a.List, err = s.list(p.members)
	}
	return a, err
}

func (a *pollAnswer) write(resp *fasthttp.Response) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	// JSON between own processes needs no content type, which would be a fifth of an answer without news.
	resp.Header.SetNoDefaultContentType(true)
	resp.SetBody(data)
	return nil
}

func readPollAnswer(resp *fasthttp.Response) (*pollAnswer, error) {
	a := &pollAnswer{}
	decoder := json.NewDecoder(bytes.NewReader(resp.Body()))
	if err := decoder.Decode(a); err != nil {
		return nil, err
	}
	return a, nil
}
