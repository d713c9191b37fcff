package operatorcli

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"

	"github.com/bamboodeal/bamboodeal/api/operator"
)

// maxConcurrentQueries bounds the number of nodes that are queried at the same time, and thereby the number of
// connections that are open in a large mesh.
const maxConcurrentQueries = 32

// nodeAddresses returns the addresses that are given with --nodes.
func (s *session) nodeAddresses() ([]string, error) {
	if err := requireFlag("nodes", s.nodes); err != nil {
		return nil, err
	}
	var addresses []string
	for _, address := range strings.Split(s.nodes, ",") {
		address = strings.TrimSpace(address)
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, eris.Wrapf(errUsage, "%q is not of the form host:port", address)
		}
		addresses = append(addresses, address)
	}
	if s.timeoutMS == 0 || s.timeoutMS > 60_000 {
		return nil, eris.Wrap(errUsage, "give --timeout-ms between 1 and 60000")
	}
	return addresses, nil
}

// nodeAnswer is the answer of one node, or the error with which the query failed.
type nodeAnswer[T any] struct {
	address string
	value   T
	err     error
}

// queryNodes calls query for each node, for a bounded number of nodes at the same time, and returns the answers in the
// order of the addresses.
func queryNodes[T any](s *session, addresses []string, query func(*operator.Client, string) (T, error)) []nodeAnswer[T] {
	client := operator.NewClient(time.Duration(s.timeoutMS) * time.Millisecond)
	mapper := iter.Mapper[string, nodeAnswer[T]]{MaxGoroutines: maxConcurrentQueries}
	return mapper.Map(addresses, func(address *string) nodeAnswer[T] {
		value, err := query(client, *address)
		return nodeAnswer[T]{*address, value, err}
	})
}

// printJSON prints a report as indented JSON.
func (s *session) printJSON(report any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(report), "the report cannot be printed; check the standard output")
}
