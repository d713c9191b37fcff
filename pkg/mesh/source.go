package mesh

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryLost means that the source no longer has the changes after the revision; read everything.
var ErrHistoryLost = eris.New("the source discarded the history after this revision; read everything again")

// ErrStoreBusy means that the store turned the call away without doing anything; wait before the next call.
var ErrStoreBusy = eris.New("the store turned the call away; wait before the next call")

// ErrReaderStale means that a reader has lost its own contact to the store; follow another one.
var ErrReaderStale = eris.New("the reader has no contact to the store; follow another one")

// Position is how far a follower is.
type Position struct {
	Revision uint64 `json:"r"`
	// LargeRevisions are the revisions of its large entries, to which it takes patches.
	LargeRevisions map[string]uint64 `json:"l,omitempty"`
	// WideLinksDigest is the digest of the VMs that the follower knows to have wide links. Wide lists them while the last
	// answer showed that the source knows others.
	WideLinksDigest uint64   `json:"n,omitempty"`
	WideLinkVMs     []string `json:"w,omitempty"`
}

// Source is the platform's store, or another node that reads it. It is used by one goroutine.
type Source interface {
	// Read returns what changed after a position, as soon as there is something or after the wait. Revision 0 asks
	// for everything at once. ErrHistoryLost asks for that.
	Read(after Position, wait time.Duration) (Delta, error)
}
