package config

import (
	"fmt"
	"strconv"
	"strings"
)

func (v *validator) checkDataCentres() {
	inService := false
	for i := range v.objects.DataCentres {
		dc := &v.objects.DataCentres[i]
		at := objectRef{"data_centres", i, dc.Name}
		v.checkName(at, "name")
		if !isValidName(dc.Region) {
			v.addFault(at, "region", quoteValue(dc.Region), "name the region of the data centre")
		}
		checkEnum(v, at, "state", dc.State, DataCentreIn, DataCentreOut)
		inService = inService || dc.State == DataCentreIn
	}
	if !inService {
		v.faults = append(v.faults, Fault{
			Object: "data_centres", Field: "state", Value: "none is \"in\"",
			Remedy: "put at least one data centre in service",
		})
	}
}

func (v *validator) checkServices() {
	for i := range v.objects.Services {
		s := &v.objects.Services[i]
		at := objectRef{"services", i, s.Name}
		v.checkName(at, "name")
		seen := make(map[string]bool, len(s.DependsOn))
		for j, target := range s.DependsOn {
			v.checkReference(at, fmt.Sprintf("depends_on[%d]", j), target, "services")
			if seen[target] {
				v.addFault(at, fmt.Sprintf("depends_on[%d]", j), quoteValue(target), "remove the second entry of this name")
			}
			seen[target] = true
		}
		v.checkRange(at, "cold_start.initial_concurrency", int64(s.ColdStart.InitialConcurrency), 1, maxSlots)
		v.checkRange(at, "cold_start.ramp_ms", s.ColdStart.RampMS, 1, maxRampMS)
		if !v.hasUpstream[s.Name] {
			v.addFault(at, "name", quoteValue(s.Name), "declare at least one upstream of this service, or remove the service")
		}
	}
}

func (v *validator) checkUpstreams() {
	for i := range v.objects.Upstreams {
		u := &v.objects.Upstreams[i]
		at := objectRef{"upstreams", i, u.Name}
		v.checkName(at, "name")
		v.checkReference(at, "service", u.Service, "services")
		v.checkReference(at, "data_centre", u.DataCentre, "data_centres")
		v.checkRange(at, "slots", int64(u.Slots), 1, maxSlots)
		v.checkRange(at, "connections", int64(u.Connections), 1, maxConnections)
		if u.Connections > 0 && u.Slots > u.Connections {
			v.addFault(at, "slots", strconv.Itoa(u.Slots), fmt.Sprintf(
				"write at most the number of connections, %d; each running call uses one", u.Connections))
		}
	}
}

func (v *validator) checkRoutes() {
	// taken maps a path prefix and method to the index of the first route that has them.
	taken := make(map[[2]string]int, 2*len(v.objects.Routes))
	for i := range v.objects.Routes {
		r := &v.objects.Routes[i]
		at := objectRef{"routes", i, r.Name}
		v.checkName(at, "name")
		v.checkReference(at, "service", r.Service, "services")
		if remedy := prefixRemedy(r.PathPrefix); remedy != "" {
			v.addFault(at, "path_prefix", quoteValue(r.PathPrefix), remedy)
		}
		v.checkMethods(at, r, taken)
		checkEnum(v, at, "visibility", r.Visibility, VisibilityPublic, VisibilityInternal)
		checkEnum(v, at, "priority", r.Priority, PriorityInteractive, PriorityNormal, PriorityBackground)
		v.checkRange(at, "timeout_ms", r.TimeoutMS, 1, MaxTimeoutMS)
		v.checkRange(at, "max_body_bytes", int64(r.MaxBodyBytes), 0, maxBodyBytes)
		if r.MaxConfigAgeMS != 0 {
			v.checkRange(at, "max_config_age_ms", r.MaxConfigAgeMS, minConfigAgeMS, maxConfigAgeMS)
		}
	}
}

// checkMethods reports unknown methods, and routes that overlap: with two routes for the same prefix and method, the
// order of declaration would decide which one a call takes.
func (v *validator) checkMethods(at objectRef, r *Route, taken map[[2]string]int) {
	if len(r.Methods) == 0 {
		v.addFault(at, "methods", "an empty list", "write at least one of "+strings.Join(requestMethods, ", "))
	}
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	for j, m := range r.Methods {
		field := fmt.Sprintf("methods[%d]", j)
		checkEnum(v, at, field, m, requestMethods...)
		first, ok := taken[[2]string{prefix, m}]
		switch {
		case !ok:
			taken[[2]string{prefix, m}] = at.index
		case first == at.index:
			v.addFault(at, field, quoteValue(m), "remove the second entry of this method")
		default:
			v.addFault(at, field, quoteValue(m+" "+r.PathPrefix), fmt.Sprintf(
				"change the prefix or the method; %s has both", objectLabel("routes", first, v.objects.Routes[first].Name)))
		}
	}
}

// prefixRemedy states what to change about an invalid path prefix, or returns an empty string when it is valid.
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

func (v *validator) checkTeams() {
	for i := range v.objects.Teams {
		t := &v.objects.Teams[i]
		at := objectRef{"teams", i, t.Name}
		v.checkName(at, "name")
		// The condition is negated so that NaN is a fault too.
		if !(t.RatePerSecond > 0 && t.RatePerSecond <= maxRate) {
			v.addFault(at, "rate_per_second", formatFloat(t.RatePerSecond), fmt.Sprintf(
				"write a number of calls per second above 0 and at most %d", maxRate))
		}
		v.checkRange(at, "burst", int64(t.Burst), 1, maxBurst)
		v.checkRange(at, "weight", int64(t.Weight), 1, maxWeight)
	}
}

func (v *validator) checkKeys() {
	byDigest := make(map[string]int, len(v.objects.Keys))
	for i := range v.objects.Keys {
		k := &v.objects.Keys[i]
		at := objectRef{"keys", i, k.ID}
		v.checkName(at, "id")
		v.checkReference(at, "team", k.Team, "teams")
		checkEnum(v, at, "state", k.State, KeyGranted, KeyWithdrawn)
		if !isValidDigest(k.Digest) {
			// The field may contain the plain key by mistake.
			v.addFault(at, "digest", hiddenValue, "write sha256: and the 64 lower-case hexadecimal digits of the key's SHA-256, "+
				"never the key itself")
			continue
		}
		if first, ok := byDigest[k.Digest]; ok {
			v.addFault(at, "digest", hiddenValue, fmt.Sprintf(
				"remove one of the two, or grant a new key; %s has the same digest", objectLabel("keys", first, v.objects.Keys[first].ID)))
			continue
		}
		byDigest[k.Digest] = i
	}
}

func isValidDigest(digest string) bool {
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

func (v *validator) checkObjectives() {
	for i := range v.objects.Objectives {
		ob := &v.objects.Objectives[i]
		at := objectRef{"objectives", i, ob.Name}
		v.checkName(at, "name")
		switch {
		case ob.Service == "" && ob.Team == "", ob.Service != "" && ob.Team != "":
			v.addFault(at, "service", quoteValue(ob.Service), "name either a service or a team")
		case ob.Service != "":
			v.checkReference(at, "service", ob.Service, "services")
		default:
			v.checkReference(at, "team", ob.Team, "teams")
		}
		if !(ob.Target > 0 && ob.Target < 1) {
			v.addFault(at, "target", formatFloat(ob.Target), "write the share of good calls between 0 and 1, such as 0.999")
		}
		v.checkRange(at, "latency_ms", ob.LatencyMS, 1, maxLatencyMS)
	}
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }
