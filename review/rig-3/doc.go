// Command rig-3 plays the script cases of the third review: it starts gateways as separate processes, with the settings
// template of the deploy file, between stand-ins of the platform's store, of servers and of clients.
package main
