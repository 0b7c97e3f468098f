package judge

import (
	"math"
	"time"

	"poplarhook.example/poplarhook/models/trial"
)

const (
	// evidenceLimit is the value of the combined evidence from which a version counts as bad. The evidence against a good
	// version is a nonnegative supermartingale that begins at one, so the probability that it ever reaches the limit is
	// at most 1 in 250 (Ville's inequality), however often it is looked at. The goal is 1 in 200.
	evidenceLimit = 250
	// suspicionLimit is the evidence from which a verdict should wait for more responses.
	suspicionLimit = 3
	// minFailureRate and minSlowRate are the least rates of failures and slow responses that a good version may have.
	// They cover faults of machines and networks which the old version happened not to meet.
	minFailureRate = 0.005
	minSlowRate    = 0.02
	// slowFactor is how many times as long as the old version's median a slow response takes at least. Bad versions are
	// several times slower.
	slowFactor = 2
	// minSlowExcess is how much longer than the old version's median a slow response takes at least. New connections and
	// pauses of this host add a few milliseconds, which are more than twice a short response time.
	minSlowExcess = 10 * time.Millisecond
	// minReference is the number of old responses in a class below which all classes together are the reference.
	minReference = 30
	// minBad is the least number of bad responses that counts as evidence.
	minBad = 4
	// rateMargin is the number of standard deviations by which the old version's rate may be underestimated.
	rateMargin = 2
	// overallWeight is the weight of the evidence of all classes together; the classes share the rest.
	overallWeight = 0.5
	// slowedWeight is the part of overallWeight for what endpoints report of themselves.
	slowedWeight = 0.1
	// minSlowedRate is the least rate of responses from endpoints that report to be slow. Machines have slow periods,
	// which the times are corrected for, and a few endpoints may have them together; of a version that is slow itself
	// all endpoints may report it.
	minSlowedRate = 0.4
	// earlierWeight is the weight of the evidence since the order began; the windows share the rest.
	earlierWeight = 0.5
)

// alternatives are the rates of bad responses that a bad version may have.
var alternatives = []float64{0.05, 0.1, 0.2, 0.4, 0.8}

// Judge holds the counters of a service at earlier times, so that a version that became bad later is not excused by its
// earlier good responses. It is not safe for concurrent use.
type Judge struct {
	// earlier are the target version's samples at the start of each window.
	earlier []trial.Samples
}

// maxWindows bounds the number of windows.
const maxWindows = 8

// New returns a Judge without windows.
func New() *Judge {
	return &Judge{}
}

// StartWindow starts a window at the given samples of the target version. The windows must start at times that do not
// depend on the responses.
func (j *Judge) StartWindow(target trial.Samples) {
	if len(j.earlier) < maxWindows {
		j.earlier = append(j.earlier, target)
	}
}

// Evidence returns the evidence against the target version, 1 if there is none.
func (j *Judge) Evidence(c trial.Counts) float64 {
	evidence := earlierWeight * Evidence(c.Old, c.New)
	weight, left := (1-earlierWeight)/maxWindows, 1-earlierWeight
	for _, start := range j.earlier {
		left -= weight
		evidence += weight * Evidence(c.Old, c.New.Minus(start))
	}
	return evidence + left
}

// Judgment is what the evidence says about a version.
type Judgment struct {
	Evidence float64
	// IsBad is true if the evidence shows that the version is bad, IsSuspicious if there is too much of it to move all
	// traffic without waiting for more responses.
	IsBad, IsSuspicious bool
}

// Judge returns the judgment of the target version.
func (j *Judge) Judge(c trial.Counts) Judgment {
	evidence := j.Evidence(c)
	return Judgment{Evidence: evidence, IsBad: evidence >= evidenceLimit, IsSuspicious: evidence >= suspicionLimit}
}

