package invariants

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// operator publishes versions that withdraw and grant keys, take data centres out of service and back in, and change
// the declared upstreams. The teams' rates never change.
type operator struct {
	mesh        *SimulatedMesh
	dataCentres []string
	objects     config.Objects
	lastNumber  uint64
	newest      wire.VersionID
}

func newOperator(mesh *SimulatedMesh, dataCentres []string) *operator {
	o := &operator{mesh: mesh, dataCentres: dataCentres}
	o.objects = config.Objects{
		Services: []config.Service{{Name: serviceName}},
		Teams: []config.Team{
			{Name: "large", RatePerSecond: 100, Burst: 200, Weight: 3}, {Name: "small", RatePerSecond: 12, Burst: 12, Weight: 1},
		},
	}
	for _, dc := range dataCentres {
		o.objects.DataCentres = append(o.objects.DataCentres, config.DataCentre{Name: dc, Region: "r", State: config.DataCentreIn})
	}
	for _, name := range []string{"read", "order"} {
		o.objects.Routes = append(o.objects.Routes, config.Route{
			Name: name, Service: serviceName, PathPrefix: "/" + name, Methods: []string{"POST"},
			Visibility: config.VisibilityPublic, Idempotent: name == "read", Priority: config.PriorityNormal, TimeoutMS: 1000,
		})
	}
	o.declareUpstreams(mesh.nodes)
	for _, team := range o.objects.Teams {
		o.grantKey(team.Name)
		o.grantKey(team.Name)
	}
	return o
}

func (o *operator) grantKey(team string) {
	id := fmt.Sprintf("%s-%d", team, len(o.objects.Keys))
	o.objects.Keys = append(o.objects.Keys, config.Key{ID: id, Team: team, State: config.KeyGranted})
}

// scheduleChanges schedules the publication of versions and member lists.
func (o *operator) scheduleChanges() {
	for at := quietPeriod; at < runDuration-quietPeriod; at += o.mesh.randomDuration(500*time.Millisecond, 9*time.Second) {
		o.mesh.After(at, o.publishChange)
		o.mesh.After(at+o.mesh.randomDuration(0, 5*time.Second), o.changeMemberList)
	}
}

// publishChange publishes a version with a random change, or in 10% of the cases an invalid version.
func (o *operator) publishChange() {
	if o.mesh.randomBool(0.1) {
		o.publishInvalid()
		return
	}
	o.objects.Keys = append([]config.Key(nil), o.objects.Keys...)
	o.objects.DataCentres = append([]config.DataCentre(nil), o.objects.DataCentres...)
	switch o.mesh.Random.IntN(5) {
	case 0:
		o.changeDeclaredUpstreams()
	case 1, 2:
		key := &o.objects.Keys[o.mesh.Random.IntN(len(o.objects.Keys))]
		if key.State == config.KeyGranted {
			key.State = config.KeyWithdrawn
			o.mesh.checker.keyWithdrawnAt[key.ID] = o.mesh.Now()
			o.grantKey(key.Team)
		}
	default:
		dc := &o.objects.DataCentres[o.mesh.Random.IntN(len(o.objects.DataCentres))]
		o.toggleDataCentre(dc)
	}
	o.publish()
}

// changeDeclaredUpstreams declares all upstreams but one in the next version, or all of them.
func (o *operator) changeDeclaredUpstreams() {
	nodes := append([]*node(nil), o.mesh.nodes...)
	if missing := o.mesh.Random.IntN(2 * len(nodes)); missing < len(nodes) {
		nodes = append(nodes[:missing], nodes[missing+1:]...)
	}
	o.declareUpstreams(nodes)
}

func (o *operator) declareUpstreams(nodes []*node) {
	o.objects.Upstreams = nil
	for _, n := range nodes {
		o.objects.Upstreams = append(o.objects.Upstreams, config.Upstream{
			Name: n.upstreamName(), Service: serviceName, DataCentre: n.DataCentre, Slots: upstreamSlots, Connections: 110,
		})
	}
}

// toggleDataCentre takes a data centre out of service or back in. It never takes out the last one.
func (o *operator) toggleDataCentre(dc *config.DataCentre) {
	if dc.State == config.DataCentreOut {
		dc.State = config.DataCentreIn
		delete(o.mesh.checker.dataCentreOutAt, dc.Name)
		return
	}
	if len(o.mesh.checker.dataCentreOutAt) < len(o.dataCentres)-1 {
		dc.State = config.DataCentreOut
		o.mesh.checker.dataCentreOutAt[dc.Name] = o.mesh.Now()
	}
}

// publish publishes the objects as the next version. A stale source serves it when it recovers.
func (o *operator) publish() {
	o.lastNumber++
	v := wire.VersionID{Number: o.lastNumber, Digest: fmt.Sprintf("%064x", o.mesh.Random.Uint64())}
	objects := o.objects
	if o.mesh.options.Disabled.referenceChecks && o.lastNumber > 1 {
		objects.Services = nil
	}
	o.mesh.sets[v], o.mesh.parents[v] = config.NewSet(objects), o.newest
	o.newest = v
	o.mesh.logEvent("version %d: keys withdrawn %v, out %v", v.Number, o.mesh.checker.keyWithdrawnAt, o.mesh.checker.dataCentreOutAt)
	o.updateSource()
	published := o.mesh.Now()
	o.mesh.After(adoptionBound, func() { o.mesh.checker.checkInForce(v, published) })
}

// updateSource makes the source serve the newest version unless it is stale.
func (o *operator) updateSource() {
	if !o.mesh.sourceStale {
		o.mesh.Sources[0].Publish(o.newest)
	}
}

// publishInvalid publishes a version that fails validation, and a valid one some time later.
func (o *operator) publishInvalid() {
	o.lastNumber++
	v := wire.VersionID{Number: o.lastNumber, Digest: fmt.Sprintf("%064x", o.mesh.Random.Uint64())}
	o.mesh.InvalidVersions[v] = !o.mesh.options.Disabled.validation
	o.mesh.checker.invalidVersions[v] = true
	o.mesh.sets[v], o.mesh.parents[v] = config.NewSet(o.objects), o.newest
	if !o.mesh.sourceStale {
		o.mesh.Sources[0].Publish(v)
	}
	o.mesh.After(o.mesh.randomDuration(0, 3*time.Second), o.publish)
}

// changeMemberList publishes a member list in which one VM, or in 30% of the cases none, is leaving.
func (o *operator) changeMemberList() {
	leavingNode := o.mesh.nodes[o.mesh.Random.IntN(len(o.mesh.nodes))]
	o.mesh.checker.vmLeavingSince = map[string]time.Duration{}
	if o.mesh.randomBool(0.7) {
		o.mesh.checker.vmLeavingSince[leavingNode.VM] = o.mesh.Now()
	}
	list := &platform.MemberList{Revision: o.mesh.Sources[0].MemberList().Revision + 1}
	for _, n := range o.mesh.nodes {
		state := platform.MemberLive
		if _, leaving := o.mesh.checker.vmLeavingSince[n.VM]; leaving {
			state = platform.MemberLeaving
		}
		list.Members = append(list.Members, member(n, state))
	}
	o.mesh.Sources[0].PublishMemberList(list)
}

// randomKey returns a team and one of its keys. Withdrawn keys are chosen less often.
func (o *operator) randomKey() (team, key string) {
	keys := o.objects.Keys
	k := &keys[o.mesh.Random.IntN(len(keys))]
	if k.State == config.KeyWithdrawn && o.mesh.randomBool(0.5) {
		k = &keys[len(keys)-1]
	}
	return k.Team, k.ID
}
