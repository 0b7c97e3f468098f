package object

// Object is one object of the store with the version that its last write gave it.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}
