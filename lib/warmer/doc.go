// Package warmer limits the requests that one endpoint may get, based on its answers, its load reports and its entry in
// the platform's list of hosts.
//
// An open endpoint may get requests, a closed one may not. A cold endpoint gets one request at a time. The limit of a
// warm endpoint ramps: it rises by one at a time, as answers arrive, up to the limit that its slots allow.
package warmer
