package org.bramleyscale.internal.gateway.hold;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Reserves memory on groups of engines, all or nothing.
 *
 * <p>
 * Engines are asked one after the other in the order of their ids, which is the same on
 * all daemons, so that two groups can't deadlock by each holding what the other waits
 * for. Holds are short and are renewed while in use: a daemon that crashes releases
 * nothing, and its engines are short of memory until its holds expire. A restarted engine
 * has lost its holds, and a renewal there would only reserve memory that nobody uses.
 * Confined to the scheduler's thread.
 */
public final class MemoryHolds {

	/**
	 * The time after which a hold of a crashed daemon expires; engines must be free again
	 * within 4 s.
	 */
	static final Duration DURATION = Duration.ofMillis(3_500);

	/** The interval between renewals; two may be lost before a hold in use expires. */
	static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_000);

	/**
	 * How long a release is repeated after an order without an answer. Such an order may
	 * be carried out up to 12 s later and would reserve the memory again after its
	 * release.
	 */
	static final Duration RELEASE_RETRY_PERIOD = Duration.ofMillis(13_000);

	static final Duration RELEASE_RETRY_INTERVAL = Duration.ofMillis(1_500);

	private final Scheduler scheduler;

	private final EngineOrders orders;

	private final Predicate<Backend> restarted;

	private final Predicate<Backend> acceptsOrders;

	private final String prefix;

	private final DecisionLog log;

	private long count;

	/**
	 * Creates the manager of holds.
	 * @param scheduler the daemon's scheduler
	 * @param orders sends orders to engines
	 * @param restarted whether an engine has restarted since it was chosen
	 * @param acceptsOrders whether an engine may be sent a new order
	 * @param prefix the beginning of each hold's id; differs for each start of each
	 * daemon
	 * @param log the decision log
	 */
	public MemoryHolds(Scheduler scheduler, EngineOrders orders, Predicate<Backend> restarted,
			Predicate<Backend> acceptsOrders, String prefix, DecisionLog log) {
		this.scheduler = scheduler;
		this.orders = orders;
		this.restarted = restarted;
		this.acceptsOrders = acceptsOrders;
		this.prefix = prefix;
		this.log = log;
	}

	/**
	 * Reserves memory.
	 * @param requested the engines and the memory on each
	 * @param request the request's id, for the log
	 * @param outcome called once, never within this call, with true if all of the memory
	 * is held
	 * @return the group, which must be released in any case
	 */
	public Group reserve(List<MemoryHold> requested, String request, Consumer<Boolean> outcome) {
		List<MemoryHold> ordered = new ArrayList<>(requested);
		ordered.sort(Comparator.comparing((MemoryHold hold) -> hold.engine().id().value()));
		Group group = new Group(this.prefix + "." + this.count++, ordered, request, outcome);
		this.scheduler.execute(() -> group.reserveNext(0));
		return group;
	}

	/**
	 * The holds of one request. Confined to the scheduler's thread.
	 */
	public final class Group {

		private final String id;

		private final List<MemoryHold> holds;

		private final String request;

		private final Consumer<Boolean> outcome;

		private int orderedCount;

		private boolean released;

		private long unansweredAt;

		private boolean unanswered;

		private Cancellable renewals = () -> {
		};

		private Group(String id, List<MemoryHold> holds, String request, Consumer<Boolean> outcome) {
			this.id = id;
			this.holds = holds;
			this.request = request;
			this.outcome = outcome;
		}

		/**
		 * The id of the reservation on each engine.
		 * @return the id
		 */
		public String id() {
			return this.id;
		}

		/**
		 * Releases all holds; has no effect when called again.
		 */
		public void release() {
			if (this.released) {
				return;
			}
			this.released = true;
			this.renewals.cancel();
			this.holds.subList(0, this.orderedCount).forEach(this::sendRelease);
		}

		private void reserveNext(int index) {
			if (this.released) {
				return;
			}
			if (index == this.holds.size()) {
				this.renewals = MemoryHolds.this.scheduler.repeat(RENEWAL_INTERVAL, this::renew);
				MemoryHolds.this.log.request(this.request, "memory held", "hold", this.id, "engines", index);
				this.outcome.accept(true);
				return;
			}
			MemoryHold hold = this.holds.get(index);
			if (!MemoryHolds.this.acceptsOrders.test(hold.engine())) {
				fail(hold, "engine is leaving, asked for back-off or is evacuated");
				return;
			}
			this.orderedCount = index + 1;
			order(hold).whenComplete((held, failure) -> {
				recordFailure(failure);
				if (this.released) {
					return;
				}
				if (failure == null && held) {
					reserveNext(index + 1);
				}
				else {
					fail(hold, (failure != null) ? failure.getMessage() : "refused");
				}
			});
		}

		private void fail(MemoryHold hold, String cause) {
			MemoryHolds.this.log.request(this.request, "memory not held", "hold", this.id, "engine", hold.engine().id(),
					"tokens", hold.tokens(), "cause", cause);
			release();
			this.outcome.accept(false);
		}

		private CompletableFuture<Boolean> order(MemoryHold hold) {
			return MemoryHolds.this.orders.reserve(hold.engine(), this.id, hold.tokens(), DURATION);
		}

		private void renew() {
			this.holds.stream().filter(this::stillValid).forEach((hold) -> order(hold).whenComplete((held, failure) -> {
				recordFailure(failure);
				if (this.released && failure == null && held) {
					// The renewal arrived after the release.
					sendRelease(hold);
				}
			}));
		}

		private boolean stillValid(MemoryHold hold) {
			return !MemoryHolds.this.restarted.test(hold.engine());
		}

		private void sendRelease(MemoryHold hold) {
			MemoryHolds.this.orders.release(hold.engine(), this.id).whenComplete((done, failure) -> {
				recordFailure(failure);
				if (this.unanswered
						&& MemoryHolds.this.scheduler.nanos() - this.unansweredAt < RELEASE_RETRY_PERIOD.toNanos()) {
					MemoryHolds.this.scheduler.schedule(RELEASE_RETRY_INTERVAL, () -> sendRelease(hold));
				}
			});
		}

		private void recordFailure(Throwable failure) {
			// Orders that release memory are repeated too, but their failures don't
			// extend the time in which releases are repeated.
			if (failure != null && (!this.released || !this.unanswered)) {
				this.unanswered = true;
				this.unansweredAt = MemoryHolds.this.scheduler.nanos();
			}
		}

	}

}
