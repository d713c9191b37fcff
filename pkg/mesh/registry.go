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
	// expiredEntryGrace is how long after an outage of the store entries that are removed are still used, and after a
	// restore entries that are missing. The entries of live upstreams can have expired during the outage or be lost in the
	// restore, and these upstreams register again within about 2 s.
	expiredEntryGrace = 2500 * time.Millisecond
	// outageHeartbeats is the time without contact with the store that counts as an outage, in heartbeats, the
	// intervals at which upstreams report to the store. The store removes an entry after three missing heartbeats, and
	// the first of the three may be almost due when contact is lost.
	outageHeartbeats = 2
	// maxEvacuationRevisions is the number of revisions kept for each evacuation. Operators evacuate and return a data
	// centre less often in the seconds that a restore loses.
	maxEvacuationRevisions = 16
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

// Change is one change of the contents of the store. Exactly one field is set, except LastReport.
type Change struct {
	Config   *Config
	Upstream *Upstream
	// RemovedUpstream is the ID of an upstream whose entry was removed or is invalid. LastReport is its last report before
	// the removal, if known.
	RemovedUpstream string
	LastReport      *Upstream
	// EvacuatedDataCentre is the name of a data centre whose evacuation was requested, so that it gets no requests,
	// RestoredDataCentre that of one whose evacuation was cancelled.
	EvacuatedDataCentre string
	RestoredDataCentre  string
}

// Origin says how a change was found.
type Origin struct {
	// Revision is that of the entry in the store.
	Revision uint64
	// Copied is true for a change in the first full read of an era, which may come from the copy that the store was
	// restored from. Missing is true if the entry was missing from this read.
	Copied, Missing bool
}

// View is an immutable snapshot of the mesh.
type View struct {
	// StoreEra counts how often the store was restored from an older copy before it gave the contents of the view.
	StoreEra uint64
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
	// reportEras holds the eras in which the reports of latestReports were applied, removalEras the eras in which
	// upstreams were removed. Both are only kept for eras above 0.
	reportEras, removalEras map[string]uint64
	evacuated               map[string]bool
	// evacuationRevisions holds the last revisions of the entries of each evacuation. An entry that a restore brings
	// back has one of them, unlike one that was written after the restore.
	evacuationRevisions map[string][]uint64
	// undecided holds the evacuations that the store has (true) or does not have (false) in contrast to what is in force,
	// until eraGraceEnd, because a restore may have undone what operators wrote.
	undecided map[string]bool
	// era is the era of the contents. Until eraGraceEnd, what is missing from the first full read of the era is not
	// evidence.
	era         uint64
	eraGraceEnd time.Duration
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
	// registry is recovering from an outage, and for those that are missing after a restore.
	removeAt time.Duration
	// missing is true if removeAt is set because the entry is missing after a restore.
	missing bool
}

