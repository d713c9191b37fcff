package distribution

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

const (
	// maxWaitingPolls bounds the polls that wait for a change at one time; further ones are answered at once. A node is
	// polled by 8 children, and by a few more while other nodes are dead.
	maxWaitingPolls = 128
	// serverIdleTimeout is above the 10 s after which the polling nodes close an idle connection.
	serverIdleTimeout = 60 * time.Second
	// serverWriteTimeout bounds the time for which a client that has stopped reading can occupy a connection.
	serverWriteTimeout = 5 * time.Second
)

// versionAnswer is the response on wire.PathConfigVersion.
type versionAnswer struct {
	Version wire.VersionID `json:"version"`
	Members uint64         `json:"members"`
	Ready   bool           `json:"ready"`
}

// ConfigureServer sets the options of the control port's server that keep responses without news small and bound the
// time for which a connection can be occupied.
func ConfigureServer(s *fasthttp.Server) {
	s.NoDefaultServerHeader = true
	s.NoDefaultDate = true
	s.NoDefaultContentType = true
	s.IdleTimeout = serverIdleTimeout
	s.WriteTimeout = serverWriteTimeout
	s.MaxRequestBodySize = 1 << 16
	s.CloseOnShutdown = true
}

// ControlHandler serves wire.PathConfigPoll and wire.PathConfigVersion, and answers 404 on any other path. A poll waits
// for at most 2 s and ends at once when the node stops.
func (s *Syncer) ControlHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case wire.PathConfigPoll:
			s.servePoll(ctx)
		case wire.PathConfigVersion:
			s.serveVersion(ctx)
		default:
			ctx.Error("no such path on the control port", fasthttp.StatusNotFound)
		}
	}
}

func (s *Syncer) serveVersion(ctx *fasthttp.RequestCtx) {
	state := s.state.Load()
	data, err := json.Marshal(versionAnswer{Version: state.version(), Members: state.members.revision(), Ready: s.Ready()})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Syncer) servePoll(ctx *fasthttp.RequestCtx) {
	poll, err := readPollRequest(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.ObserveVersion(poll.have, poll.address)
	state := s.awaitNews(&poll)
	now := s.now()
	answer, err := state.answerPoll(&poll, now)
	if err == nil {
		answer.Unconfirmed = !s.options.Freshness.ViewConfirmedWithin(now, membership.FreshnessLimit)
		err = answer.write(&ctx.Response)
	}
	if err != nil {
		s.options.Log.WithError(err).Error("cannot answer a poll")
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// awaitNews returns the state with which to answer a poll: as soon as the state has something newer than the polling
// node, or when the wait is over.
func (s *Syncer) awaitNews(poll *pollRequest) *servedState {
	state := s.state.Load()
	wait := min(poll.wait, decide.PollWait)
	if wait <= 0 || s.waitingPolls.Add(1) > maxWaitingPolls {
		if wait > 0 {
			s.waitingPolls.Add(-1)
		}
		return state
	}
	defer s.waitingPolls.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !decide.ShouldAnswerAtOnce(poll.have, state.version(), poll.membersRevision, state.members.revision()) {
		select {
		case <-state.changed:
			state = s.state.Load()
		case <-timer.C:
			return state
		case <-s.stopped:
			return state
		}
	}
	return state
}
