package validator

import (
	"fmt"
	"strings"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

func (v Validator) document(f *findings, doc document.Document) {
	f.name("team", doc.Team)
	if doc.Team == ReservedTeam {
		f.refuse("team", doc.Team, "any other name, as the operators have no document")
	}
	f.atMost("classes", len(doc.Classes), MaxClasses)
	seen := map[string]bool{}
	for i, c := range doc.Classes {
		inner := f.under(fmt.Sprintf("%sclasses[%d].", f.prefix, i))
		v.class(inner, c)
		inner.unique("name", c.Name, seen)
		f.list = inner.list
	}
	duplicates(f, doc)
}

func (v Validator) class(f *findings, c class.Class) {
	f.name("name", c.Name)
	f.name("service", c.Service)
	match(f, c)
	f.oneOf("execution", c.Execution, class.Idempotent, class.OnceOnly)
	f.oneOf("urgency", c.Urgency, class.UrgencyHigh, class.UrgencyNormal, class.UrgencyLow)
	target(f, c)
	v.homes(f, c)
}

func match(f *findings, c class.Class) {
	f.atMost("hosts", len(c.Hosts), MaxHosts)
	seen := map[string]bool{}
	for i, name := range c.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		hostName(f, field, name)
		f.unique(field, name, seen)
	}
	methods(f, c.Methods)
	prefix(f, c.PathPrefix)
}

func methods(f *findings, list []string) {
	if len(list) == 0 {
		f.refuse("methods", "", "at least one method")
	}
	seen := map[string]bool{}
	for i, method := range list {
		field := fmt.Sprintf("methods[%d]", i)
		f.oneOf(field, method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
		f.unique(field, method, seen)
	}
}

func hostName(f *findings, field, name string) {
	const allowed = "a host name in lower case, without port and without a dot at either end"
	wrong := name == "" || len(name) > maxHostNameBytes || strings.Contains(name, "..") ||
		strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") ||
		strings.ContainsFunc(name, func(r rune) bool { return !isLowerOrDigit(r) && r != '.' && r != '-' })
	if wrong {
		f.refuse(field, name, allowed)
	}
}

func prefix(f *findings, path string) {
	if !isPrefix(path) {
		f.refuse("path_prefix", path, fmt.Sprintf(
			"/ or whole segments such as /orders/new, without / at the end, of A-Z, a-z, 0-9, -, ., _ and ~, up to %d bytes", MaxPrefixBytes))
	}
}

func isPrefix(path string) bool {
	if path == "/" {
		return true
	}
	rest, rooted := strings.CutPrefix(path, "/")
	if !rooted || len(path) > MaxPrefixBytes {
		return false
	}
	for segment := range strings.SplitSeq(rest, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isNotUnreserved) {
			return false
		}
	}
	return true
}

func isNotUnreserved(r rune) bool {
	return !isLowerOrDigit(r) && (r < 'A' || r > 'Z') && !strings.ContainsRune("-._~", r)
}

func target(f *findings, c class.Class) {
	f.between("deadline_ms", c.DeadlineMS, 1, MaxDeadlineMS)
	if c.LatencyTargetMS < 1 || c.LatencyTargetMS > c.DeadlineMS {
		f.refuse("latency_target_ms", fmt.Sprint(c.LatencyTargetMS),
			fmt.Sprintf("a whole number from 1 to deadline_ms (%d)", c.DeadlineMS))
	}
}

func (v Validator) homes(f *findings, c class.Class) {
	f.atMost("home_regions", len(c.HomeRegions), MaxRegions)
	seen := map[string]bool{}
	regions := v.regions()
	for i, region := range c.HomeRegions {
		field := fmt.Sprintf("home_regions[%d]", i)
		f.known(field, region, regions)
		f.unique(field, region, seen)
	}
	f.oneOf("spill", c.Spill, class.SpillNever, class.SpillOtherRegions)
	if c.Spill == class.SpillOtherRegions && len(c.HomeRegions) == 1 {
		f.refuse("spill", c.Spill, fmt.Sprintf(
			"%s, as home_regions permits %s alone", class.SpillNever, c.HomeRegions[0]))
	}
}
