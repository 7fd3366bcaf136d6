package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.load.LoadBoard;

/**
 * Sends requests of plain services to the endpoint with the most free slots.
 *
 * <p>
 * Endpoints that failed lately come last, since a request that can't be repeated is lost
 * with the first failure. Confined to the scheduler's thread.
 */
public final class PlainPlacement implements PlacementPolicy {

	/** When no endpoint is known: a crashed one is back after a few seconds at best. */
	static final Duration NO_ENDPOINT_PAUSE = Duration.ofMillis(500);

	/** Endpoints in need take about one request in this time. */
	private static final Duration LIMITED_PAUSE = Duration.ofSeconds(1);

	private static final double AVOIDED = 100;

	private static final double FAILURE = 2;

	/** As much as a twentieth of the slots taken: the way is 2 ms longer at most. */
	private static final double FAR = 0.05;

	/** Spreads equal scores, so that daemons don't all choose the same endpoint. */
	private static final double JITTER = 0.02;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadBoard loads;

	private final RandomGenerator random;

	public PlainPlacement(BackendTable backends, BackendHealth health, LoadBoard loads, RandomGenerator random) {
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
			boolean may = opensIn(backend, request, this.health).isZero() && !request.tried().contains(backend.start());
			if (may && score < bestScore) {
				best = backend;
				bestScore = score;
			}
		}
		if (best == null) {
			return refused(usable, request, this.health);
		}
		return Placement.at(best, List.of(), 0, 0, "least busy");
	}

	/**
	 * The refusal of a request that no endpoint may get.
	 * @param usable the endpoints of its service
	 * @param request the request
	 * @param health knows which of them rest
	 * @return the refusal, with the reason and the time until the first of them may get
	 * it
	 */
	static Placement refused(List<Backend> usable, PlacementRequest request, BackendHealth health) {
		Duration pause = usable.stream()
			.map((backend) -> opensIn(backend, request, health))
			.map((opensIn) -> opensIn.isZero() ? NO_ENDPOINT_PAUSE : opensIn)
			.min(Comparator.naturalOrder())
			.orElse(NO_ENDPOINT_PAUSE);
		return Placement.refused(reason(usable, request, health), pause);
	}

	private static String reason(List<Backend> usable, PlacementRequest request, BackendHealth health) {
		if (usable.isEmpty()) {
			return "no endpoint";
		}
		if (usable.stream().noneMatch((backend) -> health.restLeft(backend.start()).isZero())) {
			return "all endpoints asked for rest";
		}
		boolean limited = usable.stream().anyMatch((backend) -> !request.limits().open(backend.start()));
		return limited ? "limits of endpoints reached" : "no other endpoint";
	}

	/**
	 * When an endpoint may get a request from this daemon.
	 * @param backend the endpoint
	 * @param request the request
	 * @param health knows whether it rests
	 * @return the time until then, zero for now
	 */
	private static Duration opensIn(Backend backend, PlacementRequest request, BackendHealth health) {
		Duration rest = health.restLeft(backend.start());
		return (rest.isZero() && !request.limits().open(backend.start())) ? LIMITED_PAUSE : rest;
	}

	private double score(Backend backend, PlacementRequest request) {
		double busy = (double) this.loads.load(backend.start()).active() / Math.max(1, backend.slots());
		double avoided = this.health.avoid(backend.start()) ? AVOIDED : 0;
		double near = backend.dataCentre().equals(request.near()) ? 0 : FAR;
		return avoided + FAILURE * this.health.failures(backend.start()) + busy + near
				+ JITTER * this.random.nextDouble();
	}

}
