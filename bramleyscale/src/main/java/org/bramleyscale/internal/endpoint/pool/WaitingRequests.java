package org.bramleyscale.internal.endpoint.pool;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.Clock;

/**
 * Asks owners for capacity on behalf of requests that no candidate can accept.
 *
 * <p>
 * Capacity for a request is demanded only at the two endpoints where most remains: if it
 * were demanded everywhere, a single large request would make every owner collect memory
 * for it. Confined to the scheduler's thread.
 */
final class WaitingRequests {

	private static final int MAX_ENDPOINTS_ASKED = 2;

	private final Clock clock;

	private final EndpointDirectory directory;

	private final DemandSender demands;

	WaitingRequests(Clock clock, EndpointDirectory directory, DemandSender demands) {
		this.clock = clock;
		this.directory = directory;
		this.demands = demands;
	}

	void requestCapacity(ServiceName service, ModelName model, long kvTokens) {
		long now = this.clock.nanos();
		List<EndpointState> capable = new ArrayList<>();
		for (EndpointState state : this.directory.use(service)) {
			if (state.usable(model, now) && state.fitsCapacity(kvTokens)) {
				capable.add(state);
			}
		}
		capable.sort(EndpointState.byRemaining(now, this.directory.sharing()));
		for (EndpointState state : capable.subList(0, Math.min(MAX_ENDPOINTS_ASKED, capable.size()))) {
			state.markUsed(now);
			state.unmet().add(kvTokens, now);
			this.demands.sendSoon(state);
		}
	}

}
