// Command measurements runs the simulations for the comparisons in docs/MEASUREMENTS.md, and prints one flat JSON
// object for each row. Usage: measurements DIRECTORY, where DIRECTORY contains the deployment's declared/*.json.
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// runsPerRow is the number of runs, each with another seed, from which a row is computed.
const runsPerRow = 5

func main() {
	if err := measure(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measurements:", err)
		os.Exit(1)
	}
}

// measure runs the simulations for the deployment and prints the rows.
func measure(arguments []string) error {
	if len(arguments) != 1 {
		return fmt.Errorf("got %d arguments; give one directory with declared/*.json", len(arguments))
	}
	set, err := loadDeclaredSet(arguments[0])
	if err != nil {
		return err
	}
	deployment := filepath.Base(arguments[0])
	rows := append(quotaRows(deployment, set), evacuationRows(deployment, set)...)
	rows = append(rows, overloadRows(deployment, set)...)
	encoder := json.NewEncoder(os.Stdout)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return err
		}
	}
	return nil
}

// loadDeclaredSet reads the declared objects of a deployment.
func loadDeclaredSet(directory string) (*config.Set, error) {
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
		return nil, fmt.Errorf("%s declares no upstream or no team; declare at least one of each", directory)
	}
	return config.NewSet(objects), nil
}

// valueRange holds the least and the greatest value over the runs.
type valueRange struct{ least, greatest float64 }

func newValueRange() valueRange { return valueRange{least: math.Inf(1), greatest: math.Inf(-1)} }

func (r *valueRange) add(v float64) {
	r.least = min(r.least, v)
	r.greatest = max(r.greatest, v)
}

// MarshalJSON writes "least to greatest", or one value when they are equal.
func (r valueRange) MarshalJSON() ([]byte, error) {
	least, greatest := fmt.Sprintf("%.2f", r.least), fmt.Sprintf("%.2f", r.greatest)
	if least == greatest {
		return json.Marshal(least)
	}
	return json.Marshal(least + " to " + greatest)
}
