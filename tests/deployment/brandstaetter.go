package deployment

import (
	"net/http"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

// Brandstaetter returns the deployment of Brandstätter Verdunkelung.
func Brandstaetter() Deployment {
	return Deployment{
		Zones: []Zone{
			{Name: "rosenheim", Region: "oberbayern"},
			{Name: "fuerth", Region: "franken"},
			{Name: "kempten", Region: "schwaben"},
			{Name: "freising", Region: "oberbayern"},
			{Name: "bamberg", Region: "franken"},
			{Name: "memmingen", Region: "schwaben"},
		},
		Services: []Service{
			{Name: "fabric_stock", Servers: 12},
			{Name: "cutting_intake", Servers: 12},
			{Name: "dispatch_release", Servers: 12},
			{Name: "order_progress", Servers: 12},
		},
		Slots:       2,
		Connections: 220,
		Document:    document.Document{Team: "brandstaetter", Classes: brandstaetterClasses()},
	}
}

func brandstaetterClasses() []class.Class {
	return []class.Class{
		{
			Name: "fabric_lookup", Methods: []string{http.MethodGet}, PathPrefix: "/fabrics",
			Service: "fabric_stock", Execution: class.Idempotent,
			LatencyTargetMS: 50, DeadlineMS: 1000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyHigh,
		},
		{
			Name: "progress_lookup", Methods: []string{http.MethodGet}, PathPrefix: "/orders",
			Service: "order_progress", Execution: class.Idempotent,
			LatencyTargetMS: 100, DeadlineMS: 2000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyNormal,
		},
		{
			Name: "cutting_order", Methods: []string{http.MethodPost}, PathPrefix: "/orders",
			Service: "cutting_intake", Execution: class.OnceOnly,
			LatencyTargetMS: 200, DeadlineMS: 3000, Spill: class.SpillOtherRegions, Urgency: class.UrgencyHigh,
		},
		{
			Name: "dispatch_release", Methods: []string{http.MethodPost}, PathPrefix: "/releases",
			Service: "dispatch_release", Execution: class.OnceOnly, HomeRegions: []string{"oberbayern"},
			LatencyTargetMS: 200, DeadlineMS: 3000, Spill: class.SpillNever, Urgency: class.UrgencyNormal,
		},
	}
}
