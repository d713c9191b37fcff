package config

import (
	"fmt"
	"strconv"
	"strings"
)

func (v *validator) dataCentres() {
	inService := false
	for i := range v.o.DataCentres {
		dc := &v.o.DataCentres[i]
		at := spot{"data_centres", i, dc.Name}
		v.named(at, "name")
		if !validName(dc.Region) {
			v.fault(at, "region", show(dc.Region), "name the region of the data centre")
		}
		enum(v, at, "state", dc.State, DataCentreIn, DataCentreOut)
		inService = inService || dc.State == DataCentreIn
	}
	if !inService {
		v.faults = append(v.faults, Fault{
			Object: "data_centres", Field: "state", Value: "none is \"in\"",
			Remedy: "put at least one data centre in service",
		})
	}
}

func (v *validator) services() {
	for i := range v.o.Services {
		s := &v.o.Services[i]
		at := spot{"services", i, s.Name}
		v.named(at, "name")
		seen := make(map[string]bool, len(s.DependsOn))
		for j, target := range s.DependsOn {
			v.reference(at, fmt.Sprintf("depends_on[%d]", j), target, "services")
			if seen[target] {
				v.fault(at, fmt.Sprintf("depends_on[%d]", j), show(target), "remove the second entry of this name")
			}
			seen[target] = true
		}
		v.whole(at, "cold_start.initial_concurrency", int64(s.ColdStart.InitialConcurrency), 1, maxSlots)
		v.whole(at, "cold_start.ramp_ms", s.ColdStart.RampMS, 1, maxRampMS)
		if !v.populated[s.Name] {
			v.fault(at, "name", show(s.Name), "declare at least one upstream of this service, or remove the service")
		}
	}
}

func (v *validator) upstreams() {
	for i := range v.o.Upstreams {
		u := &v.o.Upstreams[i]
		at := spot{"upstreams", i, u.Name}
		v.named(at, "name")
		v.reference(at, "service", u.Service, "services")
		v.reference(at, "data_centre", u.DataCentre, "data_centres")
		v.whole(at, "slots", int64(u.Slots), 1, maxSlots)
		v.whole(at, "connections", int64(u.Connections), 1, maxConnections)
		if u.Connections > 0 && u.Slots > u.Connections {
			v.fault(at, "slots", strconv.Itoa(u.Slots), fmt.Sprintf(
				"write at most the number of connections, %d; each call in work holds one", u.Connections))
		}
	}
}

func (v *validator) routes() {
	// taken maps a prefix and method to the position of the first route that has them.
	taken := make(map[[2]string]int, 2*len(v.o.Routes))
	for i := range v.o.Routes {
		r := &v.o.Routes[i]
		at := spot{"routes", i, r.Name}
		v.named(at, "name")
		v.reference(at, "service", r.Service, "services")
		if remedy := prefixRemedy(r.PathPrefix); remedy != "" {
			v.fault(at, "path_prefix", show(r.PathPrefix), remedy)
		}
		v.methods(at, r, taken)
		enum(v, at, "visibility", r.Visibility, VisibilityPublic, VisibilityInternal)
		enum(v, at, "priority", r.Priority, PriorityInteractive, PriorityNormal, PriorityBackground)
		v.whole(at, "timeout_ms", r.TimeoutMS, 1, MaxTimeoutMS)
		v.whole(at, "max_body_bytes", int64(r.MaxBodyBytes), 0, maxBodyBytes)
		if r.MaxConfigAgeMS != 0 {
			v.whole(at, "max_config_age_ms", r.MaxConfigAgeMS, minConfigAgeMS, maxConfigAgeMS)
		}
	}
}

