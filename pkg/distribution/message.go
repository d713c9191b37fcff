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

// Query parameters of a poll. Their names are short because polls without news make up most of the control traffic.
const (
	argHave     = "h" // version that the polling node has
	argMembers  = "m" // revision of its member list
	argWait     = "w" // longest wait in milliseconds
	argContents = "c" // "1" asks for the contents of newer versions and lists
	argAddress  = "a" // control address of the polling node
)

// pollRequest holds the query parameters of a poll.
type pollRequest struct {
	have            wire.VersionID
	membersRevision uint64
	wait            time.Duration
	contents        bool
	address         string
}

func (poll *pollRequest) write(req *fasthttp.Request, host string) {
	req.Header.SetMethod(fasthttp.MethodGet)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI("http://" + host + wire.PathConfigPoll)
	args := req.URI().QueryArgs()
	if !poll.have.IsZero() {
		args.Set(argHave, poll.have.String())
	}
	args.SetUint(argMembers, int(poll.membersRevision))
	if poll.wait > 0 {
		args.SetUint(argWait, int(poll.wait.Milliseconds()))
	}
	if poll.contents {
		args.Set(argContents, "1")
	}
	args.Set(argAddress, poll.address)
}

func readPollRequest(args *fasthttp.Args) (pollRequest, error) {
	// The arguments' bytes are reused after the handler returns; the conversions to string copy them.
	poll := pollRequest{
		contents: string(args.Peek(argContents)) == "1",
		address:  string(args.Peek(argAddress)),
	}
	var err error
	if have := string(args.Peek(argHave)); have != "" {
		if poll.have, err = wire.ParseVersionID(have); err != nil {
			return poll, err
		}
	}
	if revision := string(args.Peek(argMembers)); revision != "" {
		if poll.membersRevision, err = strconv.ParseUint(revision, 10, 64); err != nil {
			return poll, err
		}
	}
	if wait := string(args.Peek(argWait)); wait != "" {
		ms, err := strconv.ParseUint(wait, 10, 32)
		if err != nil {
			return poll, err
		}
		poll.wait = time.Duration(ms) * time.Millisecond
	}
	return poll, nil
}

// pollAnswer is the response to a poll. Version and Members are left out when they equal those of the request.
type pollAnswer struct {
	Version *wire.VersionID `json:"version,omitempty"`
	// Members is the revision of the member list.
	Members uint64 `json:"members,omitempty"`
	// AgeMS is the time in milliseconds since the source last confirmed the version; -1 means never.
	AgeMS int64 `json:"age_ms"`
	// Unconfirmed is set while the answering node's own view is not confirmed.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Set is the configuration if it is newer than the polling node's and the poll asks for contents.
	Set *encodedConfig `json:"set,omitempty"`
	// List is the member list if it is newer than the polling node's and the poll asks for contents.
	List *encodedMemberList `json:"list,omitempty"`
}

// answerCache caches the encoded parts of answers, so that a change is encoded only once for all polling nodes that
// have the same version. It belongs to one servedState; its size is bounded by the versions and lists that the state
// holds.
type answerCache struct {
	mu sync.Mutex
	// configs holds the current configuration by the version for which it is encoded.
	configs map[wire.VersionID]*encodedConfig
	// lists holds the current member list by the revision for which it is encoded.
	lists map[uint64]*encodedMemberList
}

func newAnswerCache() *answerCache {
	return &answerCache{configs: map[wire.VersionID]*encodedConfig{}, lists: map[uint64]*encodedMemberList{}}
}

// encodedConfigFor returns the current configuration, encoded for a node that has the given version.
func (s *servedState) encodedConfigFor(have wire.VersionID) (*encodedConfig, error) {
	base := s.findConfig(have)
	if base == nil {
		have = wire.VersionID{}
	}
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	if d := s.cache.configs[have]; d != nil {
		return d, nil
	}
	d, err := s.current.encode(base)
	if err == nil {
		s.cache.configs[have] = d
	}
	return d, err
}

// encodedMembersFor returns the current member list, encoded for a node that has the given revision.
func (s *servedState) encodedMembersFor(revision uint64) (*encodedMemberList, error) {
	base := s.findMembers(revision)
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

// answerPoll returns the state's answer to a poll at the time now.
func (s *servedState) answerPoll(poll *pollRequest, now time.Duration) (*pollAnswer, error) {
	answer := &pollAnswer{AgeMS: s.confirmationAgeMS(now)}
	version := s.version()
	if version != poll.have {
		answer.Version = &version
	}
	newerList := s.members.revision() > poll.membersRevision
	if s.members.revision() != poll.membersRevision {
		answer.Members = s.members.revision()
	}
	if !poll.contents {
		return answer, nil
	}
	var err error
	if poll.have.Less(version) {
		if answer.Set, err = s.encodedConfigFor(poll.have); err != nil {
			return nil, err
		}
	}
	if newerList {
		answer.List, err = s.encodedMembersFor(poll.membersRevision)
	}
	return answer, err
}

func (answer *pollAnswer) write(resp *fasthttp.Response) error {
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	// Nodes do not need a Content-Type header; it would make up a fifth of an answer without news.
	resp.Header.SetNoDefaultContentType(true)
	resp.SetBody(data)
	return nil
}

func readPollAnswer(resp *fasthttp.Response) (*pollAnswer, error) {
	answer := &pollAnswer{}
	decoder := json.NewDecoder(bytes.NewReader(resp.Body()))
	if err := decoder.Decode(answer); err != nil {
		return nil, err
	}
	return answer, nil
}
