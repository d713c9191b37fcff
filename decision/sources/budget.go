package sources

import "time"

const (
	// DefaultChangeBound is the time within which a change has to be in force if the settings state none.
	DefaultChangeBound = 2 * time.Second
	// MaxStoreAge is the longest time since a reader last had contact with the store for which its followers stay with
	// it. A change that the reader missed still has to reach its followers within 2 s.
	MaxStoreAge = 1200 * time.Millisecond
	// ReadWait is how long a read waits at the source for a change. After this time a node notices that a reader has
	// lost the store or that a connection no longer answers.
	ReadWait = 500 * time.Millisecond
	// relayReadWait is the same for a reader that reads from another reader. It is shorter, because the data of such a
	// reader may be older by this wait, and the data of its followers by their own wait in addition.
	relayReadWait = 150 * time.Millisecond
	// probeWait is the same while a node looks for a source that answers: one that works then shows it at once. A change
	// that the node has missed is returned without a wait in any case.
	probeWait = time.Millisecond
	// AnswerMargin is how long the answer of a node may take beyond the wait, storeAnswerMargin that of the store. When
	// time is short the wait becomes shorter before the margin falls below minAnswerMargin: a busy node that counts as
	// lost sends its followers to the store.
	AnswerMargin      = 350 * time.Millisecond
	storeAnswerMargin = 600 * time.Millisecond
	minAnswerMargin   = 300 * time.Millisecond
	// wholeReadTimeout is how long the store may take for all entries. Without them a node has nothing to serve with, and no
	// other source is more certain to have them.
	wholeReadTimeout = 1300 * time.Millisecond
	// effectReserve is the part of the change bound for what follows the read: the new view, and requests that are on
	// their way under the old one.
	effectReserve = 150 * time.Millisecond
	// storeReserve is the time that is kept for a read of the store while other nodes are tried: a new connection, and a
	// large value over a narrow link (120 KB at 10 Mbit/s take 0.1 s, in base64 a third more).
	storeReserve = 350 * time.Millisecond
	// peerReserve is the time that a reader keeps for another node while it waits for the store.
	peerReserve = 200 * time.Millisecond
	// minAttempt is the shortest time for an attempt at another node: a connection and an answer without a wait.
	minAttempt = 100 * time.Millisecond
)

// Limits bound one attempt to read from a source.
type Limits struct {
	// Wait is how long the source may wait for a change. Timeout is the time after which the node tries another source.
	Wait, Timeout time.Duration
}

// Budget is the time that all attempts to read share, so that a change is in force in time whatever sources fail. It
// begins when the store last confirmed what the node has, since a change may have been acknowledged right after that, and
// ends early enough for the change to take effect within its bound.
type Budget struct{ bound time.Duration }

// NewBudget returns the budget for changes that have to be in force within the bound after the store acknowledged them.
// A bound of 0 stands for DefaultChangeBound.
func NewBudget(bound time.Duration) Budget {
	if bound <= 0 {
		bound = DefaultChangeBound
	}
	return Budget{bound}
}

// MaxStoreAge returns the longest time since a reader last had contact with the store for which its followers stay with
// it.
func (b Budget) MaxStoreAge() time.Duration {
	return min(MaxStoreAge, time.Duration(float64(b.bound)*float64(MaxStoreAge)/float64(DefaultChangeBound)))
}

// left returns what is left for attempts, given the time since the store last confirmed what the node has. It is
// negative if the budget is spent.
func (b Budget) left(age time.Duration) time.Duration { return b.bound - effectReserve - age }

// needsStore reports whether the time that is left has to be used for a read of the store.
func (b Budget) needsStore(age time.Duration) bool { return b.left(age) < storeReserve+minAttempt }

// limitPeer shortens an attempt at another node so that it leaves the reserve for the store. While the node is searching,
// half of the time until then is left for the next attempt.
func (b Budget) limitPeer(l Limits, age time.Duration, searching bool) Limits {
	spare := b.left(age) - storeReserve
	if searching {
		spare /= 2
	}
	return l.shorten(max(minAttempt, spare))
}

// limitStore shortens an attempt at the store so that it leaves the reserve for other nodes, if there are any to be tried.
func (b Budget) limitStore(l Limits, age time.Duration, others bool) Limits {
	spare := b.left(age)
	if others {
		spare -= peerReserve
	}
	return l.shorten(max(storeReserve, spare))
}

// shorten bounds the timeout, and the wait so that there is time for the answer.
func (l Limits) shorten(timeout time.Duration) Limits {
	l.Timeout = min(l.Timeout, timeout)
	l.Wait = min(l.Wait, max(probeWait, l.Timeout-minAnswerMargin))
	return l
}