// NewRegistry returns an empty registry of the node beside the upstream at ownAddress ("IP:port"). The heartbeat is the
// interval at which upstreams report to the store.
func NewRegistry(ownAddress string, heartbeat time.Duration) *Registry {
	return &Registry{
		ownAddress: ownAddress, outageTime: outageHeartbeats * heartbeat,
		upstreams: map[string]*registration{}, latestReports: map[string]*Upstream{},
		reportEras: map[string]uint64{}, removalEras: map[string]uint64{},
		evacuated: map[string]bool{}, evacuationRevisions: map[string][]uint64{}, undecided: map[string]bool{},
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

// BeginEra starts a later era of the store, before the changes of its first full read are applied. beganAt is when all
// entries of the era were first read, by this node or the one from which it learned of the era.
func (r *Registry) BeginEra(beganAt time.Duration, era uint64) {
	r.era = era
	r.setEraGrace(beganAt)
}

// NoticeRestore records that the store is in a later era, whose contents are not known yet. What is missing from the
// present one stays no evidence.
func (r *Registry) NoticeRestore(now time.Duration) { r.setEraGrace(now) }

// setEraGrace starts the grace period of an era. Upstreams that were missing before are missing still: a second restore
// may have lost what they wrote again after the first one.
func (r *Registry) setEraGrace(now time.Duration) {
	r.eraGraceEnd = now + expiredEntryGrace
	for _, e := range r.upstreams {
		if e.missing {
			e.removeAt = r.eraGraceEnd
		}
	}
}

// ContactUninterrupted reports whether contact with the store has lasted without an outage or a restore for at least
// expiredEntryGrace. Entries that were lost in an earlier one are registered again by then.
func (r *Registry) ContactUninterrupted(now time.Duration) bool {
	return r.lastContact > 0 && !r.recovering && now >= r.eraGraceEnd && now-r.firstContact >= expiredEntryGrace && now-r.lastContact <= r.outageTime
}

// Apply applies one change of the present era and reports whether the view changed.
func (r *Registry) Apply(now time.Duration, c Change) bool { return r.ApplyFrom(now, c, Origin{}) }

// ApplyFrom applies one change with its origin and reports whether the view changed.
func (r *Registry) ApplyFrom(now time.Duration, c Change, o Origin) bool {
	inGrace := now < r.eraGraceEnd
	switch {
	case c.Config != nil:
		return r.adoptConfig(c.Config)
	case c.Upstream != nil:
		return r.putUpstream(c.Upstream)
	case c.RemovedUpstream != "":
		if c.LastReport != nil {
			r.recordReport(c.LastReport)
		}
		return r.removeUpstream(now, c.RemovedUpstream, o.Missing && inGrace)
	case c.EvacuatedDataCentre != "":
		return r.putEvacuation(c.EvacuatedDataCentre, o.Revision, o.Copied && inGrace)
	case c.RestoredDataCentre != "":
		return r.removeEvacuation(c.RestoredDataCentre, o.Missing && inGrace)
	}
	return false
}

// putEvacuation puts an evacuation in force. One that was cancelled and that a restore brought back, which copied says
// may be so, has to wait until the end of the grace period.
func (r *Registry) putEvacuation(dataCentre string, revision uint64, copied bool) bool {
	inForce, known := r.evacuated[dataCentre], slices.Contains(r.evacuationRevisions[dataCentre], revision)
	if copied && known && !inForce {
		r.undecided[dataCentre] = true
		return false
	}
	if !known {
		r.evacuationRevisions[dataCentre] = append(r.evacuationRevisions[dataCentre], revision)
		if list := r.evacuationRevisions[dataCentre]; len(list) > maxEvacuationRevisions {
			r.evacuationRevisions[dataCentre] = list[1:]
		}
	}
	delete(r.undecided, dataCentre)
	r.evacuated[dataCentre] = true
	return !inForce
}

// removeEvacuation ends an evacuation. One that is missing after a restore stays in force until the end of the grace
// period.
func (r *Registry) removeEvacuation(dataCentre string, missing bool) bool {
	inForce := r.evacuated[dataCentre]
	if inForce && missing {
		r.undecided[dataCentre] = false
		return false
	}
	delete(r.undecided, dataCentre)
	delete(r.evacuated, dataCentre)
	return inForce
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

// putUpstream applies a report. One that is not newer than the last one from an earlier era may come from the copy of a
// restored store. It shows that the upstream is not missing, and nothing else: a removal or a notice to drain may be
// lost.
func (r *Registry) putUpstream(u *Upstream) bool {
	known, last := r.upstreams[u.ID], r.latestReports[u.ID]
	if last != nil && r.isFromBefore(u, last) {
		if known != nil && known.missing {
			known.removeAt, known.missing = 0, false
		}
		return false
	}
	if !r.recordReport(u) {
		return false
	}
	r.upstreams[u.ID] = &registration{upstream: u}
	return known == nil || !u.sameInView(known.upstream)
}

// recordReport records a report as the latest one of its upstream. It returns false if a later one is known.
func (r *Registry) recordReport(u *Upstream) bool {
	if last := r.latestReports[u.ID]; last != nil && u.isOlderThan(last) {
		return false
	}
	r.latestReports[u.ID] = u
	if r.era > 0 {
		r.reportEras[u.ID] = r.era
	}
	return true
}

// isFromBefore reports whether a report is not newer than the last one of the upstream, and that one, or its removal,
// is from an earlier era.
func (r *Registry) isFromBefore(u, last *Upstream) bool {
	at := r.reportEras[u.ID]
	if r.upstreams[u.ID] == nil {
		at = max(at, r.removalEras[u.ID])
	}
	return at < r.era && !last.isOlderThan(u)
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

// removeUpstream removes an upstream. missing is true if its entry is missing after a restore, which is no evidence
// yet.
func (r *Registry) removeUpstream(now time.Duration, id string, missing bool) bool {
	e := r.upstreams[id]
	if e == nil {
		return false
	}
	until := time.Duration(0)
	if r.recovering && now < r.recoveredAt+expiredEntryGrace {
		until = r.recoveredAt + expiredEntryGrace
	}
	if missing {
		until = max(until, r.eraGraceEnd)
	}
	if until > 0 && !e.upstream.Draining {
		if e.removeAt == 0 || e.missing {
			e.removeAt, e.missing = until, missing
		}
		return false
	}
	r.deleteUpstream(id)
	return true
}

func (r *Registry) deleteUpstream(id string) {
	delete(r.upstreams, id)
	if r.era > 0 {
		r.removalEras[id] = r.era
	}
}

// ApplyDueRemovals removes the entries whose removal was delayed and is due now, and applies the evacuations that
// waited for the end of the grace period of the era. It reports whether the view changed.
func (r *Registry) ApplyDueRemovals(now time.Duration) bool {
	changed := false
	for id, e := range r.upstreams {
		if e.removeAt > 0 && now >= e.removeAt {
			r.deleteUpstream(id)
			changed = true
		}
	}
	if r.recovering && now >= r.recoveredAt+expiredEntryGrace {
		r.recovering = false
	}
	if now < r.eraGraceEnd {
		return changed
	}
	for dataCentre, inForce := range r.undecided {
		changed = changed || r.evacuated[dataCentre] != inForce
		if r.evacuated[dataCentre] = inForce; !inForce {
			delete(r.evacuated, dataCentre)
		}
	}
	clear(r.undecided)
	return changed
}

// View returns a snapshot of the current contents.
func (r *Registry) View() *View {
	v := &View{StoreEra: r.era, Config: r.config, UpstreamsByService: map[string][]*Upstream{}, EvacuatedDataCentres: map[string]bool{}}
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
