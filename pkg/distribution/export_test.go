package distribution

// WaitingPolls returns the number of polls that are held.
func (m *Syncer) WaitingPolls() int64 { return m.waiting.Load() }
