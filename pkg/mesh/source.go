package mesh

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryLost means that the store no longer has the changes after the revision; load the contents again.
var ErrHistoryLost = eris.New("the store discarded the history after this revision; load the contents again")

// ErrBusy means that the store turned the call away without doing anything; wait before the next call.
var ErrBusy = eris.New("the store turned the call away; wait before the next call")

// Source reads what the platform publishes. It is used by one goroutine.
type Source interface {
	// Load returns the whole contents and the revision after which Watch continues.
	Load() (Contents, uint64, error)
	// Watch returns the changes after a revision as soon as there is one, or none after the wait, and the revision
	// to continue from. ErrHistoryLost asks for a Load.
	Watch(after uint64, wait time.Duration) ([]Change, uint64, error)
}
