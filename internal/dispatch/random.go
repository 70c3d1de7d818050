package dispatch

// jitterSteps is the number of values that jitter may have.
const jitterSteps = 1000

// randomBelow returns the next random number below n (splitmix64).
func (d *Dispatcher) randomBelow(n uint64) uint64 {
	d.randomState += 0x9e3779b97f4a7c15
	return mix64(d.randomState) % n
}

// mix64 hashes a number (the finalizer of splitmix64).
func mix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// jitter returns a random number from -0.5 to 0.5. A route's token bucket is set to such a number of tokens
// when the route fails, so that senders that see a failure at the same time do not continue at the same time.
func (d *Dispatcher) jitter() float64 { return float64(d.randomBelow(jitterSteps))/jitterSteps - 0.5 }
