package deployment

import "time"

// Defaults of the bounds on quotas, for settings without them.
const (
	defaultQuotaWindowS = 5
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
)

func (d Deployment) checkQuotaBounds() error {
	if window := valueOr(d.Bounds.QuotaWindowS, defaultQuotaWindowS); window <= 0 {
		return newInvalidError("bounds.quota_window_s", window, "a number above zero")
	}
	overage, slack := d.Bounds.QuotaExcess()
	if overage < 0 {
		return newInvalidError("bounds.quota_overage", overage, "a number that is zero or above")
	}
	if slack < 0 {
		return newInvalidError("bounds.quota_slack", slack, "a number that is zero or above")
	}
	return nil
}

// QuotaWindow returns the time within which the requests beyond a quota are counted.
func (b Bounds) QuotaWindow() time.Duration {
	return time.Duration(valueOr(b.QuotaWindowS, defaultQuotaWindowS) * float64(time.Second))
}

// QuotaExcess returns by how much the requests of a workspace may exceed its quota within the window: by a fraction of
// the quota and by a number of requests.
func (b Bounds) QuotaExcess() (overage, slack float64) {
	return valueOr(b.QuotaOverage, defaultQuotaOverage), valueOr(b.QuotaSlack, defaultQuotaSlack)
}

func valueOr(value *float64, absent float64) float64 {
	if value == nil {
		return absent
	}
	return *value
}
