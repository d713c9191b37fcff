package slopes

import (
	"errors"
	"syscall"
	"time"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota"
)

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processorMicros returns the processor time of one run of work in microseconds, with its share of the garbage
// collection, over about a quarter of a second.
func processorMicros(work func() error) (float64, error) {
	const length = 250 * time.Millisecond
	runs := 0
	start, begin := processorTime(), time.Now()
	for time.Since(begin) < length || runs < 3 {
		if err := work(); err != nil {
			return 0, err
		}
		runs++
	}
	return float64((processorTime() - start).Nanoseconds()) / 1e3 / float64(runs), nil
}

// change is a version and the next one, in which one key is withdrawn.
type change struct{ old, next *bundle.Bundle }

func newChange(f fleet) (c change, err error) {
	o := f.objects()
	if c.old, err = bundle.Build(o, 1, ""); err != nil {
		return c, err
	}
	o.Keys[len(o.Keys)/2].State = config.KeyWithdrawn
	c.next, err = bundle.Build(o, 2, c.old.ID().Digest)
	return c, err
}

// patches returns the patches from the old values to the new ones, by the new digest.
func (c change) patches() (map[string][]byte, error) {
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

var errPatched = errors.New("a patched value does not match its digest")

// adopt is what a node does with a change before it takes effect: patch, check, parse, validate and index.
func (c change) adopt(patches map[string][]byte) error {
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
			return errPatched
		}
		values[v.Digest] = data
	}
	_, err := bundle.DecodeSet(c.next.ManifestBytes, values)
	return err
}

// MeasureProcessorTime records the processor time of the decisions that grow with the set.
func MeasureProcessorTime(r *Recorder) error {
	for _, n := range countSizes {
		f := target()
		f.upstreams = n
		if err := adoptionWork(r, f); err != nil {
			return err
		}
		if err := callWork(r, f); err != nil {
			return err
		}
	}
	return nil
}

func adoptionWork(r *Recorder, f fleet) error {
	c, err := newChange(f)
	if err != nil {
		return err
	}
	patches, err := c.patches()
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
		_, err := c.patches()
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
	return r.addAll(float64(f.upstreams), []measure{
		{"cpu_adoption", "us", adoption},
		{"cpu_patch_encoding", "us", encoding},
		{"cpu_operator_build", "us", build},
		{"patch_bytes", "bytes", float64(bytes)},
	})
}

// callWork covers the steps of a call whose cost could grow with the set.
func callWork(r *Recorder, f fleet) error {
	set, err := opened(f)
	if err != nil {
		return err
	}
	table, view := newTable(), viewOf(f, set)
	pick, err := processorMicros(func() error {
		set.RouteFor("GET", "/"+serviceName(0))
		set.KeyForSecret(secret(1))
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
	holder, request := holderAndRequest(set)
	now := time.Minute
	lease, err := processorMicros(func() error {
		now += time.Millisecond
		holder.Lease(now, request)
		return nil
	})
	if err != nil {
		return err
	}
	return r.addAll(float64(f.upstreams), []measure{
		{"cpu_call_lookup", "us", pick},
		{"cpu_quota_plan", "us", plan},
		{"cpu_lease_decision", "us", lease},
	})
}
