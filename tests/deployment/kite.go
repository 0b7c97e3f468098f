package deployment

import (
	"net/http"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

// Kite returns the deployment of the Kite Paper Supply Office.
func Kite() Deployment {
	return Deployment{
		Zones: []Zone{
			{Name: "pohja-a", Region: "pohja"},
			{Name: "louna-a", Region: "louna"},
			{Name: "laane-a", Region: "laane"},
			{Name: "pohja-b", Region: "pohja"},
			{Name: "louna-b", Region: "louna"},
			{Name: "laane-b", Region: "laane"},
		},
		Services: []Service{
			{Name: "stock_availability", Servers: 15},
			{Name: "grant_payments", Servers: 12},
			{Name: "allocation", Servers: 12},
			{Name: "catalogue_publishing", Servers: 12},
		},
		Slots:       4,
		Connections: 260,
		Document:    document.Document{Team: "kite", Classes: kiteClasses()},
	}
}

func kiteClasses() []class.Class {
	return []class.Class{
		{
			Name: "stock_lookup", Methods: []string{http.MethodGet}, PathPrefix: "/stock",
			Service: "stock_availability", Execution: class.Idempotent,
			LatencyTargetMS: 50, DeadlineMS: 1000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyHigh,
		},
		{
			Name: "catalogue_mirror", Methods: []string{http.MethodGet}, PathPrefix: "/catalogue",
			Service: "catalogue_publishing", Execution: class.Idempotent,
			LatencyTargetMS: 500, DeadlineMS: 3000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyLow,
		},
		{
			Name: "allocation_order", Methods: []string{http.MethodPost}, PathPrefix: "/allocations",
			Service: "allocation", Execution: class.OnceOnly,
			LatencyTargetMS: 200, DeadlineMS: 3000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyNormal,
		},
		{
			Name: "grant_payment", Methods: []string{http.MethodPost}, PathPrefix: "/payments",
			Service: "grant_payments", Execution: class.OnceOnly, HomeRegions: []string{"pohja"},
			LatencyTargetMS: 300, DeadlineMS: 3000, Spill: class.SpillNever, Urgency: class.UrgencyHigh,
		},
	}
}
