package demo

import (
	"fmt"
	"os"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Ports of a VM. Each VM has its own loopback address, so that all VMs use the same ports. The link ports are those
// of the stand-in links that forward to the control, peer and caller ports.
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

// vm is a simulated VM with an upstream and the node beside it.
type vm struct {
	name     string
	ip       string
	upstream config.Upstream
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// loopbackNetwork returns the second octet of the loopback addresses. It depends on the process ID, so that two demos
// that run at the same time use different addresses.
func loopbackNetwork() int { return 64 + os.Getpid()%128 }

func platformAddress(network int) string {
	return fmt.Sprintf("127.%d.255.1:%d", network, platformPort)
}

func baselineAddress(network int) string {
	return fmt.Sprintf("127.%d.255.2:%d", network, upstreamPort)
}

// layoutVMs returns one VM for each upstream, with its name and address.
func layoutVMs(o config.Objects, network int) []*vm {
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

// linkLatency is the one-way delay that the links of the demo add.
type linkLatency struct {
	betweenDataCentres time.Duration
	toClients          time.Duration
}

// One-way latencies of the deployments, from section 1.3 of docs/design.md.
const (
	estanhoBetweenDataCentres   = time.Millisecond
	estanhoToClients            = time.Millisecond
	mantaleveBetweenDataCentres = 1500 * time.Microsecond
	mantaleveToClients          = 3 * time.Millisecond
)

var deploymentLatencies = map[string]linkLatency{
	"estanho":   {betweenDataCentres: estanhoBetweenDataCentres, toClients: estanhoToClients},
	"mantaleve": {betweenDataCentres: mantaleveBetweenDataCentres, toClients: mantaleveToClients},
}

// delayBySource returns a function that gives the delay of a link to the VM by the IP address of the source: zero
// within a data centre.
func (l linkLatency) delayBySource(to *vm, all []*vm) func(source string) time.Duration {
	delays := make(map[string]time.Duration, len(all))
	for _, from := range all {
		if from.upstream.DataCentre != to.upstream.DataCentre {
			delays[from.ip] = l.betweenDataCentres
		}
	}
	return func(source string) time.Duration { return delays[source] }
}

// nodeSettings is the content of the settings file of a node.
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

// seedsPerNode is the number of other nodes that a node knows from its settings, without the member list of the
// platform.
const seedsPerNode = 3

func newNodeSettings(v *vm, all []*vm, platformURL string, maxDeadline, retention time.Duration) nodeSettings {
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
