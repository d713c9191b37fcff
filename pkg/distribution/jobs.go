package distribution

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
)

const (
	// readTimeout bounds a read of a source, in addition to the time for which the source may wait for a change.
	readTimeout = time.Second
	// valuesTimeout bounds the time for reading all values of one version.
	valuesTimeout = 10 * time.Second
	// maxConcurrentValueReads bounds the values that are read at the same time.
	maxConcurrentValueReads = 4
)

// startJob runs a job in a goroutine of its own and sends its result to the control goroutine. The job is cancelled
// when the process was paused and when the node stops.
func (s *Syncer) startJob(timeout time.Duration, job func(ctx context.Context) jobResult) {
	parent := s.jobsCtx
	s.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		r := job(ctx)
		r.ctx = parent
		select {
		case s.results <- r:
		case <-s.stopped:
		}
	})
}

func (s *Syncer) startPoll(a decide.Poll) {
	state := s.state.Load()
	base := state.current
	if s.pending != nil && state.version().Less(s.pending.version) {
		base = s.pending
	}
	request := pollRequest{
		membersRevision: state.members.revision(), wait: a.Wait, contents: a.Contents, address: s.options.ControlAddress,
	}
	if base != nil {
		request.have = base.version
	}
	s.startJob(a.Timeout, func(ctx context.Context) jobResult {
		answer, err := s.sendPoll(ctx, a, &request)
		if err != nil {
			return jobResult{events: []decide.Event{decide.PollFailed{ID: a.ID}}}
		}
		return s.processPollAnswer(a, &request, base, state.members, answer)
	})
}

// sendPoll polls another node once.
func (s *Syncer) sendPoll(ctx context.Context, a decide.Poll, request *pollRequest) (*pollAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	request.write(req, a.Address)
	if a.NewConnection {
		s.client.CloseIdleConnectionsTo(a.Address)
	}
	if err := s.client.Do(ctx, a.Address, req, resp, a.Timeout); err != nil {
		s.client.CloseIdleConnectionsTo(a.Address)
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.New("the node does not serve polls")
	}
	return readPollAnswer(resp)
}

// processPollAnswer decodes and verifies a node's answer to a poll. base and list are the configuration and the member
// list that this node had when it sent the poll. The work is done in the job, so that it does not delay the control
// goroutine.
func (s *Syncer) processPollAnswer(
	a decide.Poll, request *pollRequest, base *verifiedConfig, list *memberList, answer *pollAnswer,
) jobResult {
	e := decide.PollAnswered{ID: a.ID, Version: request.have, MembersRevision: answer.Members, ViewUnconfirmed: answer.Unconfirmed}
	if answer.Version != nil {
		e.Version = *answer.Version
	}
	if answer.AgeMS >= 0 {
		e.VersionConfirmed, e.ConfirmationAge = true, time.Duration(answer.AgeMS)*time.Millisecond
	}
	var received *verifiedConfig
	if answer.Set != nil {
		received, e.SetStatus, e.Faults = decodeAndVerify(answer.Set, e.Version, base)
	}
	var newer *memberList
	if answer.List != nil {
		// A list that cannot be decoded is ignored, because the next answer contains the list again.
		newer, _ = answer.List.decode(list)
	}
	return jobResult{
		events: []decide.Event{e},
		apply: func() {
			s.keepPending(received)
			s.setMembers(newer)
			if e.SetStatus == decide.InvalidSet {
				s.logRejected(e.Version, e.Faults)
			}
		},
	}
}

// decodeAndVerify decodes a configuration that another node sent and verifies it.
func decodeAndVerify(d *encodedConfig, version wire.VersionID, base *verifiedConfig) (*verifiedConfig, decide.SetStatus, string) {
	manifest, values, err := d.decode(version, base)
	if err != nil {
		return nil, decide.IncompleteSet, err.Error()
	}
	return verify(manifest, values)
}

