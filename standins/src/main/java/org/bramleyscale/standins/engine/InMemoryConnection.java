package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.bramleyscale.internal.time.Scheduler;

/**
 * One connection from a daemon to an endpoint.
 *
 * <p>
 * Invariant: once a message was lost on its way, nothing more arrives over the
 * connection, and neither end is told. Confined to the thread that the schedulers share.
 */
final class InMemoryConnection {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final Scheduler caller;

	private final InMemoryEndpoints network;

	private final InMemoryEndpoint endpoint;

	private final BooleanSupplier reachable;

	private final Consumer<Boolean> whenBroken;

	private boolean lost;

	/**
	 * Creates a connection that isn't open yet.
	 * @param caller the daemon's scheduler
	 * @param network the latency and the endpoints' scheduler
	 * @param endpoint the other end
	 * @param reachable whether messages between both ends arrive now
	 * @param whenBroken called on the daemon's scheduler with whether there ever was a
	 * connection
	 */
	InMemoryConnection(Scheduler caller, InMemoryEndpoints network, InMemoryEndpoint endpoint,
			BooleanSupplier reachable, Consumer<Boolean> whenBroken) {
		this.caller = caller;
		this.network = network;
		this.endpoint = endpoint;
		this.reachable = reachable;
		this.whenBroken = whenBroken;
	}

	/**
	 * Opens the connection and hands a call to the endpoint.
	 * @param call what the endpoint does; an endpoint that is frozen never does it
	 */
	void open(Consumer<InMemoryEndpoint> call) {
		this.network.scheduler().schedule(this.network.latency(), () -> arrive(call));
	}

	private void arrive(Consumer<InMemoryEndpoint> call) {
		if (!this.reachable.getAsBoolean()) {
			this.caller.schedule(CONNECT_TIMEOUT, () -> this.whenBroken.accept(false));
			return;
		}
		if (this.endpoint.dead()) {
			reply(() -> this.whenBroken.accept(false));
			return;
		}
		this.endpoint.opened(this);
		if (!this.endpoint.frozen()) {
			call.accept(this.endpoint);
		}
	}

	/**
	 * Sends something back.
	 * @param task what it does on the daemon's scheduler
	 */
	void reply(Runnable task) {
		this.lost = this.lost || !this.reachable.getAsBoolean();
		if (!this.lost) {
			this.caller.schedule(this.network.latency(), task);
		}
	}

	/**
	 * Ends the connection from the endpoint's side.
	 */
	void cut() {
		reply(() -> this.whenBroken.accept(true));
	}

	/**
	 * Ends the connection from the daemon's side, of which endpoints take no notice.
	 */
	void close() {
		this.endpoint.closed(this);
	}

}
