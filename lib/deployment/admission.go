package deployment

import "fmt"

// Admission is how requests are chosen that wait or are refused when the endpoints of a service are busy.
type Admission struct {
	// ByCost says that the weight and the work of a request count, and not its target alone.
	ByCost  bool             `json:"by_cost"`
	Weights AdmissionWeights `json:"weights,omitzero"`
}

// AdmissionWeights is how much an answer in time is worth, by the urgency of the request.
type AdmissionWeights struct {
	High   float64 `json:"high"`
	Normal float64 `json:"normal"`
	Low    float64 `json:"low"`
}

// maxAdmissionWeight bounds the ratio of two weights together with minAdmissionWeight.
const (
	minAdmissionWeight = 0.01
	maxAdmissionWeight = 1000
)

func defaultAdmission() Admission {
	return Admission{Weights: AdmissionWeights{High: 4, Normal: 2, Low: 1}}
}

func (d Deployment) checkAdmission() error {
	w := d.Admission.Weights
	for _, n := range []struct {
		field         string
		value, atMost float64
	}{
		{"admission.weights.high", w.High, maxAdmissionWeight},
		{"admission.weights.normal", w.Normal, w.High},
		{"admission.weights.low", w.Low, w.Normal},
	} {
		if n.value < minAdmissionWeight || n.value > n.atMost {
			return newInvalidError(n.field, n.value, fmt.Sprintf("%v to %v; a less urgent weight must not exceed a more urgent one", minAdmissionWeight, n.atMost))
		}
	}
	return nil
}
