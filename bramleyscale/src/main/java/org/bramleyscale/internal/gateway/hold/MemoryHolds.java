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
 * Sets memory aside on groups of engines, all or nothing.
 *
 * <p>
 * Engines are asked one after the other in the order of their ids, which is the same on
 * all daemons, so that two groups can't each hold what the other waits for. Holds are
 * short and renewed while they are used: a daemon that dies gives nothing back, and its
 * engines are short of memory until its holds expire. An engine that has started again
 * holds nothing of before; a renewal there would only set memory aside for nobody.
 * Confined to the scheduler's thread.
 */
public final class MemoryHolds {

	/** A dead daemon's hold ends within this; engines must be free again within 4 s. */
	static final Duration DURATION = Duration.ofMillis(3_500);

	/** Two renewals may be lost before a hold in use expires. */
	static final Duration RENEWAL = Duration.ofMillis(1_000);

	/**
	 * An order without an answer may be carried out up to 12 s later, and would set
	 * memory aside anew after it was given back; so it is given back again until then.
	 */
	static final Duration LATEST_ORDER = Duration.ofMillis(13_000);

	static final Duration AGAIN = Duration.ofMillis(1_500);

	private final Scheduler scheduler;

	private final EngineOrders orders;

	private final Predicate<Backend> startedAgain;

	private final Predicate<Backend> takes;

	private final String prefix;

	private final DecisionLog log;

	private long count;

	/**
	 * Makes the keeper of holds.
	 * @param scheduler the daemon's scheduler
	 * @param orders the orders to engines
	 * @param startedAgain whether an engine has started again since it was chosen
	 * @param takes whether an engine may be sent something new
	 * @param prefix begins each hold's id; differs for each start of each daemon
	 * @param log takes each decision
	 */
	public MemoryHolds(Scheduler scheduler, EngineOrders orders, Predicate<Backend> startedAgain,
			Predicate<Backend> takes, String prefix, DecisionLog log) {
		this.scheduler = scheduler;
		this.orders = orders;
		this.startedAgain = startedAgain;
		this.takes = takes;
		this.prefix = prefix;
		this.log = log;
	}

	/**
	 * Sets memory aside.
	 * @param wanted the engines and how much of each
	 * @param request the request's id, for the log
	 * @param outcome told once, never within this call: true if all of it is held
	 * @return the group, to be released in any case
	 */
	public Group reserve(List<MemoryHold> wanted, String request, Consumer<Boolean> outcome) {
		List<MemoryHold> ordered = new ArrayList<>(wanted);
		ordered.sort(Comparator.comparing((MemoryHold hold) -> hold.engine().id().value()));
		Group group = new Group(this.prefix + "." + this.count++, ordered, request, outcome);
		this.scheduler.execute(() -> group.next(0));
		return group;
	}

	/**
	 * Memory of one request. Confined to the scheduler's thread.
	 */
	public final class Group {

		private final String id;

		private final List<MemoryHold> holds;

		private final String request;

		private final Consumer<Boolean> outcome;

		private int asked;

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
		 * The id under which engines keep the memory.
		 * @return the id
		 */
		public String id() {
			return this.id;
		}

		/**
		 * Gives all of it back; calling again has no effect.
		 */
		public void release() {
			if (this.released) {
				return;
			}
			this.released = true;
			this.renewals.cancel();
			this.holds.subList(0, this.asked).forEach(this::giveBack);
		}

		private void next(int index) {
			if (this.released) {
				return;
			}
			if (index == this.holds.size()) {
				this.renewals = MemoryHolds.this.scheduler.repeat(RENEWAL, this::renew);
				MemoryHolds.this.log.request(this.request, "memory held", "hold", this.id, "engines", index);
				this.outcome.accept(true);
				return;
			}
			MemoryHold hold = this.holds.get(index);
			if (!MemoryHolds.this.takes.test(hold.engine())) {
				notHeld(hold, "leaves or rests");
				return;
			}
			this.asked = index + 1;
			order(hold).whenComplete((held, failure) -> {
				note(failure);
				if (this.released) {
					return;
				}
				if (failure == null && held) {
					next(index + 1);
				}
				else {
					notHeld(hold, (failure != null) ? failure.getMessage() : "refused");
				}
			});
		}

		private void notHeld(MemoryHold hold, String cause) {
			MemoryHolds.this.log.request(this.request, "memory not held", "hold", this.id, "engine", hold.engine().id(),
					"tokens", hold.tokens(), "cause", cause);
			release();
			this.outcome.accept(false);
		}

		private CompletableFuture<Boolean> order(MemoryHold hold) {
			return MemoryHolds.this.orders.reserve(hold.engine(), this.id, hold.tokens(), DURATION);
		}

		private void renew() {
			this.holds.stream().filter(this::kept).forEach((hold) -> order(hold).whenComplete((held, failure) -> {
				note(failure);
				if (this.released && failure == null && held) {
					// The renewal overtook the giving back.
					giveBack(hold);
				}
			}));
		}

		private boolean kept(MemoryHold hold) {
			return !MemoryHolds.this.startedAgain.test(hold.engine());
		}

		private void giveBack(MemoryHold hold) {
			MemoryHolds.this.orders.release(hold.engine(), this.id).whenComplete((done, failure) -> {
				note(failure);
				if (this.unanswered
						&& MemoryHolds.this.scheduler.nanos() - this.unansweredAt < LATEST_ORDER.toNanos()) {
					MemoryHolds.this.scheduler.schedule(AGAIN, () -> giveBack(hold));
				}
			});
		}

		private void note(Throwable failure) {
			// Orders that give memory back are repeated too, but don't prolong the
			// repeating.
			if (failure != null && (!this.released || !this.unanswered)) {
				this.unanswered = true;
				this.unansweredAt = MemoryHolds.this.scheduler.nanos();
			}
		}

	}

}
