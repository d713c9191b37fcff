package mesh

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/decision/consistency"
)

// ErrHistoryLost means that the source no longer has all changes after the given revision, so the caller has to read
// everything.
var ErrHistoryLost = eris.New("the source discarded the history after this revision; read everything again")

// ErrEraChanged means that the store was restored from a copy since the position, so the caller has to read everything.
var ErrEraChanged = eris.New("the store was restored from a copy; read everything again")

// ErrOlderEra means that an answer comes from before a restore of the store that is already known.
var ErrOlderEra = eris.New("the answer is older than the last restore of the store; read from another source")

// CompareEras returns ErrEraChanged or ErrOlderEra if the era of an answer is above or below the known one, and nil if
// they are the same.
func CompareEras(answered, known uint64) error {
	switch {
	case answered > known:
		return ErrEraChanged
	case answered < known:
		return ErrOlderEra
	}
	return nil
}

// ErrStoreBusy means that the store refused the call without processing it.
var ErrStoreBusy = eris.New("the store refused the call; wait before the next call")

// ErrReaderStale means that a reader has had no contact with the store for too long.
var ErrReaderStale = eris.New("the reader has no contact with the store; read from another source")

// Position says which contents of the store a follower has.
type Position struct {
	// Era and Revision are the era of the store (see Delta) and the revision up to which the follower has all changes.
	// Revision 0 means that it has none, or that it needs all entries. Revisions of different eras are not comparable.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"r"`
	// LargeDigests holds the digests of the values of the follower's large entries by key. The source may send patches to
	// these values, and leaves out a value that the follower has.
	LargeDigests map[string]uint64 `json:"l,omitempty"`
	// ContentsDigest is the digest of all entries that the follower has (see Feed.ContentsDigest). Nodes of earlier releases
	// don't state it.
	ContentsDigest uint64 `json:"c,omitempty"`
	// WideLinksDigest is the digest of the VMs that the follower knows to have wide links. WideLinkVMs lists these VMs
	// if the last answer showed that the source knows a different set.
	WideLinksDigest uint64   `json:"n,omitempty"`
	WideLinkVMs     []string `json:"w,omitempty"`
}

// contents identifies the entries that the follower has.
func (p *Position) contents() consistency.Contents {
	return consistency.Contents{Era: p.Era, Revision: p.Revision, Digest: p.ContentsDigest}
}

// Source is the platform's store or another node. Reads may overlap, because one that was given up goes on until it times out.
type Source interface {
	// Read returns what changed after a position. It waits until there is a change, but no longer than the given time.
	// A position with revision 0 returns everything without waiting, and is the way to continue after ErrHistoryLost and
	// ErrEraChanged.
	Read(after Position, wait time.Duration) (Delta, error)
}