func (s *Syncer) startReadManifest(a decide.ReadManifest) {
	last := s.sources[a.Source]
	s.startJob(a.Wait+readTimeout, func(ctx context.Context) jobResult {
		manifest, revision, changed, err := s.options.Sources[a.Source].Manifest(ctx, last.manifestRevision, a.Wait)
		if errors.Is(err, platform.ErrNotFound) {
			// The source has answered; it has no manifest yet.
			err, changed, manifest, revision = nil, true, nil, 0
		}
		if err != nil {
			return s.readFailed(a.ID, a.Source, err)
		}
		version, faults := manifestVersion(manifest)
		e := decide.ManifestRead{ID: a.ID, Version: version, Faults: faults}
		result := jobResult{}
		result.apply = func() {
			s.recordSourceResult(a.Source, nil)
			source := &s.sources[a.Source]
			if changed {
				source.manifestRevision, source.version, source.manifest, source.faults = revision, version, manifest, faults
				if faults != "" {
					s.logRejected(version, faults)
				}
			}
		}
		if !changed {
			e.Version, e.Faults = last.version, last.faults
		}
		result.events = []decide.Event{e}
		return result
	})
}

// manifestVersion returns the version of a manifest. If the manifest cannot be parsed, the version has only the digest
// and faults says why.
func manifestVersion(manifest []byte) (version wire.VersionID, faults string) {
	if len(manifest) == 0 {
		return wire.VersionID{}, ""
	}
	version.Digest = bundle.Digest(manifest)
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil {
		return version, err.Error()
	}
	version.Number = parsed.Version
	return version, ""
}

func (s *Syncer) startReadMembers(a decide.ReadMembers) {
	after := s.sources[a.Source].membersRevision
	s.startJob(a.Wait+readTimeout, func(ctx context.Context) jobResult {
		list, err := s.options.Sources[a.Source].Members(ctx, after, a.Wait)
		if err != nil {
			return s.readFailed(a.ID, a.Source, err)
		}
		var newer *memberList
		if list != nil {
			newer, err = newMemberList(list)
		}
		if err != nil {
			return s.readFailed(a.ID, a.Source, err)
		}
		return jobResult{
			events: []decide.Event{decide.MembersRead{ID: a.ID}},
			apply: func() {
				if newer != nil {
					s.sources[a.Source].membersRevision = newer.revision()
					s.setMembers(newer)
				}
			},
		}
	})
}

// readFailed returns the result of a read of a source that failed.
func (s *Syncer) readFailed(id uint64, source int, err error) jobResult {
	return jobResult{
		events: []decide.Event{decide.ReadFailed{ID: id}},
		apply: func() {
			s.recordSourceResult(source, err)
			if errors.Is(err, platform.ErrStale) {
				// The source's revisions may have started again from 0, so the next read asks for any revision.
				s.sources[source].manifestRevision, s.sources[source].membersRevision = 0, 0
			}
		},
	}
}

func (s *Syncer) startReadValues(a decide.ReadValues) {
	var manifest []byte
	for i := range s.sources {
		if s.sources[i].version == a.Version {
			manifest = s.sources[i].manifest
		}
	}
	known := s.state.Load().allValues(s.pending)
	s.startJob(valuesTimeout, func(ctx context.Context) jobResult {
		values, err := s.readValues(ctx, a.Source, manifest, known)
		if err != nil {
			return s.readFailed(a.ID, a.Source, err)
		}
		config, status, faults := verify(manifest, values)
		return jobResult{
			events: []decide.Event{decide.ValuesRead{ID: a.ID, SetStatus: status, Faults: faults}},
			apply: func() {
				s.keepPending(config)
				if status == decide.InvalidSet {
					s.logRejected(a.Version, faults)
				}
			},
		}
	})
}

// readValues returns all values of a manifest by digest. It reads only those that are not among the known ones.
func (s *Syncer) readValues(
	ctx context.Context, source int, manifest []byte, known map[string][]byte,
) (map[string][]byte, error) {
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	data := make([][]byte, len(parsed.Values))
	p := pool.New().WithMaxGoroutines(maxConcurrentValueReads).WithContext(ctx).WithCancelOnError()
	for i, v := range parsed.Values {
		if known[v.Digest] != nil {
			data[i] = known[v.Digest]
			continue
		}
		p.Go(func(ctx context.Context) error {
			var err error
			data[i], err = s.options.Sources[source].Value(ctx, v.Digest)
			return err
		})
	}
	if err := p.Wait(); err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(data))
	for i, v := range parsed.Values {
		values[v.Digest] = data[i]
	}
	return values, nil
}
