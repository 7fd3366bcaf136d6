package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.load.LoadTracker;

/**
 * Sends requests of plain services to the endpoint with the largest share of free slots.
 *
 * <p>
 * Endpoints that failed recently come last, since a request that is not repeatable is
 * lost with its first failure. Confined to the scheduler's thread.
 */
public final class PlainPlacement implements PlacementPolicy {

	/**
	 * Retry delay without a known endpoint: a crashed one takes at least a few seconds to
	 * restart.
	 */
	static final Duration NO_ENDPOINT_RETRY_DELAY = Duration.ofMillis(500);

	private static final double AVOIDED_PENALTY = 100;

	private static final double FAILURE_PENALTY = 2;

	/**
	 * What another data centre adds to an endpoint's score, as much as a twentieth of its
	 * slots in use: the additional latency is at most 2 ms.
	 */
	private static final double REMOTE_PENALTY = 0.05;

	/**
	 * Random part of the score, so that daemons don't all choose the same of equal
	 * endpoints.
	 */
	private static final double JITTER = 0.02;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadTracker loads;

	private final RandomGenerator random;

	public PlainPlacement(BackendTable backends, BackendHealth health, LoadTracker loads, RandomGenerator random) {
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.random = random;
	}

	@Override
	public Placement place(PlacementRequest request) {
		List<Backend> usable = this.backends.usable(request.service().name());
		Backend best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (Backend backend : usable) {
			double score = score(backend, request);
			boolean eligible = request.rules().permits(backend, request.scope())
					&& !request.tried().contains(backend.start());
			if (eligible && score < bestScore) {
				best = backend;
				bestScore = score;
			}
		}
		if (best == null) {
			return refused(usable, request);
		}
		return Placement.at(best, List.of(), 0, 0, "least busy");
	}

	/**
	 * The refusal of a request for which no endpoint is available.
	 * @param usable the endpoints of its service
	 * @param request the request
	 * @return the refusal, with the reason and the time until the first endpoint becomes
	 * available
	 */
	static Placement refused(List<Backend> usable, PlacementRequest request) {
		Duration retryDelay = usable.stream()
			.filter((backend) -> !request.rules().excludes(backend, request.scope()))
			.map((backend) -> request.rules().permittedIn(backend, request.scope()))
			.map((permittedIn) -> permittedIn.isZero() ? NO_ENDPOINT_RETRY_DELAY : permittedIn)
			.min(Comparator.naturalOrder())
			.orElse(NO_ENDPOINT_RETRY_DELAY);
		return Placement.refused(reason(usable, request), retryDelay);
	}

	private static String reason(List<Backend> usable, PlacementRequest request) {
		if (usable.isEmpty()) {
			return "no endpoint";
		}
		return request.rules().reason(usable, request.scope()).orElse("no other endpoint");
	}

	private double score(Backend backend, PlacementRequest request) {
		double occupancy = (double) this.loads.load(backend.start()).active() / Math.max(1, backend.slots());
		double avoidedPenalty = this.health.avoid(backend.start()) ? AVOIDED_PENALTY : 0;
		double distance = backend.dataCentre().equals(request.localDataCentre()) ? 0 : REMOTE_PENALTY;
		return avoidedPenalty + FAILURE_PENALTY * this.health.failures(backend.start()) + occupancy + distance
				+ JITTER * this.random.nextDouble();
	}

}
