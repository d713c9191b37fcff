package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"sort"
	"time"
)

// maxFaultValueLength bounds the length in bytes of a value that a fault quotes.
const maxFaultValueLength = 80

// decoder reads settings and collects their faults.
type decoder struct {
	file   string
	faults Faults
}

func (d *decoder) addFault(field, value, remedy string) {
	if len(value) > maxFaultValueLength {
		value = value[:maxFaultValueLength] + "..."
	}
	d.faults = append(d.faults, Fault{File: d.file, Field: field, Value: value, Remedy: remedy})
}

// fieldDecoder decodes the value of one setting. remedy says what a valid value looks like.
type fieldDecoder struct {
	remedy string
	decode func(json.RawMessage) error
}

func stringField(target *string) fieldDecoder {
	return fieldDecoder{"give a string", func(raw json.RawMessage) error { return json.Unmarshal(raw, target) }}
}

func stringListField(target *[]string) fieldDecoder {
	return fieldDecoder{"give a list of strings", func(raw json.RawMessage) error { return json.Unmarshal(raw, target) }}
}

func uintField(target *uint64) fieldDecoder {
	return fieldDecoder{"give a whole number of 0 or more", func(raw json.RawMessage) error { return json.Unmarshal(raw, target) }}
}

func millisecondsField(target *time.Duration) fieldDecoder {
	return fieldDecoder{"give a whole number of milliseconds", func(raw json.RawMessage) error {
		var ms int64
		if err := json.Unmarshal(raw, &ms); err != nil {
			return err
		}
		*target = time.Duration(ms) * time.Millisecond
		return nil
	}}
}

func ipField(target *netip.Addr) fieldDecoder {
	return fieldDecoder{"give an IP address without a port", func(raw json.RawMessage) error {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return err
		}
		addr, err := netip.ParseAddr(s)
		*target = addr
		return err
	}}
}

// fieldDecoders returns the decoders of all settings by the name of the JSON field.
func fieldDecoders(s *Settings) map[string]fieldDecoder {
	return map[string]fieldDecoder{
		"vm":                     stringField(&s.VM),
		"upstream":               stringField(&s.Upstream),
		"data_centre":            stringField(&s.DataCentre),
		"caller_address":         stringField(&s.CallerAddress),
		"local_address":          stringField(&s.LocalAddress),
		"peer_address":           stringField(&s.PeerAddress),
		"control_address":        stringField(&s.ControlAddress),
		"operator_address":       stringField(&s.OperatorAddress),
		"upstream_address":       stringField(&s.UpstreamAddress),
		"platform_addresses":     stringListField(&s.PlatformAddresses),
		"dial_address":           ipField(&s.DialAddress),
		"version_floor":          uintField(&s.VersionFloor),
		"seed_control_addresses": stringListField(&s.SeedControlAddresses),
		"identity_retention_ms":  millisecondsField(&s.IdentityRetention),
		"max_deadline_ms":        millisecondsField(&s.MaxDeadline),
		"drain_notice_ms":        millisecondsField(&s.DrainNotice),
		"log_level":              stringField(&s.LogLevel),
	}
}

// decode sets the fields of s from the JSON object in data.
func (d *decoder) decode(data []byte, s *Settings) {
	raw := map[string]json.RawMessage{}
	jsonDecoder := json.NewDecoder(bytes.NewReader(data))
	if err := jsonDecoder.Decode(&raw); err != nil {
		d.addFault("", "", "correct the JSON ("+err.Error()+")")
		return
	}
	if _, err := jsonDecoder.Token(); err != io.EOF {
		d.addFault("", "", "remove the text after the closing brace; the file holds one JSON object")
		return
	}
	decoders := fieldDecoders(s)
	names := make([]string, 0, len(raw))
	for name := range raw {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		f, ok := decoders[name]
		switch {
		case !ok:
			d.addFault(name, string(raw[name]), "remove the field or correct its name; no setting is called that")
		case string(raw[name]) == "null":
			d.addFault(name, "null", f.remedy)
		default:
			if err := f.decode(raw[name]); err != nil {
				d.addFault(name, string(raw[name]), f.remedy)
			}
		}
	}
}
