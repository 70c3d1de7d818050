package dispatch

// updateEndpointList takes in the list, or asks for it again later if that has failed. An endpoint that is
// draining or gone gets no new call from this batch on.
func (d *Dispatcher) updateEndpointList(update EndpointListUpdate) {
	if update.Failed {
		if d.settings.PollsEndpointList {
			d.watchListAt = d.now + listRetryInterval
		}
		return
	}
	listed := map[EndpointID]bool{}
	for _, line := range update.Endpoints {
		listed[line.ID] = line.Ready
		d.removeEndpoint(line.ID)
		if line.Ready {
			d.addEndpoint(line)
		} else {
			d.abortUnsent(d.endpoints[line.ID])
		}
	}
	if !update.Full {
		return
	}
	for _, dest := range d.destinationOrder {
		for _, e := range append([]*endpoint(nil), dest.endpoints...) {
			if !listed[e.ID] {
				d.removeEndpoint(e.ID)
				d.abortUnsent(e)
			}
		}
	}
}

// addEndpoint lists an endpoint with its destination.
func (d *Dispatcher) addEndpoint(line Endpoint) {
	line.Kind, line.Zone = max(0, line.Kind), max(0, line.Zone)
	dest := d.destinationByID(line.Destination)
	e := d.endpoints[line.ID]
	if e == nil || e.Destination != line.Destination {
		if e == nil {
			e = &endpoint{connectFailedAt: longAgo}
			d.endpoints[line.ID] = e
		}
		// What was learnt of its former route does not hold for this destination.
		e.route = d.routeFor(line, dest)
	}
	e.Endpoint = line
	e.route.maxBatchSize = d.maxBatchSize(e)
	if d.settings.RatingIsRateLimit && isPositiveFinite(line.Rating) {
		d.updateRateLimit(e.route, line.Rating)
	}
	dest.endpoints = append(dest.endpoints, e)
}

// routeFor is the route of an endpoint that is new to its destination.
func (d *Dispatcher) routeFor(line Endpoint, dest *destination) *route {
	if line.Kind < len(d.settings.Kinds) && d.settings.Kinds[line.Kind].PerEndpoint {
		return d.newRoute(line, true)
	}
	if dest.shared == nil {
		dest.shared = d.newRoute(line, false)
	}
	return dest.shared
}

// removeEndpoint takes an endpoint out of its destination. What is known of it stays.
func (d *Dispatcher) removeEndpoint(id EndpointID) {
	if e := d.endpoints[id]; e != nil {
		dest := d.destinationByID(e.Destination)
		dest.endpoints = remove(dest.endpoints, e)
	}
}

// abortUnsent stops the calls to e that are not written yet: by the time that they are, e may be draining or
// allow no calls.
func (d *Dispatcher) abortUnsent(e *endpoint) {
	if e != nil && e.inFlight > 0 {
		d.act(AbortUnsent{Endpoint: e.ID})
	}
}

// destinationByID is the destination of that number, which becomes known if it is not.
func (d *Dispatcher) destinationByID(id DestinationID) *destination {
	dest := d.destinations[id]
	if dest == nil {
		dest = &destination{}
		d.destinations[id] = dest
		d.destinationOrder = append(d.destinationOrder, dest)
	}
	return dest
}

// maxBatchSize is how many messages may share a call to e.
func (d *Dispatcher) maxBatchSize(e *endpoint) int {
	if e.Kind < len(d.settings.Kinds) {
		return max(1, d.settings.Kinds[e.Kind].MaxBatchSize)
	}
	return 1
}

// EjectedEndpoints counts the listed endpoints that get no traffic now but single probes.
func (d *Dispatcher) EjectedEndpoints() int {
	ejected := 0
	for _, dest := range d.destinationOrder {
		for _, e := range dest.endpoints {
			if e.route.breaker.state == unavailable {
				ejected++
			}
		}
	}
	return ejected
}
