package validator

import (
	"fmt"
	"strings"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

const anyHost = ""

// claim is what a class matches: requests with one host, one method and one path prefix.
type claim struct {
	host   string
	method string
	prefix string
}

type holder struct {
	team  string
	class string
}

// duplicates refuses two classes of one team that claim the same requests.
func duplicates(f *findings, doc document.Document) {
	held := map[claim]string{}
	for i, c := range doc.Classes {
		for _, one := range claimsOf(c) {
			if other, taken := held[one]; taken && other != c.Name {
				f.refuse(fmt.Sprintf("classes[%d].path_prefix", i), c.PathPrefix, fmt.Sprintf(
					"a match that class %s does not have (%s)", other, one))
				break
			}
			held[one] = c.Name
		}
	}
}

// overlaps refuses classes of two teams that could claim the same request.
func overlaps(f *findings, docs []document.Document) {
	l := newLedger(docs)
	for _, doc := range docs {
		for i, c := range doc.Classes {
			other, one, found := l.rival(doc.Team, c)
			if found {
				f.refuse(fmt.Sprintf("documents[%s].classes[%d].path_prefix", doc.Team, i), c.PathPrefix, fmt.Sprintf(
					"a match that does not overlap that of class %s of team %s (%s)", other.class, other.team, one))
			}
		}
	}
}

// ledger knows who holds each claim; two holders of different teams are enough to find a rival.
type ledger struct {
	exact map[claim][]holder
	named map[claim][]holder
}

func newLedger(docs []document.Document) ledger {
	l := ledger{exact: map[claim][]holder{}, named: map[claim][]holder{}}
	for _, doc := range docs {
		for _, c := range doc.Classes {
			for _, one := range claimsOf(c) {
				h := holder{team: doc.Team, class: c.Name}
				add(l.exact, one, h)
				if one.host != anyHost {
					one.host = anyHost
					add(l.named, one, h)
				}
			}
		}
	}
	return l
}

func add(held map[claim][]holder, one claim, h holder) {
	list := held[one]
	if len(list) == 0 || (len(list) == 1 && list[0].team != h.team) {
		held[one] = append(list, h)
	}
}

// rival finds a class of another team at the same prefix or at one above it.
func (l ledger) rival(team string, c class.Class) (holder, claim, bool) {
	for _, one := range claimsOf(c) {
		for _, above := range ancestors(one.prefix) {
			place := claim{host: one.host, method: one.method, prefix: above}
			if h, found := otherTeam(l.exact[place], team); found {
				return h, place, true
			}
			place.host = anyHost
			held := l.exact[place]
			if one.host == anyHost {
				held = l.named[place]
			}
			if h, found := otherTeam(held, team); found {
				return h, place, true
			}
		}
	}
	return holder{}, claim{}, false
}

func otherTeam(held []holder, team string) (holder, bool) {
	for _, h := range held {
		if h.team != team {
			return h, true
		}
	}
	return holder{}, false
}

func claimsOf(c class.Class) []claim {
	hosts := c.Hosts
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	list := make([]claim, 0, len(hosts)*len(c.Methods))
	for _, host := range hosts {
		for _, method := range c.Methods {
			list = append(list, claim{host: host, method: method, prefix: c.PathPrefix})
		}
	}
	return list
}

// ancestors returns the prefix and every shorter one, down to "/".
func ancestors(prefix string) []string {
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

func (c claim) String() string {
	host := c.host
	if host == anyHost {
		host = "any host"
	}
	return fmt.Sprintf("%s %s at %s", c.method, c.prefix, host)
}
