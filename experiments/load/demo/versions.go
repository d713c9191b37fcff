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

// probeTeam holds the keys by which the driver sees from outside which version a node has in force.
const probeTeam = "probe"

// probeSecrets is the number of probe keys that the upstreams look for: one for each version of a demo, and more.
const probeSecrets = 16

// Allowance of the probe team: probes never meet it.
const (
	probeRate  = 2000
	probeBurst = 2000
)

// errTarget means that an event names nothing that exists.
var errTarget = errors.New("the event's target does not exist")

// versions edits the declared objects and publishes each result as the next version.
type versions struct {
	platform *platform.Server
	seed     uint64

	mu      sync.Mutex
	objects config.Objects
	number  uint64
	parent  string
}

// newVersions caps the routes' timeouts, because no route may exceed the nodes' longest deadline.
func newVersions(p *platform.Server, o config.Objects, seed uint64, maxDeadline time.Duration) *versions {
	o.Routes = slices.Clone(o.Routes)
	for i := range o.Routes {
		o.Routes[i].TimeoutMS = min(o.Routes[i].TimeoutMS, maxDeadline.Milliseconds())
	}
	o.DataCentres = slices.Clone(o.DataCentres)
	o.Keys = slices.Clone(o.Keys)
	o.Teams = append(slices.Clone(o.Teams), config.Team{
		Name: probeTeam, RatePerSecond: probeRate, Burst: probeBurst, Weight: 1,
	})
	return &versions{platform: p, objects: o, seed: seed}
}

// probeSecret is the key that is first granted in a version.
func (v *versions) probeSecret(number uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "probe %d %d", v.seed, number))
	return hex.EncodeToString(sum[:])
}

// newestSecret is the key that the newest version grants.
func (v *versions) newestSecret() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.probeSecret(v.number)
}

// publish applies the edit of an event, grants a new probe key and publishes the result. It returns the time of
// publication and the new probe key.
func (v *versions) publish(e trace.Event) (at time.Time, secret string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.edit(e); err != nil {
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

func (v *versions) edit(e trace.Event) error {
	switch e.Kind {
	case trace.WithdrawKey:
		for i := range v.objects.Keys {
			if v.objects.Keys[i].ID == e.Target {
				v.objects.Keys[i].State = config.KeyWithdrawn
				return nil
			}
		}
		return fmt.Errorf("%w: key %q", errTarget, e.Target)
	case trace.DataCentreOut:
		return v.setDataCentre(e.Target, config.DataCentreOut)
	case trace.DataCentreIn:
		return v.setDataCentre(e.Target, config.DataCentreIn)
	}
	return nil
}

func (v *versions) setDataCentre(name string, state config.DataCentreState) error {
	for i := range v.objects.DataCentres {
		if v.objects.DataCentres[i].Name == name {
			v.objects.DataCentres[i].State = state
			return nil
		}
	}
	return fmt.Errorf("%w: data centre %q", errTarget, name)
}
