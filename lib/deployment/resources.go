package deployment

import "fmt"

const (
	megabyte = 1_000_000
	// minMemoryMB is the least memory with which a gateway can serve requests, in megabytes. An idle one takes 9.
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
	// defaultMemoryMB is the memory of the smallest host of the known deployments, in megabytes.
	defaultMemoryMB = 184
	// baseMemoryMB is what a gateway takes besides bodies and callers' connections, with the views of large deployments
	// and the garbage between collections, in megabytes.
	baseMemoryMB = 48
	// bodyFraction is the part of the remaining memory for bodies and large heads. The rest is for garbage and for
	// connections. With it the smallest host has room for a body of 64 MiB.
	bodyFraction = 0.55
	// runtimeFraction is the part of the memory at which the runtime collects garbage without regard to its cost. What
	// is above covers memory that the runtime does not count.
	runtimeFraction = 0.8
	// connectionFraction is the part of the memory for callers' connections.
	connectionFraction = 1.0 / 6
	// connectionBytes is the memory of one caller's connection: its stack, its buffers and its request.
	connectionBytes = 24 << 10
)

const (
	// reservedDescriptors is how many descriptors are kept for files and listeners.
	reservedDescriptors = 200
	// minDescriptors leaves some descriptors for connections.
	minDescriptors = reservedDescriptors + 100
	maxDescriptors = 1 << 30
	// callerFraction is the part of the other descriptors for callers. The rest is for endpoints, peers and the store.
	callerFraction = 2.0 / 3
)

func (d Deployment) checkResources() error {
	if d.MemoryMB != 0 && !(d.MemoryMB >= minMemoryMB && d.MemoryMB <= maxMemoryMB) {
		return newInvalidError("memory_mb", d.MemoryMB, fmt.Sprintf("%d to %d megabytes, or 0 if it is not known", minMemoryMB, maxMemoryMB))
	}
	if d.MaxDescriptors != 0 && (d.MaxDescriptors < minDescriptors || d.MaxDescriptors > maxDescriptors) {
		return newInvalidError("max_descriptors", d.MaxDescriptors, fmt.Sprintf("%d to %d, or 0 if it is not known", minDescriptors, maxDescriptors))
	}
	return nil
}

// memory returns the memory of the host, or that of the smallest known host, in bytes.
func (d Deployment) memory() float64 {
	if d.MemoryMB == 0 {
		return defaultMemoryMB * megabyte
	}
	return d.MemoryMB * megabyte
}

// BodyMemory returns how many bytes the bodies and large heads of all requests may take together.
func (d Deployment) BodyMemory() int64 {
	return int64((d.memory() - baseMemoryMB*megabyte) * bodyFraction)
}

// RuntimeMemory returns the soft memory limit of the runtime in bytes, or zero for none if the memory is not known.
func (d Deployment) RuntimeMemory() int64 {
	return int64(d.MemoryMB * megabyte * runtimeFraction)
}

// CallerConnections returns how many connections callers may have open, if a process may open the given number of
// descriptors and the settings name no other number.
func (d Deployment) CallerConnections(descriptors int) int {
	if d.MaxDescriptors > 0 {
		descriptors = min(descriptors, d.MaxDescriptors)
	}
	connections := max(descriptors, minDescriptors) - reservedDescriptors
	connections = int(float64(connections) * callerFraction)
	if d.MemoryMB == 0 {
		return connections
	}
	return min(connections, int(d.memory()*connectionFraction/connectionBytes))
}
