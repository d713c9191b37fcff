package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// ErrInvalidFigures means that a line is no flat JSON object with a "figure".
var ErrInvalidFigures = errors.New("the figures cannot be read; give the lines that scripts/measure.sh writes")

// Keys with a meaning of their own: figureKey names the table that a line belongs to, seedKey the run.
const (
	figureKey = "figure"
	seedKey   = "seed"
	// listPrefix marks text that lists its values instead of telling rows apart.
	listPrefix = "worst_team"
	// headLines are the lines of a table above its rows.
	headLines = 4
)

// row holds the cells of one or more runs by column.
type row struct {
	keys   []string
	values map[string][]any
	runs   int
}

type table struct {
	name    string
	columns []string
	rows    []*row
	byKey   map[string]*row
}

// WriteTables reads flat JSON objects, one after the other, and writes one Markdown table for each value of their
// key "figure", in order of appearance. The columns are the other keys, in order of appearance. Lines that differ in
// numbers only become one row with the least and the greatest of each; "seed" becomes the number of runs.
func WriteTables(w io.Writer, r io.Reader) error {
	var tables []*table
	byName := map[string]*table{}
	decoder := json.NewDecoder(r)
	decoder.UseNumber()
	for decoder.More() {
		next, err := readRow(decoder)
		if err != nil {
			return err
		}
		name := fmt.Sprint(next.values[figureKey]...)
		t := byName[name]
		if t == nil {
			t = &table{name: name, byKey: map[string]*row{}}
			byName[name] = t
			tables = append(tables, t)
		}
		t.add(next)
	}
	for _, t := range tables {
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

// readRow keeps the order of the keys, which a map does not.
func readRow(decoder *json.Decoder) (*row, error) {
	r := &row{values: map[string][]any{}, runs: 1}
	open, err := decoder.Token()
	if err != nil || open != json.Delim('{') {
		return nil, errors.Join(ErrInvalidFigures, err)
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, errors.Join(ErrInvalidFigures, err)
		}
		value, err := decoder.Token()
		if _, nested := value.(json.Delim); err != nil || nested {
			return nil, errors.Join(ErrInvalidFigures, err)
		}
		r.keys = append(r.keys, fmt.Sprint(key))
		r.values[fmt.Sprint(key)] = []any{value}
	}
	_, err = decoder.Token()
	if _, named := r.values[figureKey]; err == nil && !named {
		err = ErrInvalidFigures
	}
	return r, err
}

// identity is the text that tells the row from others.
func (r *row) identity() string {
	var parts []string
	for _, key := range r.keys {
		if _, number := r.values[key][0].(json.Number); !number && !strings.HasPrefix(key, listPrefix) {
			parts = append(parts, key, fmt.Sprint(r.values[key]...))
		}
	}
	return strings.Join(parts, "\x00")
}

func (t *table) add(next *row) {
	for _, key := range next.keys {
		if key != figureKey && !slices.Contains(t.columns, key) {
			t.columns = append(t.columns, key)
		}
	}
	known := t.byKey[next.identity()]
	if known == nil {
		t.byKey[next.identity()] = next
		t.rows = append(t.rows, next)
		return
	}
	known.runs++
	for key, values := range next.values {
		known.values[key] = append(known.values[key], values...)
	}
}

// cell shows one value, the least and the greatest number, or the list of different texts.
func (r *row) cell(column string) string {
	values := r.values[column]
	if len(values) == 0 {
		return ""
	}
	if column == seedKey {
		return strconv.Itoa(r.runs)
	}
	least, greatest := values[0], values[0]
	var texts []string
	for _, v := range values {
		if text := fmt.Sprint(v); !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
		if asNumber(v) < asNumber(least) {
			least = v
		}
		if asNumber(v) > asNumber(greatest) {
			greatest = v
		}
	}
	if _, number := values[0].(json.Number); number && least != greatest {
		return fmt.Sprint(least, " to ", greatest)
	}
	return strings.Join(texts, ", ")
}

func asNumber(v any) float64 {
	number, _ := v.(json.Number)
	f, _ := number.Float64()
	return f
}

func (t *table) write(w io.Writer) error {
	titles := make([]string, len(t.columns))
	for i, column := range t.columns {
		titles[i] = strings.ReplaceAll(column, "_", " ")
		if column == seedKey {
			titles[i] = "runs"
		}
	}
	lines := make([]string, 0, len(t.rows)+headLines)
	lines = append(lines, "### "+t.name, "", "| "+strings.Join(titles, " | ")+" |",
		strings.Repeat("|---", len(titles))+"|")
	for _, r := range t.rows {
		cells := make([]string, len(t.columns))
		for i, column := range t.columns {
			cells[i] = r.cell(column)
		}
		lines = append(lines, "| "+strings.Join(cells, " | ")+" |")
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n\n")
	return err
}
