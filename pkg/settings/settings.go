// Package settings reads and validates the settings file of a node.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of the optional settings.
const (
	// DefaultIdentityRetention is how long a controller remembers the identities of the calls that it ran.
	DefaultIdentityRetention = 15 * time.Minute
	// DefaultMaxDeadline bounds the time limit of a call. A restarted controller waits this long before it issues an
	// epoch.
	DefaultMaxDeadline = 5 * time.Second
	// DefaultDrainNotice is how long a stopping node reports the state "leaving" before it closes its listeners.
	DefaultDrainNotice = 2 * time.Second
	// DefaultLogLevel is the lowest level that is logged.
	DefaultLogLevel = "info"
)

// Settings are the start parameters of one node. Addresses are "IP:port".
type Settings struct {
	VM         string
	Upstream   string
	DataCentre string

	CallerAddress   string
	LocalAddress    string
	PeerAddress     string
	ControlAddress  string
	OperatorAddress string
	UpstreamAddress string

	// PlatformAddresses are base URLs of the platform's configuration service.
	PlatformAddresses []string
	// DialAddress is the source IP of outgoing connections; the zero value lets the system choose.
	DialAddress netip.Addr
	// VersionFloor is the lowest configuration version that the node adopts.
	VersionFloor uint64
	// SeedControlAddresses are the control addresses of nodes from which the configuration is requested while no member
	// list is known, for example because the platform is down.
	SeedControlAddresses []string

	IdentityRetention time.Duration
	MaxDeadline       time.Duration
	DrainNotice       time.Duration
	LogLevel          string
}

// Load reads the settings file at path. If the file can be read but is not valid, the error is of type Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings file %q is not readable; name an existing file with --settings", path)
	}
	return Parse(path, data)
}

// Parse reads settings from data. The returned Faults name file as the origin of data.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{
		IdentityRetention: DefaultIdentityRetention,
		MaxDeadline:       DefaultMaxDeadline,
		DrainNotice:       DefaultDrainNotice,
		LogLevel:          DefaultLogLevel,
	}
	d := decoder{file: file}
	d.decode(data, s)
	if len(d.faults) == 0 {
		d.validate(s)
	}
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	return s, nil
}
