package classifier

import (
	"net"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"poplarhook.example/lib/authenticator"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/workspace"
)

// ErrNoClass is returned for a request that no class matches.
var ErrNoClass = errors.New("no class matches the request")

const (
	anyHost   = ""
	anyMethod = ""
)

// matchKey is one combination of host, method and path prefix that a class matches.
type matchKey struct {
	host   string
	method string
	prefix string
}

type ownedClass struct {
	class class.Class
	team  string
}

// Classifier finds the class of a request and the workspace of its key in one snapshot; it is immutable.
type Classifier struct {
	keys      *authenticator.Authenticator
	classes   map[matchKey]*ownedClass
	maxPrefix int
	// snapshot is the one for which the Classifier was built.
	snapshot snapshot.Snapshot
}

// New returns a classifier for the classes of a snapshot, which must have been validated.
func New(snap snapshot.Snapshot) *Classifier {
	c := &Classifier{keys: authenticator.New(snap), snapshot: snap}
	c.addClasses()
	return c
}

// WithSnapshot returns a classifier for a later snapshot. It shares the keys if the workspaces are equal, and the classes
// if both snapshots hold the same list of documents in memory.
func (c *Classifier) WithSnapshot(snap snapshot.Snapshot) *Classifier {
	next := &Classifier{keys: c.keys, classes: c.classes, maxPrefix: c.maxPrefix, snapshot: snap}
	if c.snapshot.HasWorkspaces != snap.HasWorkspaces || !reflect.DeepEqual(c.snapshot.Workspaces, snap.Workspaces) {
		next.keys = authenticator.New(snap)
	}
	if !isSameList(c.snapshot.Documents, snap.Documents) {
		next.addClasses()
	}
	return next
}

// isSameList reports whether both lists are the same one in memory. Comparing their classes would take longer than
// adding them.
func isSameList(a, b []document.Document) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// addClasses adds the classes of the snapshot to an empty index.
func (c *Classifier) addClasses() {
	count := 0
	for _, doc := range c.snapshot.Documents {
		count += len(doc.Classes)
	}
	c.classes, c.maxPrefix = make(map[matchKey]*ownedClass, count), 0
	owned := make([]ownedClass, 0, count)
	for _, doc := range c.snapshot.Documents {
		for _, docClass := range doc.Classes {
			owned = append(owned, ownedClass{class: docClass, team: doc.Team})
			c.addClass(&owned[len(owned)-1])
		}
	}
}

func (c *Classifier) addClass(t *ownedClass) {
	c.maxPrefix = max(c.maxPrefix, len(t.class.PathPrefix))
	hosts := t.class.Hosts
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	methods := t.class.Methods
	if len(methods) == 0 {
		methods = []string{anyMethod}
	}
	for _, host := range hosts {
		for _, method := range methods {
			c.classes[matchKey{host: host, method: method, prefix: t.class.PathPrefix}] = t
		}
	}
}

// Classify returns the class of a request and its team. The host is the Host header; the path is escaped and has no
// query. The class with the longest prefix of whole segments is chosen, and at equal length one that names the host.
// Classify returns ErrBadPath for an ambiguous path and ErrNoClass if no class matches.
func (c *Classifier) Classify(method, host, path string) (class.Class, string, error) {
	decoded, err := decodePath(path)
	if err != nil {
		return class.Class{}, "", err
	}
	name, err := normalizeHost(host)
	if err != nil {
		return class.Class{}, "", err
	}
	found, ok := c.findLongest(method, name, decoded)
	if !ok {
		return class.Class{}, "", errors.Wrapf(ErrNoClass, "%.20s at host %.80q", method, name)
	}
	return found.class, found.team, nil
}

// HasWorkspaces reports whether requests need a key.
func (c *Classifier) HasWorkspaces() bool {
	return c.keys.HasWorkspaces()
}

// Authenticate returns the workspace that holds the key; its errors are those of the package authenticator.
func (c *Classifier) Authenticate(key string) (workspace.Workspace, error) {
	return c.keys.Authenticate(key)
}

// findLongest returns the class with the longest matching prefix of the path.
//
// A prefix that ends with a slash matches the paths below its last segment, but not the path that ends with that
// segment.
func (c *Classifier) findLongest(method, host, path string) (*ownedClass, bool) {
	for prefix, suffix := c.longestCandidate(path), ""; ; prefix, suffix = cutLastSegment(prefix), "/" {
		if suffix != "" && prefix != "/" {
			if found, ok := c.findExact(method, host, prefix+suffix); ok {
				return found, true
			}
		}
		if found, ok := c.findExact(method, host, prefix); ok {
			return found, true
		}
		if prefix == "/" {
			return nil, false
		}
	}
}

// findExact returns the class with exactly this prefix. A class that names the host is preferred, then one that names
// the method.
func (c *Classifier) findExact(method, host, prefix string) (*ownedClass, bool) {
	for _, h := range [...]string{host, anyHost} {
		for _, m := range [...]string{method, anyMethod} {
			if found, ok := c.classes[matchKey{host: h, method: m, prefix: prefix}]; ok {
				return found, true
			}
		}
	}
	return nil, false
}

// longestCandidate returns the longest prefix of the path that the prefix of any class could equal.
func (c *Classifier) longestCandidate(path string) string {
	if len(path) <= c.maxPrefix {
		return path
	}
	cut := strings.LastIndexByte(path[:c.maxPrefix+1], '/')
	return path[:cut+1]
}

// cutLastSegment returns the prefix without its last segment or without its trailing slash.
func cutLastSegment(prefix string) string {
	return prefix[:max(strings.LastIndexByte(prefix, '/'), 1)]
}

// normalizeHost returns the host name in lower case, without the port and a trailing dot.
func normalizeHost(host string) (string, error) {
	name := host
	if strings.Contains(host, ":") {
		split, _, err := net.SplitHostPort(host)
		if err == nil {
			name = split
		}
	}
	name = strings.TrimSuffix(strings.ToLower(name), ".")
	if strings.ContainsFunc(name, isInvalidHostRune) {
		return "", errors.Wrapf(ErrNoClass, "host %.80q is not a host name", host)
	}
	return name, nil
}

func isInvalidHostRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune(".-_:[]", r)
}
