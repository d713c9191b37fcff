package mesh

import "strings"

// segmentEnd ends a segment of a value. Large values consist of JSON objects in lists, and a change usually affects
// only a few of these objects.
const segmentEnd = "},"

// maxPatchedBytes bounds the value that a patch produces: no message between nodes carries a larger one.
const maxPatchedBytes = 8 << 20

// PatchStep is one step of a patch: it copies Count segments of the old value, starting with the segment of index From,
// and then appends Text. A general patch codec would need several megabytes for its tables, which is most of a node's
// memory.
type PatchStep struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"n,omitempty"`
	Text  string `json:"t,omitempty"`
}

func splitSegments(value string) []string { return strings.SplitAfter(value, segmentEnd) }

// makePatch returns the steps that produce the next value from the old one. The texts are slices of the next value:
// appending segment by segment would copy a text as often as it has segments, up to megabytes in total.
func makePatch(old, next string) []PatchStep {
	indexes := map[string]int{}
	oldSegments := splitSegments(old)
	for i := len(oldSegments) - 1; i >= 0; i-- {
		indexes[oldSegments[i]] = i
	}
	var patch []PatchStep
	end := 0
	for _, s := range splitSegments(next) {
		start := end
		end += len(s)
		last := len(patch) - 1
		if last >= 0 && patch[last].Text == "" {
			if i := patch[last].From + patch[last].Count; i < len(oldSegments) && oldSegments[i] == s {
				patch[last].Count++
				continue
			}
		}
		if i, known := indexes[s]; known {
			patch = append(patch, PatchStep{From: i, Count: 1})
			continue
		}
		if last < 0 {
			patch = append(patch, PatchStep{})
			last = 0
		}
		patch[last].Text = next[start-len(patch[last].Text) : end]
	}
	return patch
}

// applyPatch returns the next value; ok is false if the patch refers to segments that the old value does not have, or produces more
// than maxPatchedBytes.
func applyPatch(old string, patch []PatchStep) (next string, ok bool) {
	oldSegments := splitSegments(old)
	var b strings.Builder
	for _, step := range patch {
		// The sum of the two numbers may overflow.
		if step.From < 0 || step.Count < 0 || step.From > len(oldSegments) || step.Count > len(oldSegments)-step.From {
			return "", false
		}
		for _, s := range oldSegments[step.From : step.From+step.Count] {
			if b.Len()+len(s) > maxPatchedBytes {
				return "", false
			}
			b.WriteString(s)
		}
		if b.Len()+len(step.Text) > maxPatchedBytes {
			return "", false
		}
		b.WriteString(step.Text)
	}
	return b.String(), true
}

// patchSize returns the approximate size of an encoded patch in bytes.
func patchSize(patch []PatchStep) int {
	const stepSize = 16
	size := 0
	for _, step := range patch {
		size += stepSize + len(step.Text)
	}
	return size
}
