package classifier

import (
	"net"
	"strings"

	"github.com/pkg/errors"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/snapshot"
)

// ErrNoClass is returned for a request that no class matches.
var ErrNoClass = errors.New("no class matches the request")

const (
	anyHost   = ""
	anyMethod = ""
)

// match is what a class claims.
type match struct {
	host   string
	method string
	prefix string
}

type target struct {
	class class.Class
	team  string
}

// Classifier finds the class of a request among those of one snapshot; it never changes.
type Classifier struct {
	targets   map[match]target
	maxPrefix int
}

// New returns a classifier for the classes of a snapshot that has been validated.
func New(snap snapshot.Snapshot) *Classifier {
	c := &Classifier{targets: map[match]target{}}
	for _, doc := range snap.Documents {
		for _, one := range doc.Classes {
			c.add(target{class: one, team: doc.Team})
		}
	}
	return c
}

func (c *Classifier) add(t target) {
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
			c.targets[match{host: host, method: method, prefix: t.class.PathPrefix}] = t
		}
	}
}

// Classify returns the class and its team for a method, a Host header and an
// escaped path without query; the longest prefix of whole segments wins, and
// at equal length a class that names the host. It returns ErrBadPath for an
// ambiguous path and ErrNoClass if nothing matches.
func (c *Classifier) Classify(method, host, path string) (class.Class, string, error) {
	plain, err := plainPath(path)
	if err != nil {
		return class.Class{}, "", err
	}
	name, err := plainHost(host)
	if err != nil {
		return class.Class{}, "", err
	}
	found, ok := c.longest(method, name, plain)
	if !ok {
		return class.Class{}, "", errors.Wrapf(ErrNoClass, "%.20s at host %.80q", method, name)
	}
	return found.class, found.team, nil
}

// longest looks the prefixes of the path up, from the longest on.
//
// A prefix that ends with a slash matches what lies below it, and not the
// segment itself.
func (c *Classifier) longest(method, host, path string) (target, bool) {
	for prefix, below := c.start(path), ""; ; prefix, below = parent(prefix), "/" {
		if below != "" && prefix != "/" {
			if found, ok := c.at(method, host, prefix+below); ok {
				return found, true
			}
		}
		if found, ok := c.at(method, host, prefix); ok {
			return found, true
		}
		if prefix == "/" {
			return target{}, false
		}
	}
}

// at returns what claims exactly the prefix; a class that names the host or the method goes first.
func (c *Classifier) at(method, host, prefix string) (target, bool) {
	for _, h := range [...]string{host, anyHost} {
		for _, m := range [...]string{method, anyMethod} {
			if found, ok := c.targets[match{host: h, method: m, prefix: prefix}]; ok {
				return found, true
			}
		}
	}
	return target{}, false
}

// start returns the longest prefix of the path that any class could have.
func (c *Classifier) start(path string) string {
	if len(path) <= c.maxPrefix {
		return path
	}
	cut := strings.LastIndexByte(path[:c.maxPrefix+1], '/')
	return path[:cut+1]
}

// parent returns the prefix without its last segment or its last slash.
func parent(prefix string) string {
	return prefix[:max(strings.LastIndexByte(prefix, '/'), 1)]
}

// plainHost returns the host name in lower case, without port and last dot.
func plainHost(host string) (string, error) {
	name := host
	if strings.Contains(host, ":") {
		split, _, err := net.SplitHostPort(host)
		if err == nil {
			name = split
		}
	}
	name = strings.TrimSuffix(strings.ToLower(name), ".")
	if strings.ContainsFunc(name, isNotHost) {
		return "", errors.Wrapf(ErrNoClass, "host %.80q is not a host name", host)
	}
	return name, nil
}

func isNotHost(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune(".-_:[]", r)
}