// Evidence returns the evidence of the samples against the target version, 1 if there is none.
//
// It is the weighted mean of likelihood ratios, each for one class or all of
// them and for failures or slow responses. A mean of such ratios is one again,
// so classes need no correction for their number. Each class is compared with
// itself, since the versions may get the classes in different proportions.
func Evidence(old, target trial.Samples) float64 {
	oldTotal := old.Total()
	var slow []comparison
	evidence, classWeight := 0.0, (1-overallWeight)/float64(max(len(target), 1))
	for name, sample := range target {
		f, s := compareFailures(old[name], oldTotal, sample), compareTimes(old[name], sample)
		slow = append(slow, s)
		evidence += classWeight * (likelihoodRatio(f) + likelihoodRatio(s)) / 2
	}
	if len(target) == 0 {
		evidence += classWeight
	}
	overall := (likelihoodRatio(compareAllFailures(old, oldTotal, target))+likelihoodRatio(slow...))*(1-slowedWeight)/2 +
		slowedWeight*likelihoodRatio(compareSlowed(oldTotal, target.Total()))
	return evidence + overallWeight*overall
}

// compareSlowed compares how many responses came from endpoints that report to be slow.
func compareSlowed(old, target trial.Sample) comparison {
	return comparison{bad: target.Slowed, responses: target.Responses(), rate: upperRate(old.Slowed, old.Responses(), minSlowedRate)}
}

// comparison holds the bad ones of the target version's responses and the rate that they may have.
type comparison struct {
	bad, responses int64
	rate           float64
}

// compareFailures compares the failures of a class with the old version's, those of all classes if that has few
// responses in the class.
func compareFailures(old, oldTotal, target trial.Sample) comparison {
	if old.Responses() < minReference {
		old = oldTotal
	}
	return comparison{bad: target.Failures, responses: target.Responses(), rate: upperRate(old.Failures, old.Responses(), minFailureRate)}
}

// compareAllFailures compares the failures of all classes with the rate that the old version would have if it got the
// classes in the same proportions.
func compareAllFailures(old trial.Samples, oldTotal trial.Sample, target trial.Samples) comparison {
	oldResponses := oldTotal.Responses()
	if oldResponses == 0 {
		return comparison{rate: 1}
	}
	total, expected := target.Total(), 0.0
	for name, sample := range target {
		reference := old[name]
		if reference.Responses() < minReference {
			reference = oldTotal
		}
		expected += float64(sample.Responses()) * float64(reference.Failures) / float64(reference.Responses())
	}
	responses := total.Responses()
	margin := rateMargin * math.Sqrt(float64(oldTotal.Failures)+1) / float64(oldResponses)
	return comparison{bad: total.Failures, responses: responses, rate: max(expected/float64(max(responses, 1))+margin, minFailureRate)}
}

// compareTimes compares the slow responses of a class with the old version's in the same class. The result shows nothing
// if that has few.
func compareTimes(old, target trial.Sample) comparison {
	responses := old.Responses() - old.Failures
	if responses < minReference {
		return comparison{rate: 1}
	}
	median := old.Median()
	limit := max(median+trial.BucketFactor(slowFactor), trial.Bucket(trial.BucketEnd(median)+minSlowExcess))
	return comparison{bad: target.Above(limit), responses: target.Responses() - target.Failures, rate: upperRate(old.Above(limit), responses, minSlowRate)}
}

// upperRate returns an upper bound on the rate of bad responses among the responses of the old version.
func upperRate(bad, responses int64, least float64) float64 {
	if responses == 0 {
		return 1
	}
	upper := (float64(bad) + rateMargin*math.Sqrt(float64(bad)+1)) / float64(responses)
	return max(upper, least)
}

// likelihoodRatio returns the mean, over the alternatives, of the ratio of the likelihoods of all comparisons at the
// alternative above their rates and at their rates.
func likelihoodRatio(comparisons ...comparison) float64 {
	bad := int64(0)
	for _, c := range comparisons {
		bad += c.bad
	}
	if bad < minBad {
		return 1
	}
	sum := 0.0
	for _, alternative := range alternatives {
		exponent := 0.0
		for _, c := range comparisons {
			exponent += c.logRatio(alternative)
		}
		sum += math.Exp(min(exponent, maxExponent))
	}
	return sum / float64(len(alternatives))
}

// logRatio returns the logarithm of the ratio of the likelihoods if the alternative adds to the rate, zero if the rate
// allows any response to be bad.
func (c comparison) logRatio(alternative float64) float64 {
	if c.rate >= 1 || c.responses <= 0 {
		return 0
	}
	raised := c.rate + (1-c.rate)*alternative
	return float64(c.bad)*math.Log(raised/c.rate) + float64(c.responses-c.bad)*math.Log((1-raised)/(1-c.rate))
}

// maxExponent keeps likelihood ratios finite.
const maxExponent = 300
