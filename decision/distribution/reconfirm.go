package distribution

import "time"

// reconfirmationTimeout is the time after a pause from which on any answer confirms the node's view, as it does on
// nodes that were not paused. Without it, a version that no node can deliver, or a pause of all nodes at the same time,
// would leave the nodes unconfirmed forever.
const reconfirmationTimeout = 10 * time.Second

// agreement states whether an answer agrees with a part of this node's view: its version or its member list.
type agreement int

const (
	notStated agreement = iota // the answer does not state this part
	agrees
	differs
)

func agreementOf(same bool) agreement {
	if same {
		return agrees
	}
	return differs
}

// reconfirmation tracks the answers that a node needs after a pause before its view counts as confirmed again: answers
// which show that a node with a confirmed view, or the source, has the same version and member list. Other answers do
// not count: an answer with a newer version shows that this node's version is out of date.
type reconfirmation struct {
	pending bool
	since   time.Duration
	// version and list are true when the last answer about them agreed with this node's view.
	version, list bool
}

// recordAnswer records an answer of a node or the source, and whether it agrees with this node's version and member
// list.
func (m *StateMachine) recordAnswer(now time.Duration, version, list agreement) {
	m.lastAnswerAt = now
	r := &m.reconfirmation
	if r.pending {
		if version != notStated {
			r.version = version == agrees
		}
		if list != notStated {
			r.list = list == agrees
		}
		complete := r.version && (r.list || m.list == nil)
		r.pending = !complete && now-r.since < reconfirmationTimeout
	}
	if !r.pending {
		m.viewConfirmedAt = now
	}
}
