package validator

import (
	"fmt"
	"strings"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

const anyHost = ""

// matchKey is a combination of host, method and path prefix that a class matches. The host is anyHost if the class has
// no hosts.
type matchKey struct {
	host   string
	method string
	prefix string
}

// classRef names a class of a team.
type classRef struct {
	team  string
	class string
}

// checkDuplicates finds classes of one team that have the same match key.
func checkDuplicates(f *findings, doc document.Document) {
	classes := map[matchKey]string{}
	for i, c := range doc.Classes {
		for _, key := range newMatchKeys(c) {
			if other, found := classes[key]; found && other != c.Name {
				f.add(fmt.Sprintf("classes[%d].path_prefix", i), c.PathPrefix, fmt.Sprintf(
					"a match that class %s does not have (%s)", other, key))
				break
			}
			classes[key] = c.Name
		}
	}
}

// checkOverlaps finds classes of different teams that could match the same request.
func checkOverlaps(f *findings, docs []document.Document) {
	matches := newMatchIndex(docs)
	for _, doc := range docs {
		for i, c := range doc.Classes {
			other, key, found := matches.findConflict(doc.Team, c)
			if found {
				f.add(fmt.Sprintf("documents[%s].classes[%d].path_prefix", doc.Team, i), c.PathPrefix, fmt.Sprintf(
					"a match that does not overlap that of class %s of team %s (%s)", other.class, other.team, key))
			}
		}
	}
}

// matchIndex maps match keys to classes. It keeps at most two classes per key, of different teams: at least one of them
// is of another team than the class for which a conflict is sought.
type matchIndex struct {
	// byHost has the keys as the classes declare them.
	byHost map[matchKey][]classRef
	// anyNamedHost has the keys with a named host, with the host replaced by anyHost.
	anyNamedHost map[matchKey][]classRef
}

func newMatchIndex(docs []document.Document) matchIndex {
	matches := matchIndex{byHost: map[matchKey][]classRef{}, anyNamedHost: map[matchKey][]classRef{}}
	for _, doc := range docs {
		for _, c := range doc.Classes {
			for _, key := range newMatchKeys(c) {
				ref := classRef{team: doc.Team, class: c.Name}
				addClass(matches.byHost, key, ref)
				if key.host != anyHost {
					key.host = anyHost
					addClass(matches.anyNamedHost, key, ref)
				}
			}
		}
	}
	return matches
}

// addClass adds the class to those of the key, unless the key already has a class of the same team or two classes.
func addClass(classes map[matchKey][]classRef, key matchKey, ref classRef) {
	list := classes[key]
	if len(list) == 0 || (len(list) == 1 && list[0].team != ref.team) {
		classes[key] = append(list, ref)
	}
}

// findConflict returns a class of another team with an overlapping match at the same or an enclosing path prefix.
func (m matchIndex) findConflict(team string, c class.Class) (classRef, matchKey, bool) {
	for _, key := range newMatchKeys(c) {
		for _, enclosing := range listEnclosingPrefixes(key.prefix) {
			candidate := matchKey{host: key.host, method: key.method, prefix: enclosing}
			if ref, found := findClassOfOtherTeam(m.byHost[candidate], team); found {
				return ref, candidate, true
			}
			candidate.host = anyHost
			classes := m.byHost[candidate]
			if key.host == anyHost {
				classes = m.anyNamedHost[candidate]
			}
			if ref, found := findClassOfOtherTeam(classes, team); found {
				return ref, candidate, true
			}
		}
	}
	return classRef{}, matchKey{}, false
}

// findClassOfOtherTeam returns the first class that is not of the given team.
func findClassOfOtherTeam(classes []classRef, team string) (classRef, bool) {
	for _, ref := range classes {
		if ref.team != team {
			return ref, true
		}
	}
	return classRef{}, false
}

// newMatchKeys returns the match keys of a class, one for each host and method.
func newMatchKeys(c class.Class) []matchKey {
	hosts := c.Hosts
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	list := make([]matchKey, 0, len(hosts)*len(c.Methods))
	for _, host := range hosts {
		for _, method := range c.Methods {
			list = append(list, matchKey{host: host, method: method, prefix: c.PathPrefix})
		}
	}
	return list
}

// listEnclosingPrefixes returns the prefix and each prefix that encloses it, up to "/".
func listEnclosingPrefixes(prefix string) []string {
	list := []string{prefix}
	for prefix != "/" && prefix != "" {
		cut := strings.LastIndexByte(prefix, '/')
		if cut <= 0 {
			return append(list, "/")
		}
		prefix = prefix[:cut]
		list = append(list, prefix)
	}
	return list
}

func (k matchKey) String() string {
	host := k.host
	if host == anyHost {
		host = "any host"
	}
	return fmt.Sprintf("%s %s at %s", k.method, k.prefix, host)
}
