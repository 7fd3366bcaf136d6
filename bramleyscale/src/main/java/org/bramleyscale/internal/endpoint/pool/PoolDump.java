package org.bramleyscale.internal.endpoint.pool;

import java.util.Collection;
import java.util.List;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * The pool's state for the operator dump. The names of the components are written to
 * JSON.
 *
 * @param endpoints how many endpoints are known
 * @param periodMillis how often demands are sent
 * @param states the first endpoints
 */
record PoolDump(int endpoints, int periodMillis, List<State> states) {

	private static final int MAX_LISTED = 100;

	static PoolDump of(Collection<EndpointState> states, int periodMillis, long now, int sharing) {
		List<State> first = states.stream().limit(MAX_LISTED).map((state) -> State.of(state, now, sharing)).toList();
		return new PoolDump(states.size(), periodMillis, first);
	}

	/**
	 * One endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param owner the last known owner, or an empty string
	 * @param epoch the epoch of the last grant
	 * @param share what may be in flight
	 * @param inUse what is in flight
	 * @param leaving whether it gets no new requests because it is leaving
	 * @param ejected whether it gets no new requests because its learner has ejected it
	 */
	record State(String endpoint, String owner, long epoch, Amount share, Amount inUse, boolean leaving,
			boolean ejected) {

		private static State of(EndpointState state, long now, int sharing) {
			String owner = state.knownOwner().map(Object::toString).orElse("");
			return new State(state.entry().name().value(), owner, state.held().epoch(), state.share(now, sharing),
					state.use().inUse(), state.leaving(), state.learner().ejected(now));
		}

	}

}
