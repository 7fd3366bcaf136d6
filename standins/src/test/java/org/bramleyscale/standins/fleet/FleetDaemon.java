package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.node.NodeSlices;
import org.bramleyscale.internal.request.RequestService;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.bramleyscale.standins.platform.InMemoryObjectStore;
import org.bramleyscale.standins.platform.PausableScheduler;

/**
 * One start of one daemon, and the calls that callers have open to it.
 *
 * <p>
 * Takes the part of the HTTP server: refuses while the configuration isn't fresh, and
 * tells callers when their connection breaks. Confined to the test's thread.
 */
final class FleetDaemon {

	private static final Duration CALLER_LATENCY = Duration.ofMillis(3);

	private final Scheduler shared;

	private final PausableScheduler scheduler;

	private final Incarnation incarnation;

	private final InMemoryObjectStore store;

	private final Set<Call> open = new LinkedHashSet<>();

	private NodeSlices slices;

	private boolean alive = true;

	private boolean paused;

	private long resumedAt;

	FleetDaemon(Scheduler shared, PausableScheduler scheduler, Incarnation incarnation, InMemoryObjectStore store) {
		this.shared = shared;
		this.scheduler = scheduler;
		this.incarnation = incarnation;
		this.store = store;
	}

	void run(NodeSlices newSlices) {
		this.slices = newSlices;
		newSlices.start();
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	NodeSlices slices() {
		return this.slices;
	}

	InMemoryObjectStore store() {
		return this.store;
	}

	boolean alive() {
		return this.alive;
	}

	boolean working() {
		return this.alive && !this.paused;
	}

	boolean admitting() {
		return working() && this.slices.configuration().fresh();
	}

	/**
	 * When the daemon was last paused.
	 * @return the time at which it went on, the longest time if it is paused now
	 */
	long resumedAt() {
		return this.paused ? Long.MAX_VALUE : this.resumedAt;
	}

	int openCalls() {
		return this.open.size();
	}

	void pause() {
		this.paused = true;
		this.scheduler.pause();
	}

	void resume() {
		this.paused = false;
		this.resumedAt = this.shared.nanos();
		this.scheduler.resume();
	}

	void kill() {
		this.alive = false;
		this.scheduler.end();
		List<Call> cut = new ArrayList<>(this.open);
		this.open.clear();
		cut.forEach((call) -> this.shared.schedule(CALLER_LATENCY, call.broken));
	}

	/**
	 * Opens a caller's connection and hands over its call.
	 * @param work starts the call
	 * @param refused takes a refusal at the door
	 * @param broken called when the connection breaks
	 * @return the connection
	 */
	Call call(Function<RequestService, Cancellable> work, Consumer<ServingException> refused, Runnable broken) {
		Call call = new Call(broken);
		this.open.add(call);
		this.scheduler.schedule(CALLER_LATENCY, () -> {
			if (!this.slices.configuration().fresh()) {
				this.open.remove(call);
				refused.accept(new ServingException(ErrorCode.NOT_READY, Ran.NO, Step.ADMIT, "self",
						"the configuration is not fresh", Duration.ofSeconds(1)));
				return;
			}
			call.handle = work.apply(this.slices.requests());
		});
		return call;
	}

	@Override
	public String toString() {
		return this.incarnation.toString();
	}

	/**
	 * A connection of a caller.
	 */
	final class Call {

		private final Runnable broken;

		private Cancellable handle = () -> {
		};

		private Call(Runnable broken) {
			this.broken = broken;
		}

		/**
		 * Takes note that the call was answered.
		 */
		void answered() {
			FleetDaemon.this.open.remove(this);
		}

		/**
		 * Ends the connection from the caller's side.
		 */
		void hangUp() {
			if (FleetDaemon.this.open.remove(this)) {
				FleetDaemon.this.scheduler.schedule(CALLER_LATENCY, () -> this.handle.cancel());
			}
		}

		FleetDaemon daemon() {
			return FleetDaemon.this;
		}

	}

}
