package validator_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/validator"
	"poplarhook.example/lib/violation"
)

func stockClass() class.Class {
	return class.Class{
		Name: "stock_lookups", Methods: []string{"GET"}, PathPrefix: "/stock", Service: "fabric_stock",
		Execution: class.Idempotent, LatencyTargetMS: 50, DeadlineMS: 500,
		HomeRegions: []string{"franken"}, Spill: class.SpillNever, Urgency: class.UrgencyHigh,
	}
}

func TestDocument(t *testing.T) {
	v := validator.New(validator.WithRegions("oberbayern", "franken"))
	for _, test := range []struct {
		field  string
		change func(*class.Class)
	}{
		{"name", func(c *class.Class) { c.Name = "Stock" }},
		{"name", func(c *class.Class) { c.Name = "" }},
		{"name", func(c *class.Class) { c.Name = strings.Repeat("a", 65) }},
		{"service", func(c *class.Class) { c.Service = "fabric-stock" }},
		{"hosts[0]", func(c *class.Class) { c.Hosts = []string{"Stock.example"} }},
		{"hosts[0]", func(c *class.Class) { c.Hosts = []string{"stock.example:80"} }},
		{"hosts[1]", func(c *class.Class) { c.Hosts = []string{"a.example", "a.example"} }},
		{"hosts", func(c *class.Class) {
			for i := range validator.MaxHosts + 1 {
				c.Hosts = append(c.Hosts, fmt.Sprintf("h%d.example", i))
			}
		}},
		{"methods", func(c *class.Class) { c.Methods = nil }},
		{"methods[0]", func(c *class.Class) { c.Methods = []string{"get"} }},
		{"methods[0]", func(c *class.Class) { c.Methods = []string{"CONNECT"} }},
		{"methods[1]", func(c *class.Class) { c.Methods = []string{"GET", "GET"} }},
		{"path_prefix", func(c *class.Class) { c.PathPrefix = "" }},
		{"path_prefix", func(c *class.Class) { c.PathPrefix = "stock" }},
		{"path_prefix", func(c *class.Class) { c.PathPrefix = "/stock/" }},
		{"path_prefix", func(c *class.Class) { c.PathPrefix = "/stock//a" }},
		{"path_prefix", func(c *class.Class) { c.PathPrefix = "/stock/../a" }},
		{"path_prefix", func(c *class.Class) { c.PathPrefix = "/st%6fck" }},
		{"execution", func(c *class.Class) { c.Execution = "twice" }},
		{"latency_target_ms", func(c *class.Class) { c.LatencyTargetMS = 501 }},
		{"latency_target_ms", func(c *class.Class) { c.LatencyTargetMS = 0 }},
		{"deadline_ms", func(c *class.Class) { c.DeadlineMS = validator.MaxDeadlineMS + 1 }},
		{"home_regions[0]", func(c *class.Class) { c.HomeRegions = []string{"saxony"} }},
		{"home_regions[1]", func(c *class.Class) { c.HomeRegions = []string{"franken", "franken"} }},
		{"spill", func(c *class.Class) { c.Spill = "" }},
		{"spill", func(c *class.Class) { c.Spill = class.SpillOtherRegions }},
		{"urgency", func(c *class.Class) { c.Urgency = "top" }},
	} {
		c := stockClass()
		test.change(&c)
		err := v.Document(document.Document{Team: "shop", Classes: []class.Class{c}})
		qt.Assert(t, err, qt.ErrorIs, validator.ErrInvalid, qt.Commentf("%s %+v", test.field, c))
		list := violation.List(err)
		qt.Assert(t, list, qt.HasLen, 1, qt.Commentf("%v", err))
		qt.Check(t, list[0].Field, qt.Equals, "classes[0]."+test.field)
		qt.Check(t, list[0].Allowed, qt.Not(qt.Equals), "")
	}

	two := stockClass()
	two.Name, two.HomeRegions, two.Spill = "both_homes", []string{"franken", "oberbayern"}, class.SpillOtherRegions
	two.PathPrefix = "/stock/deep"
	qt.Assert(t, v.Document(document.Document{Team: "shop", Classes: []class.Class{stockClass(), two}}), qt.IsNil)

	err := v.Document(document.Document{Team: validator.ReservedTeam})
	qt.Assert(t, err, qt.ErrorMatches, `team: "operators" is not allowed: .*`)

	duplicate := stockClass()
	duplicate.Name, duplicate.Methods = "twin", []string{"HEAD", "GET"}
	err = v.Document(document.Document{Team: "shop", Classes: []class.Class{stockClass(), duplicate}})
	qt.Assert(t, err, qt.ErrorMatches, `classes\[1\].path_prefix: "/stock" is not allowed: a match that class stock_lookups does not have.*`)
	err = v.Document(document.Document{Team: "Shop", Classes: []class.Class{stockClass(), stockClass()}})
	qt.Assert(t, err, qt.ErrorMatches, `(?s)team: "Shop" .*classes\[1\].name: "stock_lookups" is not allowed: each value once`)
}

