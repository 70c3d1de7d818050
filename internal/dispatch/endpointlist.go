package dispatch

// updateEndpointList applies an update of the endpoint list. If a request for the list failed and the list is
// sent only on request, it schedules the next request. An endpoint that is draining or gone gets no new call
// from this step on.
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

// addEndpoint adds an endpoint of the list to its destination.
func (d *Dispatcher) addEndpoint(entry Endpoint) {
	entry.Kind, entry.Zone = max(0, entry.Kind), max(0, entry.Zone)
	dest := d.ensureDestination(entry.Destination)
	dest.isListed = true
	e := d.endpoints[entry.ID]
	if e == nil || e.Destination != entry.Destination {
		if e == nil {
			e = &endpoint{connectFailedAt: longAgo}
			d.endpoints[entry.ID] = e
		}
		// What was learnt of its former route does not apply to this destination.
		e.route = d.routeFor(entry, dest)
	}
	e.Endpoint = entry
	e.route.maxBatchSize = d.maxBatchSize(e)
	if d.settings.RatingIsRateLimit && isPositiveFinite(entry.Rating) {
		d.updateRateLimit(e.route, entry.Rating)
	}
	dest.endpoints = append(dest.endpoints, e)
}

// routeFor returns the route of an endpoint that is new to its destination.
func (d *Dispatcher) routeFor(entry Endpoint, dest *destination) *route {
	if entry.Kind < len(d.settings.Kinds) && d.settings.Kinds[entry.Kind].PerEndpoint {
		return d.newRoute(entry, true)
	}
	if dest.shared == nil {
		dest.shared = d.newRoute(entry, false)
	}
	return dest.shared
}

// removeEndpoint removes an endpoint from its destination. What is known of the endpoint is kept.
func (d *Dispatcher) removeEndpoint(id EndpointID) {
	if e := d.endpoints[id]; e != nil {
		dest := d.ensureDestination(e.Destination)
		dest.endpoints = remove(dest.endpoints, e)
	}
}

// abortUnsent aborts the calls to e that have not been written yet: by the time they are written, e may be
// draining or allow no calls.
func (d *Dispatcher) abortUnsent(e *endpoint) {
	if e != nil && e.inFlight > 0 {
		d.emit(AbortUnsent{Endpoint: e.ID})
	}
}

// ensureDestination returns the destination with the given ID. It adds the destination if it is not known.
func (d *Dispatcher) ensureDestination(id DestinationID) *destination {
	dest := d.destinations[id]
	if dest == nil {
		dest = &destination{id: id}
		d.destinations[id] = dest
		d.destinationOrder = append(d.destinationOrder, dest)
	}
	return dest
}

// forgetUnlisted removes a destination for which no message waits and of which no endpoint has ever been on
// the list. Clients may name any number of such destinations.
func (d *Dispatcher) forgetUnlisted(dest *destination) {
	if dest.isListed || len(dest.waiting) > 0 || d.destinations[dest.id] != dest {
		return
	}
	delete(d.destinations, dest.id)
	d.destinationOrder = remove(d.destinationOrder, dest)
}

// maxBatchSize returns how many messages may share a call to e.
func (d *Dispatcher) maxBatchSize(e *endpoint) int {
	if e.Kind < len(d.settings.Kinds) {
		return max(1, d.settings.Kinds[e.Kind].MaxBatchSize)
	}
	return 1
}

// EjectedEndpoints returns the number of listed endpoints that are in an outage and get no calls but single
// probes.
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
