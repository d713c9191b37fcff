package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// calmStore is a store whose entries do not change: a configuration and one upstream for each VM.
type calmStore struct {
	entries []mesh.Entry
	calls   atomic.Int64
}

// Read implements mesh.Source.
func (s *calmStore) Read(after mesh.Position, wait time.Duration) (mesh.Delta, error) {
	s.calls.Add(1)
	d := mesh.Delta{Revision: uint64(len(s.entries))}
	if after.Revision == 0 {
		d.Full, d.Entries = true, slices.Clone(s.entries)
		return d, nil
	}
	time.Sleep(wait)
	return d, nil
}

// calmPeer is a node as a source. It counts the bytes of the messages, without HTTP heads, at both ends.
type calmPeer struct {
	syncer    *mesh.Syncer
	own, peer *atomic.Int64
}

// Read implements mesh.Source.
func (p calmPeer) Read(after mesh.Position, wait time.Duration) (mesh.Delta, error) {
	request, err := json.Marshal(storeChangesRequest{Position: after, WaitMS: wait.Milliseconds(), Eras: true})
	if err != nil {
		return mesh.Delta{}, err
	}
	answer, err := json.Marshal(newStoreChangesResponse(after, p.syncer.ServeRead(after, wait)))
	if err != nil {
		return mesh.Delta{}, err
	}
	p.own.Add(int64(len(request) + len(answer)))
	p.peer.Add(int64(len(request) + len(answer)))
	var response storeChangesResponse
	if err := json.Unmarshal(answer, &response); err != nil {
		return mesh.Delta{}, err
	}
	if response.Revision == 0 && response.Era == 0 {
		return mesh.Delta{}, mesh.ErrReaderStale
	}
	return response.deltaAfter(after), nil
}

// BenchmarkCalmTraffic measures what nodes in three data centres spend on following a store that does not change: the calls to
// it a second, and the bytes a second that a node, the busiest node and all nodes exchange with others.
func BenchmarkCalmTraffic(b *testing.B) {
	const settleTime, measuredTime = 15 * time.Second, 20 * time.Second
	for _, nodes := range []int{12, 48, 304} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			store := &calmStore{entries: []mesh.Entry{{Key: "config", Value: `{"routes":[` + fmt.Sprintf("%0100000d", 7) + `]}`, Revision: 1}}}
			upstreams := make([]*mesh.Upstream, nodes)
			for i := range nodes {
				ip := fmt.Sprintf("10.0.%d.%d", i/200, i%200+1)
				upstreams[i] = &mesh.Upstream{ID: fmt.Sprint("i-", i), Service: "orders", Address: ip + ":9000", IP: ip, DataCentre: []string{"north", "south", "west"}[i%3], Slots: 8}
				store.entries = append(store.entries, mesh.Entry{Key: fmt.Sprint(i), Value: "upstream", Revision: uint64(i + 2)})
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			syncers, traffic := map[string]*mesh.Syncer{}, make([]atomic.Int64, nodes)
			index := map[string]int{}
			for i, u := range upstreams {
				index[u.IP] = i
				syncers[u.IP] = mesh.NewSyncer(mesh.SyncerOptions{
					VM: u.IP, DataCentre: u.DataCentre, UpstreamAddress: u.Address, HeartbeatInterval: 1500 * time.Millisecond, WideLink: true, Store: store,
					PeerSource: func(vm string) mesh.Source { return calmPeer{syncers[vm], &traffic[i], &traffic[index[vm]]} },
					Decode: func(e mesh.Entry) (mesh.Change, bool) {
						if e.Key == "config" {
							return mesh.Change{}, false
						}
						return mesh.Change{Upstream: upstreams[e.Revision-2]}, true
					},
					Clock: clock.System(), Log: log,
				})
			}
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for _, s := range syncers {
				group.Go(func() { s.Run(ctx) })
			}
			time.Sleep(settleTime)
			calls, before := store.calls.Load(), make([]int64, nodes)
			for i := range traffic {
				before[i] = traffic[i].Load()
			}
			time.Sleep(measuredTime)
			sum, most := int64(0), int64(0)
			for i := range traffic {
				bytes := traffic[i].Load() - before[i]
				sum, most = sum+bytes, max(most, bytes)
			}
			b.ReportMetric(float64(store.calls.Load()-calls)/measuredTime.Seconds(), "store-calls/s")
			b.ReportMetric(float64(sum)/float64(nodes)/measuredTime.Seconds(), "B/s/node")
			b.ReportMetric(float64(most)/measuredTime.Seconds(), "B/s/busiest")
			cancel()
			group.Wait()
		})
	}
}
