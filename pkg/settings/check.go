package settings

import (
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the durations. The time limit of a route may not exceed max_deadline_ms. A controller's record of an
// identity must outlive the first attempt, its deadline and the next attempt, so the retention is at least
// minRetentionDeadlines times the longest deadline.
const (
	minMaxDeadline        = 100 * time.Millisecond
	maxMaxDeadline        = time.Minute
	minRetentionDeadlines = 2
	maxRetention          = 24 * time.Hour
	maxDrainNotice        = 30 * time.Second
)

// validate adds a fault for each value that is missing or not valid.
func (d *decoder) validate(s *Settings) {
	d.validateRequired("vm", s.VM)
	d.validateRequired("upstream", s.Upstream)
	d.validateRequired("data_centre", s.DataCentre)
	d.validateAddresses(s)
	if len(s.PlatformAddresses) == 0 {
		d.addFault("platform_addresses", "[]", "give at least one base URL of the platform's configuration service")
	}
	for _, a := range s.PlatformAddresses {
		d.validateBaseURL("platform_addresses", a)
	}
	for _, a := range s.SeedControlAddresses {
		d.validateAddress("seed_control_addresses", a)
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		d.addFault("log_level", strconv.Quote(s.LogLevel), "give debug, info, warning or error")
	}
	d.validateRange("max_deadline_ms", s.MaxDeadline, minMaxDeadline, maxMaxDeadline)
	d.validateRange("identity_retention_ms", s.IdentityRetention, minRetentionDeadlines*s.MaxDeadline, maxRetention)
	d.validateRange("drain_notice_ms", s.DrainNotice, 0, maxDrainNotice)
}

func (d *decoder) validateAddresses(s *Settings) {
	listeners := []struct{ name, value string }{
		{"caller_address", s.CallerAddress},
		{"local_address", s.LocalAddress},
		{"peer_address", s.PeerAddress},
		{"control_address", s.ControlAddress},
		{"operator_address", s.OperatorAddress},
	}
	fieldByAddress := map[string]string{}
	for _, l := range listeners {
		d.validateAddress(l.name, l.value)
		if other, taken := fieldByAddress[l.value]; taken && l.value != "" {
			d.addFault(l.name, strconv.Quote(l.value), "give a port of its own; "+other+" uses the same address")
		}
		fieldByAddress[l.value] = l.name
	}
	d.validateAddress("upstream_address", s.UpstreamAddress)
}

func (d *decoder) validateRequired(name, value string) {
	if value == "" {
		d.addFault(name, `""`, "give the name under which it is declared")
	}
}

func (d *decoder) validateAddress(name, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		d.addFault(name, strconv.Quote(value), "give an IP address and a port, for example 127.0.0.1:8080")
	}
}

func (d *decoder) validateBaseURL(name, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		d.addFault(name, strconv.Quote(value), "give a base URL, for example http://127.0.0.1:8500")
	}
}

func (d *decoder) validateRange(name string, value, lowest, highest time.Duration) {
	if value < lowest || value > highest {
		formatMS := func(v time.Duration) string { return strconv.FormatInt(v.Milliseconds(), 10) }
		d.addFault(name, formatMS(value), "give a number of milliseconds between "+formatMS(lowest)+" and "+formatMS(highest))
	}
}
