package org.bramleyscale.internal.gateway.contention;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The queues of this daemon, one per service whose requests have different priorities.
 *
 * <p>
 * Invariant: while requests of a service wait, an offer to placement is scheduled within
 * {@link Placement#RETRY_INTERVAL}. Confined to the scheduler's thread.
 */
public final class ContentionQueues {

	/**
	 * The shortest time between two offers. Answers end and load updates arrive up to
	 * several hundred times a second, and each offer costs a few placements.
	 */
	private static final Duration MIN_OFFER_INTERVAL = Duration.ofMillis(10);

	private static final String BEHIND_OTHERS = "others are ahead";

	private static final Cancellable NOT_WAITING = () -> {
	};

	private final Scheduler scheduler;

	private final ContentionMetrics metrics;

	private final Map<ServiceName, OfferedQueue> queues = new HashMap<>();

	public ContentionQueues(Scheduler scheduler, ContentionMetrics metrics) {
		this.scheduler = scheduler;
		this.metrics = metrics;
	}

	/**
	 * Places a request at once if nothing waits ahead of it, and otherwise lets it wait.
	 * @param service its service
	 * @param request its properties
	 * @param contender the request
	 * @return removes the request from the queue, without a call to it
	 */
	public Cancellable enter(ServiceName service, ContendingRequest request, Contender contender) {
		OfferedQueue offered = this.queues.computeIfAbsent(service, (name) -> new OfferedQueue());
		String reason = BEHIND_OTHERS;
		if (offered.queue.placesDirectly(request.need())) {
			Optional<Placement> placement = contender.place();
			if (placement.isEmpty()) {
				return NOT_WAITING;
			}
			if (!placement.get().waits()) {
				contender.proceed(placement.get(), 0);
				return NOT_WAITING;
			}
			reason = placement.get().reason();
		}
		WaitingEntry entry = offered.queue.add(request, contender, reason);
		offered.offerSoon();
		return () -> offered.queue.remove(entry);
	}

	/**
	 * Offers waiting requests to placement soon. Called when an answer has ended or the
	 * load of peers has changed.
	 */
	public void capacityMayBeFree() {
		this.queues.values().forEach(OfferedQueue::offerSoon);
	}

	/**
	 * A queue and the time of its next offer.
	 */
	private final class OfferedQueue {

		private final ServiceQueue queue = new ServiceQueue(ContentionQueues.this.scheduler,
				ContentionQueues.this.metrics);

		private long lastOffer = ContentionQueues.this.scheduler.nanos() - MIN_OFFER_INTERVAL.toNanos();

		private long nextOffer;

		private boolean scheduled;

		private Cancellable timer = NOT_WAITING;

		private void offerSoon() {
			if (!this.queue.isEmpty()) {
				schedule(Math.max(ContentionQueues.this.scheduler.nanos(),
						this.lastOffer + MIN_OFFER_INTERVAL.toNanos()));
			}
		}

		private void schedule(long at) {
			if (this.scheduled && this.nextOffer <= at) {
				return;
			}
			this.timer.cancel();
			this.scheduled = true;
			this.nextOffer = at;
			this.timer = ContentionQueues.this.scheduler
				.schedule(Duration.ofNanos(at - ContentionQueues.this.scheduler.nanos()), this::offer);
		}

		private void offer() {
			this.scheduled = false;
			this.lastOffer = ContentionQueues.this.scheduler.nanos();
			try {
				this.queue.offer();
			}
			finally {
				if (!this.queue.isEmpty()) {
					schedule(this.lastOffer + Placement.RETRY_INTERVAL.toNanos());
				}
			}
		}

	}

}
