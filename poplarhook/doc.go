// Command poplarhook is the entry process that stands between callers and endpoints.
package main
