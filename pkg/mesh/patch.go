package mesh

import "strings"

// segmentEnd ends a segment of a value. The large values are JSON objects in lists, of which a change touches a few.
const segmentEnd = "},"

// PatchStep is a step of a patch: a run of segments of the old value, and then a text. A general patch codec needs several
// megabytes for its tables, which is most of a node's memory.
type PatchStep struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"n,omitempty"`
	Text  string `json:"t,omitempty"`
}

func segments(value string) []string { return strings.SplitAfter(value, segmentEnd) }

// makePatch returns the steps that turn the old value into the next one.
func makePatch(old, next string) []PatchStep {
	at := map[string]int{}
	list := segments(old)
	for i := len(list) - 1; i >= 0; i-- {
		at[list[i]] = i
	}
	var patch []PatchStep
	for _, s := range segments(next) {
		last := len(patch) - 1
		if last >= 0 && patch[last].Text == "" {
			if i := patch[last].From + patch[last].Count; i < len(list) && list[i] == s {
				patch[last].Count++
				continue
			}
		}
		if i, known := at[s]; known {
			patch = append(patch, PatchStep{From: i, Count: 1})
			continue
		}
		if last < 0 {
			patch = append(patch, PatchStep{})
			last = 0
		}
		patch[last].Text += s
	}
	return patch
}

// applyPatch returns the next value; ok is false when the patch does not fit the old value.
func applyPatch(old string, patch []PatchStep) (next string, ok bool) {
	list := segments(old)
	var b strings.Builder
	for _, c := range patch {
		if c.From < 0 || c.Count < 0 || c.From+c.Count > len(list) {
			return "", false
		}
		for _, s := range list[c.From : c.From+c.Count] {
			b.WriteString(s)
		}
		b.WriteString(c.Text)
	}
	return b.String(), true
}

// patchSize returns about the number of bytes of a patch.
func patchSize(patch []PatchStep) int {
	const step = 16
	size := 0
	for _, c := range patch {
		size += step + len(c.Text)
	}
	return size
}
