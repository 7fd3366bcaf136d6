package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Writes this daemon's record to the platform's store and numbers its start.
 *
 * <p>
 * The write is retried until it succeeds, each time against the version that the store
 * has; a lost answer costs one more read. Confined to the scheduler's thread, except for
 * {@link #afterPreviousStart}, which blocks and must be called from another thread.
 */
final class Registration {

	/**
	 * How long the start waits for its previous record. Without it the daemon uses the
	 * time of day as its start number, which is correct unless the clock has stepped
	 * back.
	 */
	private static final Duration READ_TIMEOUT = Duration.ofMillis(700);

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	/** The time between the renewals of two daemons, well below the store's rates. */
	private static final Duration RENEWAL_SPACING = Duration.ofMillis(40);

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final RegisteredDaemons daemons;

	private final GatewaySettings settings;

	private final long start;

	private long version;

	private Registration(GatewaySettings settings, GatewayNode.Dependencies dependencies, RegisteredDaemons daemons,
			long start, long version) {
		this.scheduler = dependencies.loop();
		this.log = dependencies.log();
		this.daemons = daemons;
		this.settings = settings;
		this.start = start;
		this.version = version;
	}

	/**
	 * Reads the record of the daemon's previous start and numbers this one after it.
	 * @param settings the daemon's settings
	 * @param dependencies the daemon's external dependencies
	 * @param daemons the records in the store
	 * @return the registration, not yet written
	 */
	static Registration afterPreviousStart(GatewaySettings settings, GatewayNode.Dependencies dependencies,
			RegisteredDaemons daemons) {
		long now = dependencies.loop().wallTime().toEpochMilli();
		RegisteredDaemons.VersionedRecord previous = previousRecord(settings, dependencies, daemons);
		if (previous == null) {
			return new Registration(settings, dependencies, daemons, now, 0);
		}
		return new Registration(settings, dependencies, daemons, previous.record().startAfter(now), previous.version());
	}

	/**
	 * The number of this start.
	 * @return a number greater than that of the previous start, if its record could be
	 * read
	 */
	long start() {
		return this.start;
	}

	private DaemonRecord record() {
		return new DaemonRecord(this.settings.vm().value(), this.settings.dataCentre().value(),
				GatewaySettings.formatAddress(this.settings.peers()),
				GatewaySettings.formatAddress(this.settings.callers()), false, this.start, this.settings.capacity());
	}

	/**
	 * Writes the record again if the store has come back from a copy that lacks it. The
	 * daemons of a fleet do so one after the other, on average.
	 * @param revision a revision of the store's present era
	 * @param random draws when
	 * @param daemonCount the number of daemons
	 */
	void renewIfLost(long revision, RandomGenerator random, int daemonCount) {
		if (this.version == 0 || !StoreRevision.isOfEarlierEra(this.version, revision)) {
			return;
		}
		long spread = RENEWAL_SPACING.toNanos() * Math.max(1, daemonCount);
		this.scheduler.schedule(Duration.ofNanos(random.nextLong(spread)), this::readAndRegister);
	}

	void register() {
		this.daemons.register(record(), this.version).whenComplete((written, failure) -> {
			if (failure == null) {
				this.version = written;
				return;
			}
			this.log.belief("store", DaemonRecord.KIND, "registered", false, "cause", failure.getMessage());
			this.scheduler.schedule(RETRY_DELAY, this::readAndRegister);
		});
	}

	private void readAndRegister() {
		this.daemons.find(this.settings.vm()).whenComplete((found, failure) -> {
			if (failure == null) {
				this.version = found.map(RegisteredDaemons.VersionedRecord::version).orElse(0L);
				if (found.filter((known) -> known.record().equals(record())).isPresent()) {
					return;
				}
			}
			register();
		});
	}

	private static RegisteredDaemons.VersionedRecord previousRecord(GatewaySettings settings,
			GatewayNode.Dependencies dependencies, RegisteredDaemons daemons) {
		CompletableFuture<RegisteredDaemons.VersionedRecord> found = new CompletableFuture<>();
		dependencies.loop().execute(() -> daemons.find(settings.vm()).whenComplete((registered, failure) -> {
			if (failure == null) {
				found.complete(registered.orElse(null));
			}
			else {
				found.completeExceptionally(failure);
			}
		}));
		try {
			return found.get(READ_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			dependencies.log().belief("store", DaemonRecord.KIND, "record_before", "unknown", "cause", ex.toString());
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

}
