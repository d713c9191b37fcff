package mesh

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/sources"
)

const (
	// expiredEntryGrace is how long after an outage of the store entries that are removed are still used. The entries
	// of live upstreams can have expired during the outage, and these upstreams register again within about 2 s.
	expiredEntryGrace = 2500 * time.Millisecond
	// outageHeartbeats is the time without contact with the store that counts as an outage, in heartbeats, the
	// intervals at which upstreams report to the store. The store removes an entry after three missing heartbeats, and
	// the first of the three may be almost due when contact is lost.
	outageHeartbeats = 2
)

// Upstream is one registered upstream.
type Upstream struct {
	ID      string
	Service string
	// Address is the "IP:port" of the upstream, IP the address of its VM.
	Address    string
	IP         string
	DataCentre string
	Slots      int
	Draining   bool
	// ColdRemaining is how long the upstream stays cold, counted from the time at which it wrote the entry.
	ColdRemaining time.Duration
	// StartedAtMS is the Unix time in milliseconds at which this incarnation of the upstream started. Sequence is
	// the number of its report, in ascending order.
	StartedAtMS int64
	Sequence    int64
}

// isOlderThan reports whether the entry was written before another entry of the same upstream.
func (u *Upstream) isOlderThan(other *Upstream) bool {
	if u.StartedAtMS != other.StartedAtMS {
		return u.StartedAtMS < other.StartedAtMS
	}
	return u.Sequence < other.Sequence
}

// sameInView reports whether two entries of an upstream differ only in what views do not show.
func (u *Upstream) sameInView(other *Upstream) bool {
	a, b := *u, *other
	a.Sequence, a.ColdRemaining = b.Sequence, b.ColdRemaining
	return a == b
}

// Change is one change of the contents of the store. Exactly one field is set.
type Change struct {
	Config   *Config
	Upstream *Upstream
	// RemovedUpstream is the ID of an upstream whose entry was removed or is invalid.
	RemovedUpstream string
	// EvacuatedDataCentre is the name of a data centre whose evacuation was requested, so that it gets no requests,
	// RestoredDataCentre that of one whose evacuation was cancelled.
	EvacuatedDataCentre string
	RestoredDataCentre  string
}

// View is an immutable snapshot of the mesh.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// UpstreamsByService holds the upstreams of each service, sorted by ID.
	UpstreamsByService map[string][]*Upstream
	// VMs are the IP addresses of all VMs with a registered upstream, sorted.
	VMs []string
	// EvacuatedDataCentres holds the names of the data centres that get no requests because of an evacuation.
	EvacuatedDataCentres map[string]bool
	// OwnUpstream is the upstream beside this node, or nil if it is not registered.
	OwnUpstream *Upstream
}

// Registry collects changes of the store's contents and makes views of them. Only the goroutine of Syncer.Run may use
// it.
type Registry struct {
	ownAddress string
	// outageTime is the time without contact with the store that counts as an outage.
	outageTime time.Duration
	config     *Config
	upstreams  map[string]*registration
	// latestReports holds the newest report of each upstream ID, also after its entry was removed, so that an older
	// report that arrives late does not add the upstream again.
	latestReports map[string]*Upstream
	evacuated     map[string]bool
	// lastContact is when the store last confirmed the contents.
	lastContact time.Duration
	// recovering is true for expiredEntryGrace after an outage of the store, which ended at recoveredAt.
	recovering  bool
	recoveredAt time.Duration
	// firstContact is when the store first confirmed the contents.
	firstContact time.Duration
}

type registration struct {
	upstream *Upstream
	// removeAt is when the entry is to be removed, or 0. It is set for entries that were removed in the store while the
	// registry is recovering from an outage.
	removeAt time.Duration
}

// NewRegistry returns an empty registry of the node beside the upstream at ownAddress ("IP:port"). The heartbeat is the
// interval at which upstreams report to the store.
func NewRegistry(ownAddress string, heartbeat time.Duration) *Registry {
	return &Registry{
		ownAddress: ownAddress, outageTime: outageHeartbeats * heartbeat,
		upstreams: map[string]*registration{}, latestReports: map[string]*Upstream{},
		evacuated: map[string]bool{},
	}
}

// RecordContact records that the store confirmed the contents at the given time. If uninterrupted is true, the contents
// come from another node that has had contact with the store all the time. The entries that are missing in its contents
// did not expire because of an outage of the store, so the time without contact does not count as one.
func (r *Registry) RecordContact(at time.Duration, uninterrupted bool) {
	if r.lastContact == 0 {
		r.firstContact = at
	} else if at-r.lastContact > r.outageTime && !uninterrupted {
		r.recovering, r.recoveredAt = true, at
	}
	r.lastContact = max(r.lastContact, at)
}

