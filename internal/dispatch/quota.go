package dispatch

import (
	"math"
	"sort"
	"time"
)

const (
	// tenantRateSpan is the span over which a tenant's recent rate is measured.
	tenantRateSpan = 3 * time.Second
	// longTermFactor is the span of a tenant's long-term rate, as a multiple of tenantRateSpan.
	longTermFactor = 10
	// overQuotaFactor is the rate of a tenant, as a multiple of its quota, above which it is beyond the
	// quota.
	overQuotaFactor = 1.5
	// minRate keeps ratios of rates finite.
	minRate = 1e-9
)

// tenantRate holds a tenant's messages a second, over tenantRateSpan and over longTermFactor times that.
type tenantRate struct{ recent, longTerm float64 }

// countTenantMessage adds a message to the rates of its tenant.
func (d *Dispatcher) countTenantMessage(tenant int) {
	if tenant < 0 || tenant >= len(d.tenantRates) {
		return
	}
	d.decayTenantRates()
	d.tenantRates[tenant].recent += 1 / tenantRateSpan.Seconds()
	d.tenantRates[tenant].longTerm += 1 / (longTermFactor * tenantRateSpan.Seconds())
}

// decayTenantRates lowers the rates of all tenants for the time since it was called last.
func (d *Dispatcher) decayTenantRates() {
	elapsed := (d.now - d.tenantRatesDecayedAt).Seconds()
	d.tenantRatesDecayedAt = d.now
	for i := range d.tenantRates {
		d.tenantRates[i].recent *= math.Exp(-elapsed / tenantRateSpan.Seconds())
		d.tenantRates[i].longTerm *= math.Exp(-elapsed / (longTermFactor * tenantRateSpan.Seconds()))
	}
}

// quotaFactor returns the factor by which the weight of a tenant's messages is multiplied. It is 1 for a
// tenant within its quota. For a tenant beyond its quota it is a mean over all its messages, in which those
// within the quota count as 1 and the others as OverQuotaWeight.
func (d *Dispatcher) quotaFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(d.tenantRates) || d.settings.Senders == 0 {
		return 1
	}
	quotaRate := d.settings.Tenants[tenant].QuotaRate
	used := d.tenantRates[tenant].recent / max(overQuotaFactor*d.quotaShare()*quotaRate, minRate)
	if used <= 1 {
		return 1
	}
	return (1 + (used-1)*d.settings.OverQuotaWeight) / used
}

// quotaShare returns this sender's share of the tenants' quotas, estimated from the rates at which the
// tenants usually send to it. It takes the share of the median tenant, so that a tenant with a surge does not
// raise its own share.
func (d *Dispatcher) quotaShare() float64 {
	shares := make([]float64, 0, len(d.tenantRates))
	for i, rate := range d.tenantRates {
		shares = append(shares, rate.longTerm/max(d.settings.Tenants[i].QuotaRate, minRate))
	}
	sort.Float64s(shares)
	return min(1, max(1/float64(d.settings.Senders), shares[len(shares)/2]))
}
