// Package slopes measures how the state, the messages and the processor time of a node grow with the fleet, and fits a
// line to each measure. docs/CAPACITY.md is computed from its output.
package slopes

import (
	"encoding/json"
	"io"
	"sort"
)

// Point is the value of one measure at one size, such as a number of nodes.
type Point struct {
	Kind    string  `json:"kind"`
	Measure string  `json:"measure"`
	Unit    string  `json:"unit"`
	Size    float64 `json:"size"`
	Value   float64 `json:"value"`
}

// Slope is the least-squares line through the points of one measure: Intercept + PerUnit × size.
type Slope struct {
	Kind      string  `json:"kind"`
	Measure   string  `json:"measure"`
	Unit      string  `json:"unit"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	// R2 is the coefficient of determination, the share of the variance that the line explains; 1 if all values are
	// equal.
	R2    float64   `json:"r2"`
	Sizes []float64 `json:"sizes"`
}

// Recorder writes each point as a line of JSON when it is measured, and keeps the points to fit slopes.
type Recorder struct {
	encoder *json.Encoder
	points  map[string][]Point
}

// NewRecorder returns a recorder that writes to w.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{encoder: json.NewEncoder(w), points: map[string][]Point{}}
}

// Add records the value of a measure at a size. It returns the error of the writer.
func (r *Recorder) Add(measure, unit string, size, value float64) error {
	p := Point{Kind: "point", Measure: measure, Unit: unit, Size: size, Value: value}
	r.points[measure] = append(r.points[measure], p)
	return r.encoder.Encode(p)
}

// addAll records the values of several measures at one size.
func (r *Recorder) addAll(size float64, measurements []measurement) error {
	for _, m := range measurements {
		if err := r.Add(m.name, m.unit, size, m.value); err != nil {
			return err
		}
	}
	return nil
}

// measurement is the value of one measure.
type measurement struct {
	name, unit string
	value      float64
}

// WriteSlopes fits and writes a slope for each measure with points at two or more sizes, in the order of their names.
func (r *Recorder) WriteSlopes() error {
	names := make([]string, 0, len(r.points))
	for name := range r.points {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s, ok := FitLine(r.points[name])
		if !ok {
			continue
		}
		if err := r.encoder.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

// FitLine returns the least-squares line through points of one measure; ok is false with fewer than two different
// sizes.
func FitLine(points []Point) (s Slope, ok bool) {
	if len(points) == 0 {
		return s, false
	}
	s = Slope{Kind: "slope", Measure: points[0].Measure, Unit: points[0].Unit}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		s.Sizes = append(s.Sizes, p.Size)
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.Size-meanX, p.Value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return s, false
	}
	s.PerUnit = xy / xx
	s.Intercept = meanY - s.PerUnit*meanX
	s.R2 = 1
	if yy > 0 {
		s.R2 = xy * xy / (xx * yy)
	}
	return s, true
}
