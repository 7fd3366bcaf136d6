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
 * State of one pass over the waiting requests.
 *
 * <p>
 * With hundreds of requests waiting, routing each of them on each event would monopolize
 * the daemon's only thread. A pass therefore caches the candidates until a permit is
 * acquired, skips a request that needs at least as much memory as one that could not be
 * placed, and evaluates a bounded number of requests. An instance is used for one pass on
 * the scheduler's thread.
 */
final class DispatchPass {

	private static final int MAX_EVALUATIONS = 64;

	private final EndpointPool pool;

	private final Map<Target, List<Candidate>> candidates = new HashMap<>();

	private final Map<Demand, Long> smallestUnplaceable = new HashMap<>();

	private final List<RequestRecord> assigned = new ArrayList<>();

	private int evaluations;

	private boolean progress;

	DispatchPass(EndpointPool pool) {
		this.pool = pool;
	}

	List<Candidate> candidates(ServiceName service, ModelName model) {
		return this.candidates.computeIfAbsent(new Target(service, model),
				(target) -> this.pool.candidates(target.service, target.model));
	}

	boolean shouldEvaluate(RequestRecord record) {
		Long smallest = this.smallestUnplaceable.get(Demand.of(record));
		if (smallest != null && record.placement().kvTokens() >= smallest) {
			return false;
		}
		this.evaluations++;
		return this.evaluations <= MAX_EVALUATIONS;
	}

	void noCapacity(RequestRecord record) {
		if (record.placement().excluded().isEmpty()) {
			this.smallestUnplaceable.merge(Demand.of(record), record.placement().kvTokens(), Math::min);
		}
	}

	void acquired(RequestRecord record) {
		this.progress = true;
		this.candidates.remove(new Target(record.service(), record.work().model()));
	}

	/**
	 * Whether another pass could start more requests.
	 * @return true if this pass started a request and reached the evaluation limit
	 */
	boolean reachedLimit() {
		return this.progress && this.evaluations > MAX_EVALUATIONS;
	}

	/**
	 * Records that permits are held for a request that admission may not select next.
	 * @param record the request
	 */
	void assigned(RequestRecord record) {
		this.assigned.add(record);
	}

	/**
	 * Releases the permits of requests that were evaluated but not selected.
	 * @param chosen the selected request
	 */
	void releaseOthers(RequestId chosen) {
		for (RequestRecord record : this.assigned) {
			if (!record.id().equals(chosen)) {
				record.placement().unassign();
			}
		}
		this.assigned.clear();
	}

	/**
	 * The service and model for which candidates are looked up.
	 *
	 * @param service the service
	 * @param model the model, or null for a plain service
	 */
	private record Target(ServiceName service, ModelName model) {
	}

	/**
	 * Key of requests that compete for the same capacity.
	 *
	 * @param target the service and model
	 * @param urgent whether the requests may use the capacity reserved for urgent ones
	 */
	private record Demand(Target target, boolean urgent) {

		private static Demand of(RequestRecord record) {
			return new Demand(new Target(record.service(), record.work().model()), record.placement().urgent());
		}

	}

}
