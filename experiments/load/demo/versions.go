package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/platform"
)

// probeTeam is the team of the probe keys. Each version grants a new probe key, so that a probe call with that key
// shows whether a node has adopted the version.
const probeTeam = "probe"

// probeSecretCount is the number of probe keys that the upstreams search for in requests, to detect leaked keys. It
// exceeds the number of versions that the demo publishes.
const probeSecretCount = 16

// Rate limit of the probe team, so high that probe calls never reach it.
const (
	probeRate  = 2000
	probeBurst = 2000
)

// errUnknownTarget means that the target of an event does not exist.
var errUnknownTarget = errors.New("the event's target does not exist")

// versionPublisher applies events to the declared objects and publishes each result as the next version.
type versionPublisher struct {
	platform *platform.Server
	seed     uint64

	mu      sync.Mutex
	objects config.Objects
	number  uint64
	parent  string
}

// newVersionPublisher returns a publisher for the objects o with the probe team added. It caps the timeouts of the
// routes at maxDeadline, the longest deadline of the nodes, which no route may exceed.
func newVersionPublisher(p *platform.Server, o config.Objects, seed uint64, maxDeadline time.Duration) *versionPublisher {
	o.Routes = slices.Clone(o.Routes)
	for i := range o.Routes {
		o.Routes[i].TimeoutMS = min(o.Routes[i].TimeoutMS, maxDeadline.Milliseconds())
	}
	o.DataCentres = slices.Clone(o.DataCentres)
	o.Keys = slices.Clone(o.Keys)
	o.Teams = append(slices.Clone(o.Teams), config.Team{
		Name: probeTeam, RatePerSecond: probeRate, Burst: probeBurst, Weight: 1,
	})
	return &versionPublisher{platform: p, objects: o, seed: seed}
}

// probeSecret returns the secret of the probe key that a version is the first to grant.
func (v *versionPublisher) probeSecret(number uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "probe %d %d", v.seed, number))
	return hex.EncodeToString(sum[:])
}

// newestSecret returns the secret of the probe key that the newest version is the first to grant.
func (v *versionPublisher) newestSecret() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.probeSecret(v.number)
}

// publish applies an event to the objects, grants a new probe key and publishes the result as the next version. It
// returns the time of publication and the secret of the new probe key.
func (v *versionPublisher) publish(e trace.Event) (at time.Time, secret string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.applyEvent(e); err != nil {
		return time.Time{}, "", err
	}
	number := v.number + 1
	secret = v.probeSecret(number)
	v.objects.Keys = append(v.objects.Keys, config.Key{
		ID: fmt.Sprintf("probe-%d", number), Team: probeTeam, Digest: config.KeyDigest(secret), State: config.KeyGranted,
	})
	built, err := bundle.Build(v.objects, number, v.parent)
	if err != nil {
		return time.Time{}, "", err
	}
	at = time.Now()
	if _, err := v.platform.Publish(built.ManifestBytes, built.Values); err != nil {
		return time.Time{}, "", err
	}
	v.number, v.parent = number, built.ID().Digest
	return at, secret, nil
}

func (v *versionPublisher) applyEvent(e trace.Event) error {
	switch e.Kind {
	case trace.WithdrawKey:
		for i := range v.objects.Keys {
			if v.objects.Keys[i].ID == e.Target {
				v.objects.Keys[i].State = config.KeyWithdrawn
				return nil
			}
		}
		return fmt.Errorf("%w: key %q", errUnknownTarget, e.Target)
	case trace.DataCentreOut:
		return v.setDataCentre(e.Target, config.DataCentreOut)
	case trace.DataCentreIn:
		return v.setDataCentre(e.Target, config.DataCentreIn)
	}
	return nil
}

func (v *versionPublisher) setDataCentre(name string, state config.DataCentreState) error {
	for i := range v.objects.DataCentres {
		if v.objects.DataCentres[i].Name == name {
			v.objects.DataCentres[i].State = state
			return nil
		}
	}
	return fmt.Errorf("%w: data centre %q", errUnknownTarget, name)
}
