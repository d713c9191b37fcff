package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// validObjects returns objects that pass validation: each service s0, s1 and so on depends on the next one, and the
// upstreams are spread over two data centres.
func validObjects(services, upstreams, keys int) config.Objects {
	o := config.Objects{
		DataCentres: []config.DataCentre{{Name: "a", Region: "r", State: config.DataCentreIn}, {Name: "b", Region: "r", State: config.DataCentreOut}},
		Teams:       []config.Team{{Name: "t", RatePerSecond: 10, Burst: 16, Weight: 1}},
	}
	for i := range services {
		s := config.Service{Name: fmt.Sprintf("s%d", i), ColdStart: config.ColdStart{InitialConcurrency: 1, RampMS: 1000}}
		if i+1 < services {
			s.DependsOn = []string{fmt.Sprintf("s%d", i+1)}
		}
		o.Services = append(o.Services, s)
		o.Routes = append(o.Routes, config.Route{
			Name: "r" + s.Name, Service: s.Name, PathPrefix: "/" + s.Name, Methods: []string{"GET", "POST"},
			Visibility: config.VisibilityPublic, Priority: config.PriorityNormal, TimeoutMS: 1000,
		})
		o.Objectives = append(o.Objectives, config.Objective{Name: "o" + s.Name, Service: s.Name, Target: 0.99, LatencyMS: 50})
	}
	for i := range upstreams {
		o.Upstreams = append(o.Upstreams, config.Upstream{
			Name: fmt.Sprintf("u%d", i), Service: fmt.Sprintf("s%d", i%services),
			DataCentre: string(rune('a' + i%2)), Slots: 10, Connections: 110,
		})
	}
	for i := range keys {
		o.Keys = append(o.Keys, config.Key{
			ID: fmt.Sprintf("k%d", i), Team: "t", Digest: config.KeyDigest(fmt.Sprint(i)), State: config.KeyGranted,
		})
	}
	return o
}

