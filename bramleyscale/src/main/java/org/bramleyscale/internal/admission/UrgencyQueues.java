package org.bramleyscale.internal.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;

/**
 * The fair queues of all services, which give priority to urgent services.
 *
 * <p>
 * While both urgent and normal requests wait, each token started for an urgent service
 * adds a fixed credit to the normal services; once the credit covers their next request,
 * it is started first, so urgent services can't starve the others. All services are
 * tried, so one whose endpoints are at capacity doesn't block the others. Not safe for
 * use by multiple threads.
 */
final class UrgencyQueues {

	/**
	 * Enough credit for the longest prompt; more would let normal requests block urgent
	 * ones.
	 */
	private static final double MAX_CREDIT = 2_000_000;

	private final double creditPerUrgentToken;

	private final Map<ServiceName, FairQueue> urgent = new LinkedHashMap<>();

	private final Map<ServiceName, FairQueue> normal = new LinkedHashMap<>();

	private double credit;

	UrgencyQueues(double urgentShare) {
		this.creditPerUrgentToken = (1 - urgentShare) / urgentShare;
	}

	void add(AdmittedRequest request, int weight, long now) {
		queue(request.request()).add(request, weight, now);
	}

	void remove(AdmittedRequest request, long now) {
		queue(request.request()).remove(request, now);
	}

	AdmittedRequest next(Predicate<RequestId> startable, long now) {
		AdmittedRequest normalNext = null;
		boolean normalTried = this.credit > 0;
		if (normalTried) {
			normalNext = peek(this.normal, startable);
			if (normalNext != null && normalNext.cost() <= this.credit) {
				this.credit -= normalNext.cost();
				return take(normalNext, now);
			}
		}
		AdmittedRequest urgentNext = peek(this.urgent, startable);
		if (urgentNext != null) {
			addCredit(urgentNext);
			return take(urgentNext, now);
		}
		if (!normalTried) {
			normalNext = peek(this.normal, startable);
		}
		return (normalNext != null) ? take(normalNext, now) : null;
	}

	/**
	 * Returns the estimated time until the requests ahead of a request have been started.
	 * @param request the request
	 * @return seconds, 0 if no request waits or the rate is unknown
	 */
	double queueingSeconds(AdmissionRequest request) {
		FairQueue queue = (request.urgent() ? this.urgent : this.normal).get(request.service());
		return (queue != null) ? queue.backlog(LengthClass.of(request.promptTokens())).drainSeconds() : 0;
	}

	Object dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		this.urgent.forEach((service, queue) -> dump.put("urgent/" + service, queue.dump()));
		this.normal.forEach((service, queue) -> dump.put("normal/" + service, queue.dump()));
		return dump;
	}

	private void addCredit(AdmittedRequest urgentNext) {
		if (anyWaiting(this.normal)) {
			this.credit = Math.min(MAX_CREDIT, this.credit + urgentNext.cost() * this.creditPerUrgentToken);
		}
		else {
			this.credit = 0;
		}
	}

	private AdmittedRequest take(AdmittedRequest request, long now) {
		queue(request.request()).take(request, now);
		return request;
	}

	private FairQueue queue(AdmissionRequest request) {
		Map<ServiceName, FairQueue> queues = request.urgent() ? this.urgent : this.normal;
		return queues.computeIfAbsent(request.service(), (service) -> new FairQueue());
	}

	private static boolean anyWaiting(Map<ServiceName, FairQueue> queues) {
		for (FairQueue queue : queues.values()) {
			if (!queue.isEmpty()) {
				return true;
			}
		}
		return false;
	}

	private static AdmittedRequest peek(Map<ServiceName, FairQueue> queues, Predicate<RequestId> startable) {
		for (FairQueue queue : queues.values()) {
			AdmittedRequest found = queue.isEmpty() ? null : queue.peek(startable);
			if (found != null) {
				return found;
			}
		}
		return null;
	}

}
