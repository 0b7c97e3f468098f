// Package allowance shares one budget of second tries among concurrent requests.
package allowance
