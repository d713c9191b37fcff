package admission

// heapItem is an element that stores its own index in the heap, so that it can be moved or removed in O(log n).
type heapItem interface {
	comparable
	heapIndex() *int
}

// indexedHeap is a binary heap of elements ordered by less. The index of an element that is not in the heap is -1.
type indexedHeap[T heapItem] struct {
	items []T
	less  func(a, b T) bool
}

func (h *indexedHeap[T]) push(x T) {
	*x.heapIndex() = len(h.items)
	h.items = append(h.items, x)
	h.up(len(h.items) - 1)
}

// top returns the least element; ok is false if the heap is empty.
func (h *indexedHeap[T]) top() (x T, ok bool) {
	if len(h.items) == 0 {
		return x, false
	}
	return h.items[0], true
}

func (h *indexedHeap[T]) remove(x T) {
	i, last := *x.heapIndex(), len(h.items)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*x.heapIndex() = -1
	if i < last {
		h.fix(h.items[i])
	}
}

// fix restores the heap order after the sort key of x has changed.
func (h *indexedHeap[T]) fix(x T) {
	h.up(*x.heapIndex())
	h.down(*x.heapIndex())
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.items) && h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}
