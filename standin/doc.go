// Command standin simulates the platform, endpoints and slow links, for tests and demonstrations.
package main
