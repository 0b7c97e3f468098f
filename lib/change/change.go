package change

// Change is a new value of an item or its removal.
type Change[T any] struct {
	Name string `json:"name"`
	// Removed is true if the item was deleted, or if its new value cannot be used.
	Removed bool `json:"removed,omitempty"`
	// Value is the item's new value; it is the zero value if Removed is true.
	Value T `json:"value"`
}