// Guards against a rule that is not checked, and against a fault without a remedy or with the wrong object or field.
func TestValidateReportsEachViolation(t *testing.T) {
	cases := map[string]struct {
		makeInvalid   func(*config.Objects)
		object, field string
	}{
		"dangling service":      {func(o *config.Objects) { o.Upstreams[0].Service = "none" }, `upstream "u0"`, "service"},
		"dangling data centre":  {func(o *config.Objects) { o.Upstreams[0].DataCentre = "none" }, `upstream "u0"`, "data_centre"},
		"dangling route":        {func(o *config.Objects) { o.Routes[1].Service = "" }, `route "rs1"`, "service"},
		"dangling team":         {func(o *config.Objects) { o.Keys[0].Team = "none" }, `key "k0"`, "team"},
		"dangling dependency":   {func(o *config.Objects) { o.Services[2].DependsOn = []string{"none"} }, `service "s2"`, "depends_on[0]"},
		"cycle":                 {func(o *config.Objects) { o.Services[2].DependsOn = []string{"s0"} }, `service "s0"`, "depends_on"},
		"self cycle":            {func(o *config.Objects) { o.Services[2].DependsOn = []string{"s2"} }, `service "s2"`, "depends_on"},
		"duplicate name":        {func(o *config.Objects) { o.Teams = append(o.Teams, o.Teams[0]) }, `team "t"`, "name"},
		"unfit name":            {func(o *config.Objects) { o.Teams[0].Name = "a b"; o.Keys = nil }, `team "a b"`, "name"},
		"unknown state":         {func(o *config.Objects) { o.DataCentres[1].State = "off" }, `data centre "b"`, "state"},
		"unknown priority":      {func(o *config.Objects) { o.Routes[0].Priority = "" }, `route "rs0"`, "priority"},
		"unknown method":        {func(o *config.Objects) { o.Routes[0].Methods = []string{"get"} }, `route "rs0"`, "methods[0]"},
		"no method":             {func(o *config.Objects) { o.Routes[0].Methods = nil }, `route "rs0"`, "methods"},
		"timeout zero":          {func(o *config.Objects) { o.Routes[0].TimeoutMS = 0 }, `route "rs0"`, "timeout_ms"},
		"timeout above 5 s":     {func(o *config.Objects) { o.Routes[0].TimeoutMS = 5001 }, `route "rs0"`, "timeout_ms"},
		"age in seconds":        {func(o *config.Objects) { o.Routes[0].MaxConfigAgeMS = 8 }, `route "rs0"`, "max_config_age_ms"},
		"negative body":         {func(o *config.Objects) { o.Routes[0].MaxBodyBytes = -1 }, `route "rs0"`, "max_body_bytes"},
		"ramp zero":             {func(o *config.Objects) { o.Services[0].ColdStart.RampMS = 0 }, `service "s0"`, "cold_start.ramp_ms"},
		"ramp of a day":         {func(o *config.Objects) { o.Services[0].ColdStart.RampMS = 86_400_000 }, `service "s0"`, "cold_start.ramp_ms"},
		"slots":                 {func(o *config.Objects) { o.Upstreams[0].Slots = 111 }, `upstream "u0"`, "slots"},
		"rate negative":         {func(o *config.Objects) { o.Teams[0].RatePerSecond = -1 }, `team "t"`, "rate_per_second"},
		"burst zero":            {func(o *config.Objects) { o.Teams[0].Burst = 0 }, `team "t"`, "burst"},
		"target in percent":     {func(o *config.Objects) { o.Objectives[0].Target = 99.9 }, `objective "os0"`, "target"},
		"objective of nothing":  {func(o *config.Objects) { o.Objectives[0].Service = "" }, `objective "os0"`, "service"},
		"objective of two":      {func(o *config.Objects) { o.Objectives[0].Team = "t" }, `objective "os0"`, "service"},
		"malformed digest":      {func(o *config.Objects) { o.Keys[0].Digest = "sha256:AB" }, `key "k0"`, "digest"},
		"digest twice":          {func(o *config.Objects) { o.Keys[1].Digest = o.Keys[0].Digest }, `key "k1"`, "digest"},
		"overlap":               {func(o *config.Objects) { o.Routes[1].PathPrefix = "/s0/"; o.Routes[1].Methods = []string{"POST"} }, `route "rs1"`, "methods[0]"},
		"prefix not normalised": {func(o *config.Objects) { o.Routes[1].PathPrefix = "/a/../b" }, `route "rs1"`, "path_prefix"},
		"nothing in service":    {func(o *config.Objects) { o.DataCentres[0].State = config.DataCentreOut }, "data_centres", "state"},
		"service without upstream": {func(o *config.Objects) {
			o.Services = append(o.Services, config.Service{Name: "s3", ColdStart: o.Services[0].ColdStart})
		}, `service "s3"`, "name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := validObjects(3, 6, 2)
			g.Expect(config.Validate(o)).To(BeEmpty())
			c.makeInvalid(&o)
			faults := config.Validate(o)
			g.Expect(faults).To(HaveLen(1), "%v", faults)
			g.Expect(faults[0].Object).To(Equal(c.object))
			g.Expect(faults[0].Field).To(Equal(c.field))
			g.Expect(faults[0].Remedy).NotTo(BeEmpty())
		})
	}
}

// Guards against an off-by-one error in the bound on dependency chains.
func TestValidateBoundsDependencyChains(t *testing.T) {
	g := NewWithT(t)
	g.Expect(config.Validate(validObjects(23, 23, 0))).To(BeEmpty())
	faults := config.Validate(validObjects(24, 24, 0))
	g.Expect(faults).To(HaveLen(1))
	g.Expect(faults[0].Object).To(Equal(`service "s0"`))
}

// Guards against a check that stops at the first fault or whose order of faults changes from run to run.
func TestParseAndValidateReportsAllFaultsInStableOrder(t *testing.T) {
	g := NewWithT(t)
	files := map[string][]byte{
		"b.json": []byte(`{"teams":[{"name":"x","rate_per_second":"5/s","burst":16,"weight":1,"Burst":2}],"extra":[]}`),
		"a.json": []byte(`{"keys":[{"id":"k","team":"y","team":"z","digest":"d","state":"on"}],` +
			`"routes":[{"name":"r","timeout_ms":"5s","methods":"GET","idempotent":null}],"services":{}}`),
	}
	_, first := config.ParseAndValidate(files)
	places := make([]string, 0, len(first))
	for _, f := range first {
		places = append(places, f.File+" "+f.Object+" "+f.Field)
		g.Expect(f.Remedy).NotTo(BeEmpty())
	}
	g.Expect(places).To(Equal([]string{
		`a.json key "k" team`, `a.json route "r" timeout_ms`, `a.json route "r" methods`, `a.json route "r" idempotent`,
		`a.json  services`, `b.json team "x" rate_per_second`, `b.json team "x" Burst`, `b.json  extra`,
		` data_centres state`, `a.json route "r" service`, `a.json route "r" path_prefix`, `a.json route "r" visibility`,
		`a.json route "r" priority`, `a.json key "k" state`, `a.json key "k" digest`,
	}))
	for range 20 {
		_, again := config.ParseAndValidate(files)
		g.Expect(again).To(Equal(first))
	}
}

