package org.bramleyscale.internal.endpoint.pool;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.Clock;

/**
 * Asks owners for room on behalf of requests that no candidate has room for.
 *
 * <p>
 * A request is asked for where most is left, at two endpoints only: asked for at all, a
 * single large request would make every owner collect memory for it. Confined to the
 * scheduler's thread.
 */
final class WaitingRequests {

	private static final int ASK_AT = 2;

	private final Clock clock;

	private final EndpointDirectory directory;

	private final DemandSender demands;

	WaitingRequests(Clock clock, EndpointDirectory directory, DemandSender demands) {
		this.clock = clock;
		this.directory = directory;
		this.demands = demands;
	}

	void wanted(ServiceName service, ModelName model, long kvTokens) {
		long now = this.clock.nanos();
		List<EndpointState> able = new ArrayList<>();
		for (EndpointState state : this.directory.use(service)) {
			if (state.usable(model, now) && state.couldEverHold(kvTokens)) {
				able.add(state);
			}
		}
		able.sort(EndpointState.byRoom(now, this.directory.sharing()));
		for (EndpointState state : able.subList(0, Math.min(ASK_AT, able.size()))) {
			state.touch(now);
			state.unmet().mention(kvTokens, now);
			this.demands.soon(state);
		}
	}

}
