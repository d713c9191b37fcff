// Command measurements runs the comparisons in virtual time of docs/MEASUREMENTS.md for a deployment, and prints one
// flat JSON object for each row. Usage: measurements DIRECTORY, where DIRECTORY holds declared/*.json.
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// seeds is the number of runs of each row.
const seeds = 5

func main() {
	if err := measure(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measurements:", err)
		os.Exit(1)
	}
}

func measure(arguments []string) error {
	if len(arguments) != 1 {
		return fmt.Errorf("%d arguments; give one directory with declared/*.json", len(arguments))
	}
	set, err := load(arguments[0])
	if err != nil {
		return err
	}
	deployment := filepath.Base(arguments[0])
	rows := append(quotaRows(deployment, set), moveRows(deployment, set)...)
	rows = append(rows, overloadRows(deployment, set)...)
	encoder := json.NewEncoder(os.Stdout)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return err
		}
	}
	return nil
}

func load(directory string) (*config.Set, error) {
	names, err := filepath.Glob(filepath.Join(directory, "declared", "*.json"))
	if err != nil {
		return nil, err
	}
	files := make(map[string][]byte, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		files[filepath.Base(name)] = data
	}
	objects, faults := config.ParseAndValidate(files)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	if len(objects.Upstreams) == 0 || len(objects.Teams) == 0 {
		return nil, fmt.Errorf("%s declares no upstream or no team", directory)
	}
	return config.NewSet(objects), nil
}

// spread is the least and the greatest value over the seeds.
type spread struct{ least, greatest float64 }

func newSpread() spread { return spread{least: math.Inf(1), greatest: math.Inf(-1)} }

func (s *spread) add(v float64) {
	s.least = min(s.least, v)
	s.greatest = max(s.greatest, v)
}

// MarshalJSON writes "least to greatest", or one value when they are equal.
func (s spread) MarshalJSON() ([]byte, error) {
	least, greatest := fmt.Sprintf("%.2f", s.least), fmt.Sprintf("%.2f", s.greatest)
	if least == greatest {
		return json.Marshal(least)
	}
	return json.Marshal(least + " to " + greatest)
}