func TestSnapshotOverlaps(t *testing.T) {
	team := func(name, prefix string, hosts ...string) document.Document {
		c := stockClass()
		c.PathPrefix, c.Hosts = prefix, hosts
		return document.Document{Team: name, Classes: []class.Class{c}}
	}
	v := validator.New()
	for _, test := range []struct {
		a, b    document.Document
		refused bool
	}{
		{team("a", "/stock"), team("b", "/stocks"), false},
		{team("a", "/stock"), team("b", "/stock"), true},
		{team("a", "/stock"), team("b", "/stock/deep"), true},
		{team("a", "/"), team("b", "/stock/deep"), true},
		{team("a", "/stock", "x.example"), team("b", "/stock", "y.example"), false},
		{team("a", "/stock", "x.example"), team("b", "/stock/deep", "y.example", "x.example"), true},
		{team("a", "/stock", "x.example"), team("b", "/stock/deep"), true},
		{team("a", "/stock"), team("b", "/stock/deep", "x.example"), true},
	} {
		for _, docs := range [][]document.Document{{test.a, test.b}, {test.b, test.a}} {
			err := v.Snapshot(snapshot.Snapshot{Documents: docs})
			if !test.refused {
				qt.Check(t, err, qt.IsNil)
				continue
			}
			qt.Check(t, err, qt.ErrorIs, validator.ErrInvalid, qt.Commentf("%+v", docs))
			qt.Check(t, err, qt.ErrorMatches, `(?s)documents\[[ab]\]\.classes\[0\]\.path_prefix: .*class stock_lookups of team [ab].*`)
		}
	}
}

func TestSnapshot(t *testing.T) {
	v := validator.New(validator.WithZones("fuerth", "bamberg"))
	shop := document.Document{Team: "shop", Classes: []class.Class{stockClass()}}
	qt.Assert(t, v.Snapshot(snapshot.Snapshot{Documents: []document.Document{shop}, ZonesOut: []string{"fuerth", "gone-1"}}), qt.IsNil)
	err := v.Snapshot(snapshot.Snapshot{Documents: []document.Document{shop, shop}, ZonesOut: []string{"a b", "fuerth", "fuerth"}})
	qt.Assert(t, err, qt.ErrorMatches, `documents: "shop" is not allowed: each value once
zones_out\[0\]: "a b" .*
zones_out\[2\]: "fuerth" is not allowed: each value once`)
	qt.Assert(t, v.Zone("fuerth"), qt.IsNil)
	qt.Assert(t, v.Zone("forchheim"), qt.ErrorMatches, `zone: "forchheim" is not allowed: one of fuerth, bamberg`)
}

func BenchmarkSnapshot(b *testing.B) {
	var docs []document.Document
	for team := range 360 {
		doc := document.Document{Team: fmt.Sprintf("team_%d", team)}
		for service := range 10 {
			c := stockClass()
			c.Name = fmt.Sprintf("class_%d", service)
			c.PathPrefix = fmt.Sprintf("/t%d/s%d", team, service)
			doc.Classes = append(doc.Classes, c)
		}
		docs = append(docs, doc)
	}
	v := validator.New()
	for b.Loop() {
		if err := v.Snapshot(snapshot.Snapshot{Documents: docs}); err != nil {
			b.Fatal(err)
		}
	}
}
