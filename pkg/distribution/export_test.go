package distribution

// WaitingPolls returns the number of polls of other nodes that wait for a change.
func (s *Syncer) WaitingPolls() int64 { return s.waitingPolls.Load() }
