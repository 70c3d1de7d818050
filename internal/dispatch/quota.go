package dispatch

import (
	"math"
	"sort"
	"time"
)

const (
	// tenantRateSpan is the span over which a tenant's recent rate is measured.
	tenantRateSpan = 3 * time.Second
	// longTermFactor is the span of its long-term rate, as a multiple of that.
	longTermFactor = 10
	// overQuotaFactor is a tenant's rate, as a multiple of its quota, from which it is beyond the quota.
	overQuotaFactor = 1.5
	// minRate keeps ratios of rates finite.
	minRate = 1e-9
)

// tenantRate is a tenant's messages a second, over tenantRateSpan and over longTermFactor times that.
type tenantRate struct{ recent, longTerm float64 }

// countTenantMessage counts a message of a tenant.
func (d *Dispatcher) countTenantMessage(tenant int) {
	if tenant < 0 || tenant >= len(d.tenantRates) {
		return
	}
	d.decayTenantRates()
	d.tenantRates[tenant].recent += 1 / tenantRateSpan.Seconds()
	d.tenantRates[tenant].longTerm += 1 / (longTermFactor * tenantRateSpan.Seconds())
}

func (d *Dispatcher) decayTenantRates() {
	elapsed := (d.now - d.tenantRatesDecayedAt).Seconds()
	d.tenantRatesDecayedAt = d.now
	for i := range d.tenantRates {
		d.tenantRates[i].recent *= math.Exp(-elapsed / tenantRateSpan.Seconds())
		d.tenantRates[i].longTerm *= math.Exp(-elapsed / (longTermFactor * tenantRateSpan.Seconds()))
	}
}

// quotaFactor is the weight of a tenant's messages as a fraction: beyond its quota, the mean of those
// within and those beyond.
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

// quotaShare is our share of the tenants' quotas, judged by what they usually send us: that of the median
// tenant, as one that surges must not widen its own share.
func (d *Dispatcher) quotaShare() float64 {
	shares := make([]float64, 0, len(d.tenantRates))
	for i, rate := range d.tenantRates {
		shares = append(shares, rate.longTerm/max(d.settings.Tenants[i].QuotaRate, minRate))
	}
	sort.Float64s(shares)
	return min(1, max(1/float64(d.settings.Senders), shares[len(shares)/2]))
}
