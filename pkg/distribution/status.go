package distribution

import (
	"fmt"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Status returns the state as of the last step of the control goroutine, at most about 100 ms ago.
func (s *Syncer) Status() Status { return *s.status.Load() }

// publishStatus makes the current state visible to Status.
func (s *Syncer) publishStatus() {
	now, plan, versions := s.now(), s.machine.PollPlan(), s.machine.Versions()
	status := &Status{
		Version:         s.state.Load().version(),
		Ready:           versions.Ready(),
		LastAnswerAgeMS: ageMS(now, s.machine.ViewConfirmedAt()),
		ConfigAgeMS:     ageMS(now, s.machine.VersionConfirmedAt()),
		SourceError:     s.sourceError(),
		MembersRevision: s.state.Load().members.revision(),
		IsReader:        plan.IsReader,
		Rank:            plan.Rank,
		Parents:         make([]string, 0, 2+len(plan.RemoteReaders)),
		Pauses:          s.pauseCount,
	}
	for _, address := range append([]string{plan.PrimaryParent, plan.SecondaryParent}, plan.RemoteReaders...) {
		if address != "" {
			status.Parents = append(status.Parents, address)
		}
	}
	if conflict := versions.Conflict(); conflict != nil {
		status.Conflict = conflict.String()
	}
	for _, r := range versions.Rejections() {
		status.Rejected = append(status.Rejected, Rejection{Version: r.Version, Faults: r.Faults})
	}
	s.status.Store(status)
}

// ageMS returns the time since at in milliseconds, or -1 when at is zero.
func ageMS(now, at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return max(0, (now - at).Milliseconds())
}

// recordSourceResult keeps the error of the last read of a source for the status, and logs when reads begin to fail and
// when they succeed again.
func (s *Syncer) recordSourceResult(index int, err error) {
	source := &s.sources[index]
	log := s.options.Log.WithField("source", index)
	switch {
	case err != nil && source.lastError == "":
		log.WithError(err).Warn("the source cannot be read; the highest known version stays in force")
	case err == nil && source.lastError != "":
		log.Info("the source can be read again")
	}
	source.lastError = ""
	if err != nil {
		source.lastError = err.Error()
	}
}

// sourceError returns the errors of all sources whose last read failed, or "".
func (s *Syncer) sourceError() string {
	var errors []string
	for i := range s.sources {
		if text := s.sources[i].lastError; text != "" {
			errors = append(errors, fmt.Sprintf("source %d: %s", i, text))
		}
	}
	return strings.Join(errors, "; ")
}

// logRejected logs a version that is not adopted because its set is not valid.
func (s *Syncer) logRejected(v wire.VersionID, faults string) {
	s.options.Log.WithField("version", v.String()).WithField("faults", faults).
		Error("the version is invalid and is not adopted; publish a corrected one with a higher number")
}