// methods reports unknown methods and routes that overlap: two routes of one prefix and method would leave it to
// their order which one a call takes.
func (v *validator) methods(at spot, r *Route, taken map[[2]string]int) {
	if len(r.Methods) == 0 {
		v.fault(at, "methods", "an empty list", "write at least one of "+strings.Join(methods, ", "))
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	for j, m := range r.Methods {
		field := fmt.Sprintf("methods[%d]", j)
		enum(v, at, field, m, methods...)
		first, ok := taken[[2]string{prefix, m}]
		switch {
		case !ok:
			taken[[2]string{prefix, m}] = at.index
		case first == at.index:
			v.fault(at, field, show(m), "remove the second entry of this method")
		default:
			v.fault(at, field, show(m+" "+r.PathPrefix), fmt.Sprintf(
				"change the prefix or the method; %s has both", label("routes", first, v.o.Routes[first].Name)))
		}
	}
}

func prefixRemedy(prefix string) string {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return "start the prefix with '/'"
	case len(prefix) > maxPrefixBytes:
		return fmt.Sprintf("write at most %d bytes", maxPrefixBytes)
	case strings.Contains(prefix, "//"), strings.Contains(prefix+"/", "/../"), strings.Contains(prefix+"/", "/./"):
		return "write a prefix without empty, '.' or '..' segments; callers' paths are normalised"
	}
	for i := range len(prefix) {
		if c := prefix[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("?#%\\\"<>", c) >= 0 {
			return "write printable ASCII characters without spaces, '?', '#' or '%'"
		}
	}
	return ""
}

func (v *validator) teams() {
	for i := range v.o.Teams {
		t := &v.o.Teams[i]
		at := spot{"teams", i, t.Name}
		v.named(at, "name")
		// The comparison is written so that NaN is a fault too.
		if !(t.RatePerSecond > 0 && t.RatePerSecond <= maxRate) {
			v.fault(at, "rate_per_second", formatFloat(t.RatePerSecond), fmt.Sprintf(
				"write calls a second, above 0 and at most %d", maxRate))
		}
		v.whole(at, "burst", int64(t.Burst), 1, maxBurst)
		v.whole(at, "weight", int64(t.Weight), 1, maxWeight)
	}
}

func (v *validator) keys() {
	byDigest := make(map[string]int, len(v.o.Keys))
	for i := range v.o.Keys {
		k := &v.o.Keys[i]
		at := spot{"keys", i, k.ID}
		v.named(at, "id")
		v.reference(at, "team", k.Team, "teams")
		enum(v, at, "state", k.State, KeyGranted, KeyWithdrawn)
		if !validDigest(k.Digest) {
			// The field may hold the plain key by mistake.
			v.fault(at, "digest", hidden, "write sha256: and the 64 lower-case hexadecimal digits of the key's SHA-256, "+
				"never the key itself")
			continue
		}
		if first, ok := byDigest[k.Digest]; ok {
			v.fault(at, "digest", hidden, fmt.Sprintf(
				"remove one of the two, or grant a new key; %s has the same digest", label("keys", first, v.o.Keys[first].ID)))
			continue
		}
		byDigest[k.Digest] = i
	}
}

func validDigest(digest string) bool {
	hexadecimal, ok := strings.CutPrefix(digest, digestAlgorithm)
	if !ok || len(hexadecimal) != digestHexLetters {
		return false
	}
	for i := range len(hexadecimal) {
		if c := hexadecimal[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func (v *validator) objectives() {
	for i := range v.o.Objectives {
		ob := &v.o.Objectives[i]
		at := spot{"objectives", i, ob.Name}
		v.named(at, "name")
		switch {
		case ob.Service == "" && ob.Team == "", ob.Service != "" && ob.Team != "":
			v.fault(at, "service", show(ob.Service), "name either a service or a team")
		case ob.Service != "":
			v.reference(at, "service", ob.Service, "services")
		default:
			v.reference(at, "team", ob.Team, "teams")
		}
		if !(ob.Target > 0 && ob.Target < 1) {
			v.fault(at, "target", formatFloat(ob.Target), "write the share of good calls between 0 and 1, such as 0.999")
		}
		v.whole(at, "latency_ms", ob.LatencyMS, 1, maxLatencyMS)
	}
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
