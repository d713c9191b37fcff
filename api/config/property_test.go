package config_test

import (
	"encoding/json"
	"flag"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// init fixes the seed so that runs are repeatable; the flag -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// firstUnresolved returns the first reference of the set that does not resolve, or an empty string. It shares no code
// with the validation that it checks.
func firstUnresolved(s *config.Set) string {
	for _, u := range s.Upstreams {
		if s.Service(u.Service) == nil || s.DataCentre(u.DataCentre) == nil {
			return "upstream " + u.Name
		}
	}
	for _, r := range s.Routes {
		if s.Service(r.Service) == nil || len(s.UpstreamsOf(r.Service)) == 0 {
			return "route " + r.Name
		}
		for _, m := range r.Methods {
			if found, _ := s.RouteFor(m, r.PathPrefix); found == nil || found.Name != r.Name {
				return "shadowed route " + r.Name
			}
		}
	}
	for _, k := range s.Keys {
		if s.Team(k.Team) == nil || s.Key(k.ID).Digest != k.Digest {
			return "key " + k.ID
		}
	}
	return ""
}

// Guards against a set that passes validation although a reference in it does not resolve (invariant 2 of
// docs/design.md). Objects of a valid set are removed and repeated, and their references changed, at random.
func TestReferencesOfValidSetsResolve(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		o := validObjects(4, 8, 4)
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			mutate(t, &o)
		}
		if len(config.Validate(o)) > 0 {
			refused++
			return
		}
		accepted++
		if fault := firstUnresolved(config.NewSet(o)); fault != "" {
			t.Fatalf("the set passed validation, but %s does not resolve", fault)
		}
	})
	if accepted == 0 || refused == 0 {
		t.Fatalf("%d sets accepted and %d refused; both must occur for the test to be meaningful", accepted, refused)
	}
}

// mutate changes one random object or reference.
func mutate(t *rapid.T, o *config.Objects) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "object") }
	names := []string{"s0", "s1", "s2", "s3", "a", "b", "t", "other"}
	name := rapid.SampledFrom(names).Draw(t, "name")
	switch rapid.IntRange(0, 9).Draw(t, "change") {
	case 0:
		i := pick(len(o.Services))
		o.Services = slices.Delete(o.Services, i, i+1)
	case 1:
		i := pick(len(o.Upstreams))
		o.Upstreams = slices.Delete(o.Upstreams, i, i+1)
	case 2:
		i := pick(len(o.DataCentres))
		o.DataCentres = slices.Delete(o.DataCentres, i, i+1)
	case 3:
		o.Teams = nil
	case 4:
		o.Upstreams[pick(len(o.Upstreams))].Service = name
	case 5:
		o.Routes[pick(len(o.Routes))].Service = name
	case 6:
		o.Routes[pick(len(o.Routes))].PathPrefix = "/" + name
	case 7:
		o.Keys[pick(len(o.Keys))].Team = name
	case 8:
		o.Keys = append(o.Keys, o.Keys[pick(len(o.Keys))])
	case 9:
		o.Upstreams[pick(len(o.Upstreams))].DataCentre = name
	}
	// The next change could not pick an object from an empty list.
	if len(o.Services) == 0 || len(o.Upstreams) == 0 || len(o.DataCentres) == 0 {
		*o = validObjects(4, 8, 4)
	}
}

// Guards against a panic, or keys that are lost without a fault, when bytes of a valid file are replaced at random.
func TestParseAndValidateHandlesDamagedFiles(t *testing.T) {
	o := validObjects(2, 4, 2)
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		damaged := slices.Clone(text)
		for range rapid.IntRange(1, 4).Draw(t, "bytes") {
			at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
			damaged[at] = rapid.SampledFrom([]byte("{}[]\",:0a\\ \xff")).Draw(t, "byte")
		}
		read, faults := config.ParseAndValidate(map[string][]byte{"f.json": damaged})
		if len(faults) == 0 && len(read.Keys) != len(o.Keys) {
			t.Fatalf("keys were lost without a fault: %s", damaged)
		}
	})
}
