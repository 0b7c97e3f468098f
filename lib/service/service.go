package service

import "time"

// Service is one service as the configuration declares it.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// Connections is how many connections one endpoint accepts from all hosts together; zero if not declared.
	Connections int `json:"connections"`
	// WarmUp is how long an endpoint stays cold after its start.
	WarmUp time.Duration `json:"warm_up_ns"`
	// ColdPerSecond is how many requests per second one cold endpoint can serve; zero if not declared.
	ColdPerSecond float64 `json:"cold_per_second"`
}
