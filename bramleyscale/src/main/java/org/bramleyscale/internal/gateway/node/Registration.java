package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Writes this daemon's record into the platform's store and numbers its start.
 *
 * <p>
 * The record is written until the store takes it, each time over what stands there; an
 * answer that was lost costs one more reading. Confined to the loop's thread, except for
 * {@link #after}, which blocks and must be called from another.
 */
final class Registration {

	/**
	 * How long the start waits to read the own record. Without it the daemon starts with
	 * the time of day as its number, which is right unless the clock has stepped back.
	 */
	private static final Duration RECORD_WAIT = Duration.ofMillis(700);

	private static final Duration PAUSE = Duration.ofSeconds(1);

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final RegisteredDaemons daemons;

	private final GatewaySettings settings;

	private final long start;

	private long version;

	private Registration(GatewaySettings settings, GatewayNode.Parts parts, RegisteredDaemons daemons, long start,
			long version) {
		this.scheduler = parts.loop();
		this.log = parts.log();
		this.daemons = daemons;
		this.settings = settings;
		this.start = start;
		this.version = version;
	}

	/**
	 * Reads the record of the daemon's last start and numbers this one after it.
	 * @param settings the daemon's settings
	 * @param parts the world outside
	 * @param daemons the records in the store
	 * @return the registration, not yet written
	 */
	static Registration after(GatewaySettings settings, GatewayNode.Parts parts, RegisteredDaemons daemons) {
		long now = parts.loop().wallTime().toEpochMilli();
		RegisteredDaemons.Registered before = before(settings, parts, daemons);
		if (before == null) {
			return new Registration(settings, parts, daemons, now, 0);
		}
		return new Registration(settings, parts, daemons, before.record().startAfter(now), before.version());
	}

	/**
	 * The number of this start.
	 * @return a number greater than that of the last start, if its record could be read
	 */
	long start() {
		return this.start;
	}

	void register() {
		DaemonRecord record = new DaemonRecord(this.settings.vm().value(), this.settings.dataCentre().value(),
				GatewaySettings.text(this.settings.peers()), GatewaySettings.text(this.settings.callers()), false,
				this.start, this.settings.capacity());
		this.daemons.register(record, this.version).whenComplete((written, failure) -> {
			if (failure == null) {
				this.version = written;
				return;
			}
			this.log.belief("store", DaemonRecord.KIND, "registered", false, "cause", failure.getMessage());
			this.scheduler.schedule(PAUSE, this::readAndRegister);
		});
	}

	private void readAndRegister() {
		this.daemons.registered(this.settings.vm()).whenComplete((found, failure) -> {
			if (failure == null) {
				this.version = found.map(RegisteredDaemons.Registered::version).orElse(0L);
			}
			register();
		});
	}

	private static RegisteredDaemons.Registered before(GatewaySettings settings, GatewayNode.Parts parts,
			RegisteredDaemons daemons) {
		CompletableFuture<RegisteredDaemons.Registered> found = new CompletableFuture<>();
		parts.loop().execute(() -> daemons.registered(settings.vm()).whenComplete((registered, failure) -> {
			if (failure == null) {
				found.complete(registered.orElse(null));
			}
			else {
				found.completeExceptionally(failure);
			}
		}));
		try {
			return found.get(RECORD_WAIT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			parts.log().belief("store", DaemonRecord.KIND, "record_before", "unknown", "cause", ex.toString());
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

}
