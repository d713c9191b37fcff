package invariants

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// operator publishes versions: it withdraws and grants keys and takes data centres out and in. The teams' rates stay.
type operator struct {
	w           *SimulatedMesh
	dataCentres []string
	objects     config.Objects
	number      uint64
	newest      wire.VersionID
}

func newOperator(w *SimulatedMesh, dataCentres []string) *operator {
	o := &operator{w: w, dataCentres: dataCentres}
	o.objects = config.Objects{
		Services: []config.Service{{Name: service}},
		Teams: []config.Team{
			{Name: "large", RatePerSecond: 100, Burst: 200, Weight: 3}, {Name: "small", RatePerSecond: 12, Burst: 12, Weight: 1},
		},
	}
	for _, dc := range dataCentres {
		o.objects.DataCentres = append(o.objects.DataCentres, config.DataCentre{Name: dc, Region: "r", State: config.DataCentreIn})
	}
	for _, name := range []string{"read", "order"} {
		o.objects.Routes = append(o.objects.Routes, config.Route{
			Name: name, Service: service, PathPrefix: "/" + name, Methods: []string{"POST"},
			Visibility: config.VisibilityPublic, Idempotent: name == "read", Priority: config.PriorityNormal, TimeoutMS: 1000,
		})
	}
	o.declareAll(w.nodes)
	for _, team := range o.objects.Teams {
		o.grant(team.Name)
		o.grant(team.Name)
	}
	return o
}

func (o *operator) grant(team string) {
	id := fmt.Sprintf("%s-%d", team, len(o.objects.Keys))
	o.objects.Keys = append(o.objects.Keys, config.Key{ID: id, Team: team, State: config.KeyGranted})
}

// begin schedules the versions and the changes of the list.
func (o *operator) begin() {
	for at := quiet; at < runLength-quiet; at += o.w.between(500*time.Millisecond, 9*time.Second) {
		o.w.After(at, o.change)
		o.w.After(at+o.w.between(0, 5*time.Second), o.changeList)
	}
}

func (o *operator) change() {
	if o.w.chance(0.1) {
		o.publishInvalid()
		return
	}
	o.objects.Keys = append([]config.Key(nil), o.objects.Keys...)
	o.objects.DataCentres = append([]config.DataCentre(nil), o.objects.DataCentres...)
	switch o.w.Random.IntN(5) {
	case 0:
		o.declareUpstreams()
	case 1, 2:
		key := &o.objects.Keys[o.w.Random.IntN(len(o.objects.Keys))]
		if key.State == config.KeyGranted {
			key.State = config.KeyWithdrawn
			o.w.check.keyWithdrawn[key.ID] = o.w.Now()
			o.grant(key.Team)
		}
	default:
		dc := &o.objects.DataCentres[o.w.Random.IntN(len(o.objects.DataCentres))]
		o.toggle(dc)
	}
	o.publish()
}

// declareUpstreams leaves one upstream out of the next version, or declares them all again.
func (o *operator) declareUpstreams() {
	nodes := append([]*node(nil), o.w.nodes...)
	if missing := o.w.Random.IntN(2 * len(nodes)); missing < len(nodes) {
		nodes = append(nodes[:missing], nodes[missing+1:]...)
	}
	o.declareAll(nodes)
}

func (o *operator) declareAll(nodes []*node) {
	o.objects.Upstreams = nil
	for _, n := range nodes {
		o.objects.Upstreams = append(o.objects.Upstreams, config.Upstream{
			Name: n.name(), Service: service, DataCentre: n.DataCentre, Slots: slots, Connections: 110,
		})
	}
}

// toggle takes a data centre out, or in; one stays in.
func (o *operator) toggle(dc *config.DataCentre) {
	if dc.State == config.DataCentreOut {
		dc.State = config.DataCentreIn
		delete(o.w.check.dcOut, dc.Name)
		return
	}
	if len(o.w.check.dcOut) < len(o.dataCentres)-1 {
		dc.State = config.DataCentreOut
		o.w.check.dcOut[dc.Name] = o.w.Now()
	}
}

// publish publishes the objects as the next version; a stale source shows it when it recovers.
func (o *operator) publish() {
	o.number++
	v := wire.VersionID{Number: o.number, Digest: fmt.Sprintf("%064x", o.w.Random.Uint64())}
	objects := o.objects
	if o.w.o.Disabled.references && o.number > 1 {
		objects.Services = nil
	}
	o.w.sets[v], o.w.parents[v] = config.NewSet(objects), o.newest
	o.newest = v
	o.w.note("version %d: keys withdrawn %v, out %v", v.Number, o.w.check.keyWithdrawn, o.w.check.dcOut)
	o.show()
	published := o.w.Now()
	o.w.After(adoptionBound, func() { o.w.check.inForce(v, published) })
}

// show makes the source serve the newest version.
func (o *operator) show() {
	if !o.w.stale {
		o.w.Sources[0].Publish(o.newest)
	}
}

// publishInvalid publishes a version that fails validation, and the repaired one some time later.
func (o *operator) publishInvalid() {
	o.number++
	v := wire.VersionID{Number: o.number, Digest: fmt.Sprintf("%064x", o.w.Random.Uint64())}
	o.w.InvalidVersions[v] = !o.w.o.Disabled.validation
	o.w.check.invalid[v] = true
	o.w.sets[v], o.w.parents[v] = config.NewSet(o.objects), o.newest
	if !o.w.stale {
		o.w.Sources[0].Publish(v)
	}
	o.w.After(o.w.between(0, 3*time.Second), o.publish)
}

// changeList puts a VM on the leaving list, or all of them back.
func (o *operator) changeList() {
	gone := o.w.nodes[o.w.Random.IntN(len(o.w.nodes))]
	o.w.check.vmLeaving = map[string]time.Duration{}
	if o.w.chance(0.7) {
		o.w.check.vmLeaving[gone.VM] = o.w.Now()
	}
	list := &platform.MemberList{Revision: o.w.Sources[0].MemberList().Revision + 1}
	for _, n := range o.w.nodes {
		state := platform.MemberLive
		if _, leaving := o.w.check.vmLeaving[n.VM]; leaving {
			state = platform.MemberLeaving
		}
		list.Members = append(list.Members, member(n, state))
	}
	o.w.Sources[0].PublishMemberList(list)
}

// pickKey returns a team and one of its keys, withdrawn or not.
func (o *operator) pickKey() (team, key string) {
	keys := o.objects.Keys
	k := &keys[o.w.Random.IntN(len(keys))]
	if k.State == config.KeyWithdrawn && o.w.chance(0.5) {
		k = &keys[len(keys)-1]
	}
	return k.Team, k.ID
}