// ContactUninterrupted reports whether contact with the store has lasted without an outage for at least
// expiredEntryGrace. Entries that expired in an earlier outage are registered again by then.
func (r *Registry) ContactUninterrupted(now time.Duration) bool {
	return r.lastContact > 0 && !r.recovering && now-r.firstContact >= expiredEntryGrace && now-r.lastContact <= r.outageTime
}

// Apply applies one change and reports whether the view changed.
func (r *Registry) Apply(now time.Duration, c Change) bool {
	switch {
	case c.Config != nil:
		return r.adoptConfig(c.Config)
	case c.Upstream != nil:
		return r.putUpstream(c.Upstream)
	case c.RemovedUpstream != "":
		return r.removeUpstream(now, c.RemovedUpstream)
	case c.EvacuatedDataCentre != "":
		known := r.evacuated[c.EvacuatedDataCentre]
		r.evacuated[c.EvacuatedDataCentre] = true
		return !known
	case c.RestoredDataCentre != "":
		known := r.evacuated[c.RestoredDataCentre]
		delete(r.evacuated, c.RestoredDataCentre)
		return known
	}
	return false
}

// adoptConfig adopts a configuration if its version is higher than the current one. A lower one can arrive later,
// because the answers of different sources may arrive in any order.
func (r *Registry) adoptConfig(c *Config) bool {
	newer := r.config == nil || c.Version > r.config.Version
	if newer {
		r.config = c
	}
	return newer
}

func (r *Registry) putUpstream(u *Upstream) bool {
	if known := r.latestReports[u.ID]; known != nil && u.isOlderThan(known) {
		return false
	}
	r.latestReports[u.ID] = u
	known := r.upstreams[u.ID]
	r.upstreams[u.ID] = &registration{upstream: u}
	return known == nil || !u.sameInView(known.upstream)
}

// saysOwnIsCold reports whether the change is the current entry of the node's own upstream and says that it is cold.
func (r *Registry) saysOwnIsCold(c Change) bool {
	u := c.Upstream
	if u == nil || u.Address != r.ownAddress || u.ColdRemaining == 0 {
		return false
	}
	e := r.upstreams[u.ID]
	return e != nil && e.upstream == u
}

func (r *Registry) removeUpstream(now time.Duration, id string) bool {
	e := r.upstreams[id]
	if e == nil {
		return false
	}
	if r.recovering && now < r.recoveredAt+expiredEntryGrace && !e.upstream.Draining {
		if e.removeAt == 0 {
			e.removeAt = r.recoveredAt + expiredEntryGrace
		}
		return false
	}
	delete(r.upstreams, id)
	return true
}

// ApplyDueRemovals removes the entries whose removal was delayed and is due now, and reports whether the view changed.
func (r *Registry) ApplyDueRemovals(now time.Duration) bool {
	changed := false
	for id, e := range r.upstreams {
		if e.removeAt > 0 && now >= e.removeAt {
			delete(r.upstreams, id)
			changed = true
		}
	}
	if r.recovering && now >= r.recoveredAt+expiredEntryGrace {
		r.recovering = false
	}
	return changed
}

// View returns a snapshot of the current contents.
func (r *Registry) View() *View {
	v := &View{Config: r.config, UpstreamsByService: map[string][]*Upstream{}, EvacuatedDataCentres: map[string]bool{}}
	for name := range r.evacuated {
		v.EvacuatedDataCentres[name] = true
	}
	byAddress := map[string]*Upstream{}
	for _, e := range r.upstreams {
		u := e.upstream
		// Only one upstream can use an address at a time: the one that started last.
		if other := byAddress[u.Address]; other == nil || other.StartedAtMS < u.StartedAtMS || (other.StartedAtMS == u.StartedAtMS && other.ID < u.ID) {
			byAddress[u.Address] = u
		}
	}
	vms := map[string]bool{}
	for address, u := range byAddress {
		v.UpstreamsByService[u.Service] = append(v.UpstreamsByService[u.Service], u)
		vms[u.IP] = true
		if address == r.ownAddress {
			v.OwnUpstream = u
		}
	}
	for _, list := range v.UpstreamsByService {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	for ip := range vms {
		v.VMs = append(v.VMs, ip)
	}
	slices.Sort(v.VMs)
	return v
}

// Members returns the VMs with a registered upstream. Their links are not filled in.
func (v *View) Members() []sources.Member {
	members := make([]sources.Member, 0, len(v.VMs))
	listed := map[string]bool{}
	for _, list := range v.UpstreamsByService {
		for _, u := range list {
			if !listed[u.IP] {
				listed[u.IP] = true
				members = append(members, sources.Member{VM: u.IP, DataCentre: u.DataCentre})
			}
		}
	}
	return members
}

// HostIP returns the IP of an "IP:port" address, or an empty string if the address is not valid.
func HostIP(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return ""
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return ""
	}
	return host
}
