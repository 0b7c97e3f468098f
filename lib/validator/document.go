package validator

import (
	"fmt"
	"strings"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

func (v Validator) checkDocument(f *findings, doc document.Document) {
	f.checkName("team", doc.Team)
	if doc.Team == ReservedTeam {
		f.add("team", doc.Team, "any other name, as the operators have no document")
	}
	f.checkCount("classes", len(doc.Classes), MaxClasses)
	seen := map[string]bool{}
	for i, c := range doc.Classes {
		classFindings := f.withPrefix(fmt.Sprintf("%sclasses[%d].", f.prefix, i))
		v.checkClass(classFindings, c)
		classFindings.checkUnique("name", c.Name, seen)
		f.violations = classFindings.violations
	}
	checkDuplicates(f, doc)
}

func (v Validator) checkClass(f *findings, c class.Class) {
	f.checkName("name", c.Name)
	f.checkName("service", c.Service)
	checkMatch(f, c)
	f.checkOneOf("execution", c.Execution, class.Idempotent, class.OnceOnly)
	f.checkOneOf("urgency", c.Urgency, class.UrgencyHigh, class.UrgencyNormal, class.UrgencyLow)
	checkTimes(f, c)
	v.checkHomeRegions(f, c)
}

func checkMatch(f *findings, c class.Class) {
	f.checkCount("hosts", len(c.Hosts), MaxHosts)
	seen := map[string]bool{}
	for i, name := range c.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		checkHostName(f, field, name)
		f.checkUnique(field, name, seen)
	}
	checkMethods(f, c.Methods)
	checkPathPrefix(f, c.PathPrefix)
}

func checkMethods(f *findings, list []string) {
	if len(list) == 0 {
		f.add("methods", "", "at least one method")
	}
	seen := map[string]bool{}
	for i, method := range list {
		field := fmt.Sprintf("methods[%d]", i)
		f.checkOneOf(field, method, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
		f.checkUnique(field, method, seen)
	}
}

func checkHostName(f *findings, field, name string) {
	const allowed = "a host name in lower case, without port and without a dot at either end"
	invalid := name == "" || len(name) > maxHostNameBytes || strings.Contains(name, "..") ||
		strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".") ||
		strings.ContainsFunc(name, func(r rune) bool { return !isLowerOrDigit(r) && r != '.' && r != '-' })
	if invalid {
		f.add(field, name, allowed)
	}
}

func checkPathPrefix(f *findings, path string) {
	if !isPathPrefix(path) {
		f.add("path_prefix", path, fmt.Sprintf(
			"/ or whole segments such as /orders/new, without / at the end, of A-Z, a-z, 0-9, -, ., _ and ~, up to %d bytes", MaxPrefixBytes))
	}
}

// isPathPrefix reports whether the path is "/" or consists of whole segments of unreserved characters (RFC 3986).
func isPathPrefix(path string) bool {
	if path == "/" {
		return true
	}
	rest, isAbsolute := strings.CutPrefix(path, "/")
	if !isAbsolute || len(path) > MaxPrefixBytes {
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

func checkTimes(f *findings, c class.Class) {
	f.checkRange("deadline_ms", c.DeadlineMS, 1, MaxDeadlineMS)
	if c.LatencyTargetMS < 1 || c.LatencyTargetMS > c.DeadlineMS {
		f.add("latency_target_ms", fmt.Sprint(c.LatencyTargetMS),
			fmt.Sprintf("a whole number from 1 to deadline_ms (%d)", c.DeadlineMS))
	}
}

func (v Validator) checkHomeRegions(f *findings, c class.Class) {
	f.checkCount("home_regions", len(c.HomeRegions), MaxRegions)
	seen := map[string]bool{}
	regions := v.regions()
	for i, region := range c.HomeRegions {
		field := fmt.Sprintf("home_regions[%d]", i)
		f.checkKnown(field, region, regions)
		f.checkUnique(field, region, seen)
	}
	f.checkOneOf("spill", c.Spill, class.SpillNever, class.SpillOtherRegions)
	if c.Spill == class.SpillOtherRegions && len(c.HomeRegions) == 1 {
		f.add("spill", c.Spill, fmt.Sprintf(
			"%s, as home_regions permits %s alone", class.SpillNever, c.HomeRegions[0]))
	}
}
