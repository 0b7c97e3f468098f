package trial

import (
	"maps"
	"math"
	"time"

	"poplarhook.example/lib/rollout"
)

const (
	// bucketsPerDoubling is the resolution of response times: each bucket ends at 1.41 times its start.
	bucketsPerDoubling = 2
	// shortest is where the first bucket ends. Times below it are mostly network delay.
	shortest = time.Millisecond
	// LateBucket holds responses for which this host did not wait to the end.
	LateBucket = 40
)

// Sample counts the responses of one version in one class.
type Sample struct {
	// Failures is the number of responses with a server error.
	Failures int64 `json:"f,omitempty"`
	// Times is the number of the other responses in each bucket of response times.
	Times map[int]int64 `json:"t,omitempty"`
	// Slowed is the number of responses, failures included, of endpoints that reported to be slow themselves.
	Slowed int64 `json:"s,omitempty"`
}

// Bucket returns the bucket of a response time.
func Bucket(took time.Duration) int {
	if took <= shortest {
		return 0
	}
	bucket := math.Ceil(math.Log2(float64(took)/float64(shortest)) * bucketsPerDoubling)
	return min(int(bucket), LateBucket-1)
}

// BucketEnd returns the longest response time in the bucket.
func BucketEnd(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// BucketFactor returns the number of buckets that a response time moves up when it is multiplied by the factor.
func BucketFactor(factor float64) int {
	return int(math.Ceil(math.Log2(factor) * bucketsPerDoubling))
}

// Responses returns the number of all responses.
func (s Sample) Responses() int64 {
	n := s.Failures
	for _, count := range s.Times {
		n += count
	}
	return n
}

// Above returns the number of responses without failure above the bucket.
func (s Sample) Above(bucket int) int64 {
	n := int64(0)
	for b, count := range s.Times {
		if b > bucket {
			n += count
		}
	}
	return n
}

// Median returns the bucket of the median of the response times.
func (s Sample) Median() int {
	half := (s.Responses() - s.Failures + 1) / 2
	for bucket := range LateBucket {
		if half -= s.Times[bucket]; half <= 0 {
			return bucket
		}
	}
	return LateBucket
}

// Plus returns the sum of both samples.
func (s Sample) Plus(other Sample) Sample {
	return s.combine(other, 1)
}

// Minus returns the difference of both samples.
func (s Sample) Minus(other Sample) Sample {
	return s.combine(other, -1)
}

func (s Sample) combine(other Sample, sign int64) Sample {
	sum := Sample{Failures: s.Failures + sign*other.Failures, Times: maps.Clone(s.Times), Slowed: s.Slowed + sign*other.Slowed}
	if sum.Times == nil {
		sum.Times = make(map[int]int64, len(other.Times))
	}
	for bucket, count := range other.Times {
		sum.Times[bucket] += sign * count
	}
	return sum
}

// Samples holds the samples of one version by class.
type Samples map[string]Sample

// Plus returns the sum of both, class by class.
func (s Samples) Plus(other Samples) Samples {
	sum := maps.Clone(s)
	if sum == nil {
		sum = make(Samples, len(other))
	}
	for name, sample := range other {
		sum[name] = sum[name].Plus(sample)
	}
	return sum
}

// Minus returns the difference of both, class by class.
func (s Samples) Minus(other Samples) Samples {
	difference := make(Samples, len(s))
	for name, sample := range s {
		difference[name] = sample.Minus(other[name])
	}
	return difference
}

// Total returns the sum of all classes.
func (s Samples) Total() Sample {
	total := Sample{}
	for _, sample := range s {
		total = total.Plus(sample)
	}
	return total
}

// Counts are cumulative counters of one service since its order began.
type Counts struct {
	// Requests is the number of requests that reached the service, Exposed that of those sent to the target version.
	Requests int64 `json:"requests,omitempty"`
	Exposed  int64 `json:"exposed,omitempty"`
	// Old and New are the samples of the old versions and of the target version.
	Old Samples `json:"old,omitempty"`
	New Samples `json:"new,omitempty"`
}

// Plus returns the sum of both.
func (c Counts) Plus(other Counts) Counts {
	return Counts{
		Requests: c.Requests + other.Requests, Exposed: c.Exposed + other.Exposed,
		Old: c.Old.Plus(other.Old), New: c.New.Plus(other.New),
	}
}

// Minus returns the difference of both.
func (c Counts) Minus(other Counts) Counts {
	return Counts{
		Requests: c.Requests - other.Requests, Exposed: c.Exposed - other.Exposed,
		Old: c.Old.Minus(other.Old), New: c.New.Minus(other.New),
	}
}

// ServiceReport is what one host reports about one service.
type ServiceReport struct {
	Service string `json:"service"`
	// OrderRevision and Target identify the order to which the counters belong.
	OrderRevision int64  `json:"order"`
	Target        string `json:"target"`
	// Step is the step of the state that the host applies.
	Step int64 `json:"step"`
	// Moved is true if the host applies a state that moves all traffic and has no request at an old endpoint any more.
	Moved bool `json:"moved,omitempty"`
	Counts
}

// Report is what one host reports to the decider.
type Report struct {
	Host string `json:"host"`
	// Boot tells the processes of one host apart, each of which counts from zero.
	Boot     int64           `json:"boot"`
	Services []ServiceReport `json:"services"`
}

// Reply is the decider's answer to a report.
type Reply struct {
	// Follows is true if the decider follows the store, so that it can change states.
	Follows bool `json:"follows"`
	// States are the states that are newer than those of the report.
	States []rollout.State `json:"states,omitempty"`
	// Halted are the services whose target version must get no more requests, although the store may not have the state
	// that says so.
	Halted []string `json:"halted,omitempty"`
}
