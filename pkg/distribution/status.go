package distribution

import (
	"fmt"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Status returns the state as of the last step of the control goroutine, at most about 100 ms ago.
func (m *Syncer) Status() Status { return *m.status.Load() }

func (m *Syncer) publishStatus() {
	now, plan, versions := m.now(), m.machine.PollPlan(), m.machine.Versions()
	s := &Status{
		Version:         m.state.Load().version(),
		Ready:           versions.Ready(),
		LastAnswerAgeMS: ageMS(now, m.machine.ViewConfirmedAt()),
		ConfirmedAgeMS:  ageMS(now, m.machine.VersionConfirmedAt()),
		SourceError:     m.sourceError(),
		MembersRevision: m.state.Load().members.revision(),
		IsReader:        plan.IsReader,
		Rank:            plan.Rank,
		Parents:         make([]string, 0, 2+len(plan.RemoteReaders)),
		Pauses:          m.pauses,
	}
	for _, address := range append([]string{plan.PrimaryParent, plan.SecondaryParent}, plan.RemoteReaders...) {
		if address != "" {
			s.Parents = append(s.Parents, address)
		}
	}
	if c := versions.Conflict(); c != nil {
		s.Conflict = c.String()
	}
	for _, r := range versions.Rejections() {
		s.Rejected = append(s.Rejected, Rejection{Version: r.Version, Faults: r.Faults})
	}
	m.status.Store(s)
}

func ageMS(now, at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return max(0, (now - at).Milliseconds())
}

// noteSource keeps the last failure of a source for the status, and logs when failures begin and end.
func (m *Syncer) noteSource(index int, err error) {
	s := &m.sources[index]
	log := m.o.Log.WithField("source", index)
	switch {
	case err != nil && s.failure == "":
		log.WithError(err).Warn("the source cannot be read; the greatest known version stays in force")
	case err == nil && s.failure != "":
		log.Info("the source can be read again")
	}
	s.failure = ""
	if err != nil {
		s.failure = err.Error()
	}
}

// sourceError returns the failures of all sources whose last read failed.
func (m *Syncer) sourceError() string {
	var failures []string
	for i := range m.sources {
		if text := m.sources[i].failure; text != "" {
			failures = append(failures, fmt.Sprintf("source %d: %s", i, text))
		}
	}
	return strings.Join(failures, "; ")
}

// noteRejected logs a version that is not adopted because its set is invalid.
func (m *Syncer) noteRejected(v wire.VersionID, faults string) {
	m.o.Log.WithField("version", v.String()).WithField("faults", faults).
		Error("the version is invalid and is not adopted; publish a corrected one with a higher number")
}
