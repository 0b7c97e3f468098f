// Command poplarctl is the operators' command: configuration, availability zones, status and dumps.
package main
