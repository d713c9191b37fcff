package delivery

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bamboodeal/bamboodeal/api/wire"
	. "github.com/onsi/gomega"
)

// Guards against a full record that takes more than half of the 128 MB that control may use on a node.
func TestMemoryWhenFull(t *testing.T) {
	g := NewWithT(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	l := ledger(Config{})
	body := make([]byte, 1024)
	for i := range DefaultMaxRecords {
		r := first(l, later, fmt.Sprintf("team-name/%036d", i))
		g.Expect(l.Accept(later, r).Verdict).To(Equal(VerdictRun))
		l.Finish(later, r.Identity, Result{Status: 200, Body: body})
	}
	records := heap()
	for i := range DefaultMaxRefusals + 1 {
		l.RefuseCall(later, fmt.Sprint(i), wire.KindOverloaded)
	}
	after := heap()
	t.Logf("records and responses %d MB, refusals %d MB", (records-before)>>20, (after-records)>>20)
	g.Expect(after - before).To(BeNumerically("<", 64<<20))
	runtime.KeepAlive(l)
}
