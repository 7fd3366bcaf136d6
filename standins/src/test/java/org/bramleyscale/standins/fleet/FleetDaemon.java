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
 * One incarnation of a daemon, with the open connections of its callers.
 *
 * <p>
 * Acts as the HTTP server: refuses calls while the configuration is not fresh, and
 * notifies callers when their connection breaks. Confined to the test's thread.
 */
final class FleetDaemon {

	private static final Duration CALLER_LATENCY = Duration.ofMillis(3);

	private final Scheduler fleetScheduler;

	private final PausableScheduler scheduler;

	private final Incarnation incarnation;

	private final InMemoryObjectStore store;

	private final Set<Call> openConnections = new LinkedHashSet<>();

	private NodeSlices slices;

	private boolean alive = true;

	private boolean paused;

	private long resumedAt;

	FleetDaemon(Scheduler fleetScheduler, PausableScheduler scheduler, Incarnation incarnation,
			InMemoryObjectStore store) {
		this.fleetScheduler = fleetScheduler;
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

	boolean running() {
		return this.alive && !this.paused;
	}

	boolean admitting() {
		return running() && this.slices.configuration().fresh();
	}

	/**
	 * The end of the daemon's last pause.
	 * @return the time at which it resumed, or the maximum value if it is paused now
	 */
	long resumedAt() {
		return this.paused ? Long.MAX_VALUE : this.resumedAt;
	}

	int openCalls() {
		return this.openConnections.size();
	}

	void pause() {
		this.paused = true;
		this.scheduler.pause();
	}

	void resume() {
		this.paused = false;
		this.resumedAt = this.fleetScheduler.nanos();
		this.scheduler.resume();
	}

	void kill() {
		this.alive = false;
		this.scheduler.crash();
		List<Call> disconnected = new ArrayList<>(this.openConnections);
		this.openConnections.clear();
		disconnected.forEach((call) -> this.fleetScheduler.schedule(CALLER_LATENCY, call.onDisconnect));
	}

	/**
	 * Opens a connection of a caller and passes on its call.
	 * @param work starts the call
	 * @param refused receives a refusal by the server
	 * @param onDisconnect called when the connection breaks
	 * @return the connection
	 */
	Call call(Function<RequestService, Cancellable> work, Consumer<ServingException> refused, Runnable onDisconnect) {
		Call call = new Call(onDisconnect);
		this.openConnections.add(call);
		this.scheduler.schedule(CALLER_LATENCY, () -> {
			if (!this.slices.configuration().fresh()) {
				this.openConnections.remove(call);
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

		private final Runnable onDisconnect;

		private Cancellable handle = () -> {
		};

		private Call(Runnable onDisconnect) {
			this.onDisconnect = onDisconnect;
		}

		/**
		 * Records that the call was answered.
		 */
		void markAnswered() {
			FleetDaemon.this.openConnections.remove(this);
		}

		/**
		 * Closes the connection from the caller's side.
		 */
		void disconnect() {
			if (FleetDaemon.this.openConnections.remove(this)) {
				FleetDaemon.this.scheduler.schedule(CALLER_LATENCY, () -> this.handle.cancel());
			}
		}

		FleetDaemon daemon() {
			return FleetDaemon.this;
		}

	}

}
