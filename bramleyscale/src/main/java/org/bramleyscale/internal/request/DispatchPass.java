package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.routing.Candidate;

/**
 * What one pass over the waiting requests has found out.
 *
 * <p>
 * With hundreds of requests waiting, routing each of them at each event would take the
 * daemon's only thread. So a pass keeps the candidates until a permit is taken, doesn't
 * try a request that needs as much as one that found no room, and routes a bounded number
 * of requests. Lives for one pass on the scheduler's thread.
 */
final class DispatchPass {

	private static final int MOST_EVALUATIONS = 64;

	private final EndpointPool pool;

	private final Map<Target, List<Candidate>> candidates = new HashMap<>();

	private final Map<Demand, Long> noRoomFrom = new HashMap<>();

	private final List<RequestRecord> placed = new ArrayList<>();

	private int evaluations;

	private boolean progress;

	DispatchPass(EndpointPool pool) {
		this.pool = pool;
	}

	List<Candidate> candidates(ServiceName service, ModelName model) {
		return this.candidates.computeIfAbsent(new Target(service, model),
				(target) -> this.pool.candidates(target.service, target.model));
	}

	boolean worthTrying(RequestRecord record) {
		Long from = this.noRoomFrom.get(Demand.of(record));
		if (from != null && record.placement().kvTokens() >= from) {
			return false;
		}
		this.evaluations++;
		return this.evaluations <= MOST_EVALUATIONS;
	}

	void noRoom(RequestRecord record) {
		if (record.placement().excluded().isEmpty()) {
			this.noRoomFrom.merge(Demand.of(record), record.placement().kvTokens(), Math::min);
		}
	}

	void took(RequestRecord record) {
		this.progress = true;
		this.candidates.remove(new Target(record.service(), record.work().model()));
	}

	/**
	 * Whether another pass could start more.
	 * @return true if this pass started something and ran out of evaluations
	 */
	boolean cutShort() {
		return this.progress && this.evaluations > MOST_EVALUATIONS;
	}

	/**
	 * Notes that a place was taken for a request which may yet not be the next.
	 * @param record the request
	 */
	void placed(RequestRecord record) {
		this.placed.add(record);
	}

	/**
	 * Gives back the places of requests that were tried but not chosen.
	 * @param chosen the request that was chosen
	 */
	void releaseOthers(RequestId chosen) {
		for (RequestRecord record : this.placed) {
			if (!record.id().equals(chosen)) {
				record.placement().unplace();
			}
		}
		this.placed.clear();
	}

	/**
	 * What endpoints are asked of.
	 *
	 * @param service the service
	 * @param model the model, or null for a plain service
	 */
	private record Target(ServiceName service, ModelName model) {
	}

	/**
	 * Requests that compete for the same room.
	 *
	 * @param target what they ask of
	 * @param urgent whether they may use the urgent reserve
	 */
	private record Demand(Target target, boolean urgent) {

		private static Demand of(RequestRecord record) {
			return new Demand(new Target(record.service(), record.work().model()), record.placement().urgent());
		}

	}

}