// Guards against input that encoding/json accepts by default: trailing text, deep nesting, field names in another case.
func TestParseRejectsMalformedFiles(t *testing.T) {
	for name, text := range map[string]string{
		"trailing":   `{"teams":[]} {}`,
		"truncated":  `{"teams":[`,
		"empty":      ``,
		"list":       `[]`,
		"deep":       strings.Repeat(`{"teams":[`, 20),
		"other case": `{"Teams":[]}`,
		"two lists":  `{"teams":[],"teams":[]}`,
		"fraction":   `{"teams":[{"name":"t","burst":1.5}]}`,
		"overflow":   `{"teams":[{"name":"t","burst":99999999999999999999}]}`,
		"not object": `{"teams":["t"]}`,
		"null":       `{"teams":[{"name":null}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, faults := config.Parse(map[string][]byte{"f.json": []byte(text)})
			g.Expect(faults).To(HaveLen(1), "%v", faults)
			g.Expect(faults[0].File).To(Equal("f.json"))
		})
	}
}

// Guards against a fault that shows a plain key which an operator put in the wrong field.
func TestFaultsNeverShowPlainKeys(t *testing.T) {
	for _, secret := range []string{"hunter2", config.KeyPrefix + "short1", strings.Repeat("a1b2c3d4", 8)} {
		texts := []string{
			fmt.Sprintf(`{"keys":[{"id":"k","team":"t","digest":%q,"state":"granted"}]}`, secret),
			fmt.Sprintf(`{"keys":[{"id":"k","team":"t","key":%q,"state":"granted"}]}`, secret),
			fmt.Sprintf(`{"keys":[{"id":"k","team":"t","digest":[%q],"state":"granted"}]}`, secret),
			fmt.Sprintf(`{"keys":[{"id":"k","team":"t","digest":"x","digest":%q}]}`, secret),
			fmt.Sprintf(`{"keys":[{"id":"k","digest":"sha256:" %q}]}`, secret),
		}
		if secret != "hunter2" {
			texts = append(texts,
				fmt.Sprintf(`{"keys":[{"id":%q,"team":"t"}]}`, secret),
				fmt.Sprintf(`{"keys":[{"id":"k","team":%q,"state":%q}]}`, secret, secret),
				fmt.Sprintf(`{"keys":[{"id":"k",%q:"t"}]}`, secret),
				fmt.Sprintf(`{"teams":[{"name":%q}]}`, secret))
		}
		for _, text := range texts {
			g := NewWithT(t)
			_, faults := config.ParseAndValidate(map[string][]byte{"f.json": []byte(text)})
			g.Expect(faults).NotTo(BeEmpty(), text)
			report, err := json.Marshal(faults)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(report)).NotTo(ContainSubstring(secret), text)
		}
	}
}

// Guards against objects that change when they are encoded and parsed.
func TestParseReturnsTheEncodedObjects(t *testing.T) {
	g := NewWithT(t)
	o := validObjects(3, 6, 2)
	text, err := json.Marshal(o)
	g.Expect(err).NotTo(HaveOccurred())
	read, faults := config.ParseAndValidate(map[string][]byte{"f.json": text})
	g.Expect(faults).To(BeEmpty())
	g.Expect(read).To(Equal(o))
}

// BenchmarkValidate uses the largest configuration of docs/design.md: 470 upstreams and 2,000 keys.
func BenchmarkValidate(b *testing.B) {
	o := validObjects(16, 470, 2000)
	b.ReportAllocs()
	for b.Loop() {
		if faults := config.Validate(o); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

func BenchmarkParseAndValidate(b *testing.B) {
	text, err := json.Marshal(validObjects(16, 470, 2000))
	if err != nil {
		b.Fatal(err)
	}
	files := map[string][]byte{"f.json": text}
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := config.ParseAndValidate(files); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
