package mix

import (
	"net/http"

	"poplarhook.example/poplarbench/scenario"
)

const (
	orderBytes     = 400
	lookupBytes    = 600
	catalogueBytes = 16 << 10
)

// Kite returns the mix of requests of the Kite Paper Supply Office.
func Kite() []scenario.Entry {
	return []scenario.Entry{
		{Name: "stock_lookup", Weight: 60, Method: http.MethodGet, Path: "/stock/tissue-17", AnswerBytes: lookupBytes, DeadlineMS: 1000},
		{Name: "catalogue_mirror", Weight: 10, Method: http.MethodGet, Path: "/catalogue/ripstop", AnswerBytes: catalogueBytes, DeadlineMS: 3000},
		{
			Name: "allocation_order", Weight: 15, Method: http.MethodPost, Path: "/allocations",
			BodyBytes: orderBytes, OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000,
		},
		{
			Name: "grant_payment", Weight: 15, Method: http.MethodPost, Path: "/payments",
			BodyBytes: orderBytes, OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000,
			Marker: "grant-payment-marker", HomeRegions: []string{"pohja"},
		},
	}
}

// Brandstaetter returns the mix of requests of Brandstätter Verdunkelung.
func Brandstaetter() []scenario.Entry {
	return []scenario.Entry{
		{Name: "fabric_lookup", Weight: 50, Method: http.MethodGet, Path: "/fabrics/dimout-4", AnswerBytes: lookupBytes, DeadlineMS: 1000},
		{Name: "progress_lookup", Weight: 25, Method: http.MethodGet, Path: "/orders/1234", AnswerBytes: lookupBytes, DeadlineMS: 2000},
		{
			Name: "cutting_order", Weight: 15, Method: http.MethodPost, Path: "/orders",
			BodyBytes: orderBytes, OnceOnly: true, IdempotencyKey: true, DeadlineMS: 3000,
		},
		{
			Name: "dispatch_release", Weight: 10, Method: http.MethodPost, Path: "/releases",
			BodyBytes: orderBytes, OnceOnly: true, DeadlineMS: 3000,
			Marker: "dispatch-release-marker", HomeRegions: []string{"oberbayern"},
		},
	}
}
