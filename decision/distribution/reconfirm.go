package distribution

import "time"

// resumeGrace is the time after which a node that resumed takes any answer as a confirmation, as other nodes do.
// Without it, a version that nobody can deliver, or a pause of all nodes at once, would stop the mesh for good.
const resumeGrace = 10 * time.Second

// opinion is what an answer says of a part of this node's view.
type opinion int

const (
	silent opinion = iota
	agrees
	differs
)

func opinionOf(same bool) opinion {
	if same {
		return agrees
	}
	return differs
}

// reconfirmation is what a node must hear after a pause before its view counts as confirmed again: that its version
// and its member list are those of a node with a confirmed view, or of the source. Any answer would not do: one that
// names a newer version shows that the node must not act on the version that it has.
type reconfirmation struct {
	pending       bool
	since         time.Duration
	version, list bool
}

// noteAnswer records an answer of a node or the source and what it says of this node's view.
func (m *StateMachine) noteAnswer(now time.Duration, version, list opinion) {
	m.heard = now
	r := &m.reconfirm
	if r.pending {
		if version != silent {
			r.version = version == agrees
		}
		if list != silent {
			r.list = list == agrees
		}
		complete := r.version && (r.list || m.list == nil)
		r.pending = !complete && now-r.since < resumeGrace
	}
	if !r.pending {
		m.viewed = now
	}
}
