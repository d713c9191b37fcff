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

// ErrInvalidFigures means that the input is not a sequence of flat JSON objects with the key "figure".
var ErrInvalidFigures = errors.New("the figures cannot be read; give the lines that scripts/measure.sh writes")

const (
	// figureKey is the key whose value names the table that an object belongs to.
	figureKey = "figure"
	// seedKey is the key whose value identifies the run that an object comes from.
	seedKey = "seed"
	// listedTextPrefix starts the keys whose texts are listed in one cell. All other texts distinguish rows.
	listedTextPrefix = "worst_team"
	// headerLines is the number of lines of a table above its rows.
	headerLines = 4
)

// row holds the values of one or more runs by column.
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

// WriteTables reads flat JSON objects, one after the other, and writes one Markdown table for each value of their key
// "figure", in order of appearance. The columns are the other keys, in order of appearance. Objects that differ only
// in numbers become one row that shows the smallest and the largest number; "seed" becomes the number of runs. It
// returns ErrInvalidFigures for other input.
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

// readRow reads one JSON object. It reads tokens instead of a map, because a map does not keep the order of the keys.
func readRow(decoder *json.Decoder) (*row, error) {
	r := &row{values: map[string][]any{}, runs: 1}
	opening, err := decoder.Token()
	if err != nil || opening != json.Delim('{') {
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
	if _, hasFigure := r.values[figureKey]; err == nil && !hasFigure {
		err = ErrInvalidFigures
	}
	return r, err
}

// groupKey returns the texts that distinguish the row from others, as one string.
func (r *row) groupKey() string {
	var parts []string
	for _, key := range r.keys {
		if _, isNumber := r.values[key][0].(json.Number); !isNumber && !strings.HasPrefix(key, listedTextPrefix) {
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
	existing := t.byKey[next.groupKey()]
	if existing == nil {
		t.byKey[next.groupKey()] = next
		t.rows = append(t.rows, next)
		return
	}
	existing.runs++
	for key, values := range next.values {
		existing.values[key] = append(existing.values[key], values...)
	}
}

// cell returns the text of a cell: the only value, the smallest and the largest number, or the list of distinct texts.
func (r *row) cell(column string) string {
	values := r.values[column]
	if len(values) == 0 {
		return ""
	}
	if column == seedKey {
		return strconv.Itoa(r.runs)
	}
	smallest, largest := values[0], values[0]
	var texts []string
	for _, v := range values {
		if text := fmt.Sprint(v); !slices.Contains(texts, text) {
			texts = append(texts, text)
		}
		if asNumber(v) < asNumber(smallest) {
			smallest = v
		}
		if asNumber(v) > asNumber(largest) {
			largest = v
		}
	}
	if _, isNumber := values[0].(json.Number); isNumber && smallest != largest {
		return fmt.Sprint(smallest, " to ", largest)
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
	lines := make([]string, 0, len(t.rows)+headerLines)
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
