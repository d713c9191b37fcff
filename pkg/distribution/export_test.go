package distribution

// WaitingPolls returns the number of polls of other nodes that wait for a change.
func (syncer *Syncer) WaitingPolls() int64 { return syncer.waitingPolls.Load() }
