package org.bramleyscale.internal.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;

/**
 * The fair queues of all services, urgent ones first.
 *
 * <p>
 * While both kinds wait, each token started for an urgent service earns the others a
 * fixed part of a token; once they have earned their next request it goes first, so
 * urgent work can't starve them for ever. Services are tried in turn, so one whose
 * endpoints are full holds up no other. Not safe for use by multiple threads.
 */
final class UrgencyQueues {

	/**
	 * Enough for the longest prompt; more would let others hold up urgent work in turn.
	 */
	private static final double MOST_EARNED = 2_000_000;

	private final double earnedPerUrgentToken;

	private final Map<ServiceName, FairQueue> urgent = new LinkedHashMap<>();

	private final Map<ServiceName, FairQueue> normal = new LinkedHashMap<>();

	private double earned;

	UrgencyQueues(double urgentShare) {
		this.earnedPerUrgentToken = (1 - urgentShare) / urgentShare;
	}

	void add(Waiting request, int weight, long now) {
		queue(request.request()).add(request, weight, now);
	}

	void remove(Waiting request, long now) {
		queue(request.request()).remove(request, now);
	}

	Waiting next(Predicate<RequestId> startable, long now) {
		Waiting normalNext = null;
		boolean normalTried = this.earned > 0;
		if (normalTried) {
			normalNext = peek(this.normal, startable);
			if (normalNext != null && normalNext.cost() <= this.earned) {
				this.earned -= normalNext.cost();
				return take(normalNext, now);
			}
		}
		Waiting urgentNext = peek(this.urgent, startable);
		if (urgentNext != null) {
			earn(urgentNext);
			return take(urgentNext, now);
		}
		if (!normalTried) {
			normalNext = peek(this.normal, startable);
		}
		return (normalNext != null) ? take(normalNext, now) : null;
	}

	/**
	 * How long the work ahead of a request will take to go on.
	 * @param request the request
	 * @return seconds, 0 if nothing is known
	 */
	double secondsAhead(AdmissionRequest request) {
		FairQueue queue = (request.urgent() ? this.urgent : this.normal).get(request.service());
		return (queue != null) ? queue.backlog(LengthClass.of(request.promptTokens())).seconds() : 0;
	}

	Object dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		this.urgent.forEach((service, queue) -> dump.put("urgent/" + service, queue.dump()));
		this.normal.forEach((service, queue) -> dump.put("normal/" + service, queue.dump()));
		return dump;
	}

	private void earn(Waiting urgentNext) {
		if (waits(this.normal)) {
			this.earned = Math.min(MOST_EARNED, this.earned + urgentNext.cost() * this.earnedPerUrgentToken);
		}
		else {
			this.earned = 0;
		}
	}

	private Waiting take(Waiting request, long now) {
		queue(request.request()).take(request, now);
		return request;
	}

	private FairQueue queue(AdmissionRequest request) {
		Map<ServiceName, FairQueue> queues = request.urgent() ? this.urgent : this.normal;
		return queues.computeIfAbsent(request.service(), (service) -> new FairQueue());
	}

	private static boolean waits(Map<ServiceName, FairQueue> queues) {
		for (FairQueue queue : queues.values()) {
			if (!queue.isEmpty()) {
				return true;
			}
		}
		return false;
	}

	private static Waiting peek(Map<ServiceName, FairQueue> queues, Predicate<RequestId> startable) {
		for (FairQueue queue : queues.values()) {
			Waiting found = queue.isEmpty() ? null : queue.peek(startable);
			if (found != null) {
				return found;
			}
		}
		return null;
	}

}
