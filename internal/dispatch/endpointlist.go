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
	for _, entry := range update.Endpoints {
		listed[entry.ID] = entry.Ready
		d.removeEndpoint(entry.ID)
		if entry.Ready {
			d.addEndpoint(entry)
		} else {
			d.abortUnsent(d.endpoints[entry.ID])
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
func (d *Dispatcher) addEndpoint(entry Endpoint) {
	entry.Kind, entry.Zone = max(0, entry.Kind), max(0, entry.Zone)
	dest := d.ensureDestination(entry.Destination)
	e := d.endpoints[entry.ID]
	if e == nil || e.Destination != entry.Destination {
		if e == nil {
			e = &endpoint{connectFailedAt: longAgo}
			d.endpoints[entry.ID] = e
		}
		// What was learnt of its former route does not hold for this destination.
		e.route = d.routeFor(entry, dest)
	}
	e.Endpoint = entry
	e.route.maxBatchSize = d.maxBatchSize(e)
	if d.settings.RatingIsRateLimit && isPositiveFinite(entry.Rating) {
		d.updateRateLimit(e.route, entry.Rating)
	}
	dest.endpoints = append(dest.endpoints, e)
}

// routeFor is the route of an endpoint that is new to its destination.
func (d *Dispatcher) routeFor(entry Endpoint, dest *destination) *route {
	if entry.Kind < len(d.settings.Kinds) && d.settings.Kinds[entry.Kind].PerEndpoint {
		return d.newRoute(entry, true)
	}
	if dest.shared == nil {
		dest.shared = d.newRoute(entry, false)
	}
	return dest.shared
}

// removeEndpoint takes an endpoint out of its destination. What is known of it stays.
func (d *Dispatcher) removeEndpoint(id EndpointID) {
	if e := d.endpoints[id]; e != nil {
		dest := d.ensureDestination(e.Destination)
		dest.endpoints = remove(dest.endpoints, e)
	}
}

// abortUnsent stops the calls to e that are not written yet: by the time that they are, e may be draining or
// allow no calls.
func (d *Dispatcher) abortUnsent(e *endpoint) {
	if e != nil && e.inFlight > 0 {
		d.emit(AbortUnsent{Endpoint: e.ID})
	}
}

// ensureDestination is the destination of that number, which becomes known if it is not.
func (d *Dispatcher) ensureDestination(id DestinationID) *destination {
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
