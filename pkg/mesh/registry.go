package mesh

import (
	"net"
	"sort"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/sources"
)

const (
	// lapseGrace is how long the entry of an upstream that is missing when the store is reachable again is still
	// used: live upstreams register again within about 2 s.
	lapseGrace = 2500 * time.Millisecond
	// outageBeats is how long the store is out of contact, in heartbeats of the upstreams, before that counts as an
	// outage. Entries lapse after three heartbeats of silence, the first of which may be nearly over.
	outageBeats = 2
)

// Upstream is one registered upstream.
type Upstream struct {
	ID      string
	Service string
	// Address is the "IP:port" of the upstream itself, IP that of its VM.
	Address    string
	IP         string
	DataCentre string
	Slots      int
	Draining   bool
	// ColdRemaining is how long the upstream stays cold, counted from when the entry was read.
	ColdRemaining time.Duration
	// StartedAtMillis is the Unix millisecond of the start of this incarnation; Sequence counts its reports.
	StartedAtMillis int64
	Sequence        int64
}

// older reports whether the entry is from before another one of the same upstream.
func (u *Upstream) older(than *Upstream) bool {
	if u.StartedAtMillis != than.StartedAtMillis {
		return u.StartedAtMillis < than.StartedAtMillis
	}
	return u.Sequence < than.Sequence
}

// Change is one change of what the store publishes. Exactly one field is set.
type Change struct {
	Config   *Config
	Upstream *Upstream
	// RemovedUpstream is the ID of an upstream whose entry was removed or is not usable.
	RemovedUpstream string
	// EvacuatedDataCentre and Restored name a data centre whose evacuation was requested or taken back.
	EvacuatedDataCentre string
	RestoredDataCentre  string
}

// View is an immutable picture of the mesh.
type View struct {
	// Config is nil until a configuration is known.
	Config *Config
	// UpstreamsByService holds the upstreams of each service, in the order of their IDs.
	UpstreamsByService map[string][]*Upstream
	// VMs are the addresses of all VMs with a registered upstream, sorted.
	VMs []string
	// EvacuatedDataCentres are the data centres that get no work.
	EvacuatedDataCentres map[string]bool
	// OwnUpstream is the upstream beside this node, or nil.
	OwnUpstream *Upstream
}

// Registry collects changes into views. It belongs to the control goroutine.
type Registry struct {
	ownAddress string
	// outageTime without contact to the store counts as an outage.
	outageTime time.Duration
	config     *Config
	upstreams  map[string]*member
	// newest keeps the last incarnation and report of each ID, also after its entry is removed, so that a report
	// that arrives late is not taken for a living upstream.
	newest    map[string]*Upstream
	evacuated map[string]bool
	// contact is when the store last confirmed the contents; outage is true from its return until the end of
	// lapseGrace.
	contact  time.Duration
	outage   bool
	returned time.Duration
	// first is when the store first confirmed the contents.
	first time.Duration
}

type member struct {
	upstream *Upstream
	// removeAt is set while a removal waits for the end of lapseGrace.
	removeAt time.Duration
}

// NewRegistry returns an empty registry of the node beside the upstream at ownAddress ("IP:port"). Heartbeat is the
// interval in which upstreams report to the store.
func NewRegistry(ownAddress string, heartbeat time.Duration) *Registry {
	return &Registry{
		ownAddress: ownAddress, outageTime: outageBeats * heartbeat,
		upstreams: map[string]*member{}, newest: map[string]*Upstream{},
		evacuated: map[string]bool{},
	}
}

// RecordContact notes that the store confirmed the contents at a time. Steady means that the contents come from a node that
// was in contact with the store in the meantime, so no entry lapsed for an outage of the store.
func (r *Registry) RecordContact(at time.Duration, steady bool) {
	if r.contact == 0 {
		r.first = at
	} else if at-r.contact > r.outageTime && !steady {
		r.outage, r.returned = true, at
	}
	r.contact = max(r.contact, at)
}

// ContactUninterrupted reports whether the contents have been confirmed without an outage for so long that entries that lapsed in
// one before are back.
func (r *Registry) ContactUninterrupted(now time.Duration) bool {
	return r.contact > 0 && !r.outage && now-r.first >= lapseGrace && now-r.contact <= r.outageTime
}

// Apply takes one change.
func (r *Registry) Apply(now time.Duration, c Change) {
	switch {
	case c.Config != nil:
		r.adopt(c.Config)
	case c.Upstream != nil:
		r.put(c.Upstream)
	case c.RemovedUpstream != "":
		r.remove(now, c.RemovedUpstream)
	case c.EvacuatedDataCentre != "":
		r.evacuated[c.EvacuatedDataCentre] = true
	case c.RestoredDataCentre != "":
		delete(r.evacuated, c.RestoredDataCentre)
	}
}

// adopt never goes back to an older version, whatever order the answers arrive in.
func (r *Registry) adopt(c *Config) {
	if c != nil && (r.config == nil || c.Version > r.config.Version) {
		r.config = c
	}
}

func (r *Registry) put(u *Upstream) {
	if known := r.newest[u.ID]; known != nil && u.older(known) {
		return
	}
	r.newest[u.ID] = u
	r.upstreams[u.ID] = &member{upstream: u}
}

func (r *Registry) remove(now time.Duration, id string) {
	e := r.upstreams[id]
	if e == nil {
		return
	}
	if r.outage && now < r.returned+lapseGrace && !e.upstream.Draining {
		if e.removeAt == 0 {
			e.removeAt = r.returned + lapseGrace
		}
		return
	}
	delete(r.upstreams, id)
}

// ExpireRemovals ends the grace of entries that did not come back and reports whether the view changed.
func (r *Registry) ExpireRemovals(now time.Duration) bool {
	changed := false
	for id, e := range r.upstreams {
		if e.removeAt > 0 && now >= e.removeAt {
			delete(r.upstreams, id)
			changed = true
		}
	}
	if r.outage && now >= r.returned+lapseGrace {
		r.outage = false
	}
	return changed
}

// View returns the current picture.
func (r *Registry) View() *View {
	v := &View{Config: r.config, UpstreamsByService: map[string][]*Upstream{}, EvacuatedDataCentres: map[string]bool{}}
	for name := range r.evacuated {
		v.EvacuatedDataCentres[name] = true
	}
	newest := map[string]*Upstream{}
	for _, e := range r.upstreams {
		u := e.upstream
		// An address serves one upstream at a time: the one that started last.
		if other := newest[u.Address]; other == nil || other.StartedAtMillis < u.StartedAtMillis || (other.StartedAtMillis == u.StartedAtMillis && other.ID < u.ID) {
			newest[u.Address] = u
		}
	}
	vms := map[string]bool{}
	for address, u := range newest {
		v.UpstreamsByService[u.Service] = append(v.UpstreamsByService[u.Service], u)
		vms[u.IP] = true
		if address == r.ownAddress {
			v.OwnUpstream = u
		}
	}
	for _, list := range v.UpstreamsByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for ip := range vms {
		v.VMs = append(v.VMs, ip)
	}
	sort.Strings(v.VMs)
	return v
}

// Members returns the VMs with a registered upstream.
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

// HostIP returns the IP of an "IP:port" address, or an empty text.
func HostIP(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return ""
	}
	return host
}
