package queue

// indexed is a binary heap whose items know their place, so that any of them can be moved or removed.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	// place returns where an item keeps its place, which is zero while it is not in the heap and
	// otherwise its index plus one.
	place func(T) *int
}

func (h *indexed[T]) has(x T) bool { return *h.place(x) > 0 }

// first returns the first item; ok is false if there is none.
func (h *indexed[T]) first() (x T, ok bool) {
	if len(h.items) == 0 {
		return x, false
	}
	return h.items[0], true
}

func (h *indexed[T]) push(x T) {
	h.items = append(h.items, x)
	*h.place(x) = len(h.items)
	h.up(len(h.items) - 1)
}

// fix restores the order after an item has changed. It ignores items that are not in the heap.
func (h *indexed[T]) fix(x T) {
	if i := *h.place(x) - 1; i >= 0 && !h.up(i) {
		h.down(i)
	}
}

// remove removes an item if it is in the heap.
func (h *indexed[T]) remove(x T) {
	i := *h.place(x) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.place(x) = 0
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *indexed[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i+1, j+1
}

// up moves an item towards the front and reports whether it moved.
func (h *indexed[T]) up(i int) bool {
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i = parent
	}
	return i != start
}

func (h *indexed[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
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
