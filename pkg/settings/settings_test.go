package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/pkg/settings"
)

const valid = `{"vm":"vm-1","upstream":"u-1","data_centre":"dc-1","caller_address":"127.0.0.1:1",
"local_address":"127.0.0.1:2","peer_address":"127.0.0.1:3","control_address":"127.0.0.1:4",
"operator_address":"127.0.0.1:5","upstream_address":"127.0.0.1:6","platform_addresses":["http://127.0.0.1:7"]}`

func TestParseSetsDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse("node.json", []byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.MaxDeadline).To(Equal(5 * time.Second))
	g.Expect(s.IdentityRetention).To(Equal(15 * time.Minute))
	g.Expect(s.DrainNotice).To(Equal(2 * time.Second))
}

// Each fault must name the file, the field, the value and a remedy, and all faults must be reported at once.
func TestParseReportsAllFaults(t *testing.T) {
	cases := map[string]struct{ from, to, field, value string }{
		"unknown field":   {`"vm"`, `"vmm":1,"vm"`, "vmm", "1"},
		"wrong type":      {`"vm":"vm-1"`, `"vm":3`, "vm", "3"},
		"null":            {`"vm":"vm-1"`, `"vm":null`, "vm", "null"},
		"host name":       {`127.0.0.1:3`, `node.example:3`, "peer_address", `"node.example:3"`},
		"port in use":     {`127.0.0.1:3`, `127.0.0.1:2`, "peer_address", `"127.0.0.1:2"`},
		"no base URL":     {`http://127.0.0.1:7`, `127.0.0.1`, "platform_addresses", `"127.0.0.1"`},
		"long deadline":   {`"vm"`, `"max_deadline_ms":900000,"vm"`, "max_deadline_ms", "900000"},
		"short retention": {`"vm"`, `"identity_retention_ms":1000,"vm"`, "identity_retention_ms", "1000"},
		"fraction":        {`"vm"`, `"drain_notice_ms":1.5,"vm"`, "drain_notice_ms", "1.5"},
		"unknown level":   {`"vm"`, `"log_level":"loud","vm"`, "log_level", `"loud"`},
		"dial with port":  {`"vm"`, `"dial_address":"127.0.0.2:1","vm"`, "dial_address", `"127.0.0.2:1"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := settings.Parse("node.json", []byte(strings.Replace(valid, c.from, c.to, 1)))
			var faults settings.Faults
			g.Expect(errors.As(err, &faults)).To(BeTrue())
			g.Expect(faults[0].File).To(Equal("node.json"))
			g.Expect(faults[0].Field).To(Equal(c.field))
			g.Expect(faults[0].Value).To(Equal(c.value))
			g.Expect(faults[0].Remedy).NotTo(BeEmpty())
		})
	}
	g := NewWithT(t)
	_, err := settings.Parse("node.json", []byte(`{}`))
	var faults settings.Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	g.Expect(len(faults)).To(BeNumerically(">=", 10))
	_, err = settings.Parse("node.json", []byte(valid+"{}"))
	g.Expect(err).To(HaveOccurred())
}
