package slopes

import (
	"errors"
	"syscall"
	"time"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota"
)

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processorMicros returns the processor time of one call of work in microseconds, including its part of the garbage
// collection. It repeats work for about a quarter of a second.
func processorMicros(work func() error) (float64, error) {
	const minDuration = 250 * time.Millisecond
	runs := 0
	start, begin := processorTime(), time.Now()
	for time.Since(begin) < minDuration || runs < 3 {
		if err := work(); err != nil {
			return 0, err
		}
		runs++
	}
	return float64((processorTime() - start).Nanoseconds()) / 1e3 / float64(runs), nil
}

// versionChange is a version and the next one, in which one key is withdrawn.
type versionChange struct{ old, next *bundle.Bundle }

// newVersionChange builds a version of the fleet and the next one.
func newVersionChange(f fleetSpec) (c versionChange, err error) {
	o := f.objects()
	if c.old, err = bundle.Build(o, 1, ""); err != nil {
		return c, err
	}
	o.Keys[len(o.Keys)/2].State = config.KeyWithdrawn
	c.next, err = bundle.Build(o, 2, c.old.ID().Digest)
	return c, err
}

// encodePatches returns the patches from the old values to the changed ones, by the digest of the changed value.
func (c versionChange) encodePatches() (map[string][]byte, error) {
	out := map[string][]byte{}
	for _, v := range c.next.Manifest.Values {
		if c.old.Values[v.Digest] != nil {
			continue
		}
		base, _ := c.old.Manifest.PatchBase(v.Name)
		patch, err := bundle.EncodePatch(c.old.Values[base.Digest], c.next.Values[v.Digest])
		if err != nil {
			return nil, err
		}
		out[v.Digest] = patch
	}
	return out, nil
}

var errDigestMismatch = errors.New("a patched value does not match its digest")

// adopt performs the steps of a node before a version takes effect: it patches, verifies, parses, validates and indexes
// the values.
func (c versionChange) adopt(patches map[string][]byte) error {
	values := map[string][]byte{}
	for _, v := range c.next.Manifest.Values {
		data := c.old.Values[v.Digest]
		if patch := patches[v.Digest]; patch != nil {
			base, _ := c.old.Manifest.PatchBase(v.Name)
			var err error
			if data, err = bundle.DecodePatch(c.old.Values[base.Digest], patch); err != nil {
				return err
			}
		}
		if v.Verify(data) != nil {
			return errDigestMismatch
		}
		values[v.Digest] = data
	}
	_, err := bundle.DecodeSet(c.next.ManifestBytes, values)
	return err
}

// MeasureProcessorTime records the processor time of the operations whose cost grows with the number of declared
// objects.
func MeasureProcessorTime(r *Recorder) error {
	for _, n := range fleetSizes {
		f := targetFleet()
		f.upstreams = n
		if err := measureAdoption(r, f); err != nil {
			return err
		}
		if err := measureCallSteps(r, f); err != nil {
			return err
		}
	}
	return nil
}

// measureAdoption records the processor time of building, patching and adopting a version.
func measureAdoption(r *Recorder, f fleetSpec) error {
	c, err := newVersionChange(f)
	if err != nil {
		return err
	}
	patches, err := c.encodePatches()
	if err != nil {
		return err
	}
	bytes := 0
	for _, p := range patches {
		bytes += len(p)
	}
	adoption, err := processorMicros(func() error { return c.adopt(patches) })
	if err != nil {
		return err
	}
	encoding, err := processorMicros(func() error {
		_, err := c.encodePatches()
		return err
	})
	if err != nil {
		return err
	}
	build, err := processorMicros(func() error {
		_, err := bundle.Build(f.objects(), 3, c.next.ID().Digest)
		return err
	})
	if err != nil {
		return err
	}
	return r.addAll(float64(f.upstreams), []measurement{
		{"cpu_adoption", "us", adoption},
		{"cpu_patch_encoding", "us", encoding},
		{"cpu_operator_build", "us", build},
		{"patch_bytes", "bytes", float64(bytes)},
	})
}

// measureCallSteps records the processor time of the steps of a call whose cost could grow with the number of declared
// objects.
func measureCallSteps(r *Recorder, f fleetSpec) error {
	set, err := decodedSet(f)
	if err != nil {
		return err
	}
	table, view := newRoutingTable(), routingView(f, set)
	lookup, err := processorMicros(func() error {
		set.RouteFor("GET", "/"+serviceName(0))
		set.KeyForSecret(keySecret(1))
		table.Pick(0, view, serviceName(0), nil)
		return nil
	})
	if err != nil {
		return err
	}
	plan, err := processorMicros(func() error {
		quota.NewPlan(set)
		return nil
	})
	if err != nil {
		return err
	}
	holder, request := busiestHolder(set)
	now := time.Minute
	lease, err := processorMicros(func() error {
		now += time.Millisecond
		holder.Lease(now, request)
		return nil
	})
	if err != nil {
		return err
	}
	return r.addAll(float64(f.upstreams), []measurement{
		{"cpu_call_lookup", "us", lookup},
		{"cpu_quota_plan", "us", plan},
		{"cpu_lease_decision", "us", lease},
	})
}
