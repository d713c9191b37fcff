package demo

import (
	"fmt"
	"os"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Ports of a VM. Each VM has a loopback address of its own, so all VMs use the same ports.
const (
	callerPort = 7101 + iota
	localPort
	peerPort
	controlPort
	operatorPort
	upstreamPort
	controlLinkPort
	peerLinkPort
	callerLinkPort
	platformPort
)

// vm is one VM: an upstream and the node beside it.
type vm struct {
	name     string
	ip       string
	upstream config.Upstream
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// network chooses the second octet of the loopback addresses by process, so that two demos do not meet.
func network() int { return 64 + os.Getpid()%128 }

func platformAddress(network int) string {
	return fmt.Sprintf("127.%d.255.1:%d", network, platformPort)
}

func baselineAddress(network int) string {
	return fmt.Sprintf("127.%d.255.2:%d", network, upstreamPort)
}

// layout gives each upstream a VM.
func layout(o config.Objects, network int) []*vm {
	vms := make([]*vm, 0, len(o.Upstreams))
	for i, u := range o.Upstreams {
		vms = append(vms, &vm{
			name:     fmt.Sprintf("vm-%s", u.Name),
			ip:       fmt.Sprintf("127.%d.%d.%d", network, 1+i/200, 1+i%200),
			upstream: u,
		})
	}
	return vms
}

// latency is what the links of the demo add one way.
type latency struct {
	betweenDataCentres time.Duration
	toClients          time.Duration
}

// One-way latencies of the deployments, from section 1.3 of the design.
const (
	estanhoBetween     = time.Millisecond
	estanhoToClients   = time.Millisecond
	mantaleveBetween   = 1500 * time.Microsecond
	mantaleveToClients = 3 * time.Millisecond
)

var latencies = map[string]latency{
	"estanho":   {betweenDataCentres: estanhoBetween, toClients: estanhoToClients},
	"mantaleve": {betweenDataCentres: mantaleveBetween, toClients: mantaleveToClients},
}

// between returns the delay of a link to the VM by the source's IP: none within a data centre.
func (l latency) between(to *vm, all []*vm) func(source string) time.Duration {
	delays := make(map[string]time.Duration, len(all))
	for _, from := range all {
		if from.upstream.DataCentre != to.upstream.DataCentre {
			delays[from.ip] = l.betweenDataCentres
		}
	}
	return func(source string) time.Duration { return delays[source] }
}

// nodeSettings is the settings file of a node.
type nodeSettings struct {
	VM                   string   `json:"vm"`
	Upstream             string   `json:"upstream"`
	DataCentre           string   `json:"data_centre"`
	CallerAddress        string   `json:"caller_address"`
	LocalAddress         string   `json:"local_address"`
	PeerAddress          string   `json:"peer_address"`
	ControlAddress       string   `json:"control_address"`
	OperatorAddress      string   `json:"operator_address"`
	UpstreamAddress      string   `json:"upstream_address"`
	PlatformAddresses    []string `json:"platform_addresses"`
	DialAddress          string   `json:"dial_address"`
	SeedControlAddresses []string `json:"seed_control_addresses"`
	IdentityRetentionMS  int64    `json:"identity_retention_ms"`
	MaxDeadlineMS        int64    `json:"max_deadline_ms"`
	LogLevel             string   `json:"log_level"`
}

// seedsPerNode is the number of other nodes that a node knows without the platform's list.
const seedsPerNode = 3

func settingsFor(v *vm, all []*vm, platformURL string, maxDeadline, retention time.Duration) nodeSettings {
	s := nodeSettings{
		VM: v.name, Upstream: v.upstream.Name, DataCentre: v.upstream.DataCentre,
		CallerAddress:       v.address(callerPort),
		LocalAddress:        v.address(localPort),
		PeerAddress:         v.address(peerPort),
		ControlAddress:      v.address(controlPort),
		OperatorAddress:     v.address(operatorPort),
		UpstreamAddress:     v.address(upstreamPort),
		PlatformAddresses:   []string{platformURL},
		DialAddress:         v.ip,
		IdentityRetentionMS: retention.Milliseconds(),
		MaxDeadlineMS:       maxDeadline.Milliseconds(),
		LogLevel:            "info",
	}
	for _, other := range all {
		if other != v && len(s.SeedControlAddresses) < seedsPerNode {
			s.SeedControlAddresses = append(s.SeedControlAddresses, other.address(controlLinkPort))
		}
	}
	return s
}
