package change

// Change says that an item has a new value or is gone.
type Change[T any] struct {
	Name string `json:"name"`
	// Removed says that the item is gone, or that its new value names nothing to use.
	Removed bool `json:"removed,omitempty"`
	// Value is the item's new value, the zero value when it is removed.
	Value T `json:"value"`
}
