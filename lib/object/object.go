package object

// Object is an object of the store with the version assigned by its last write.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}
