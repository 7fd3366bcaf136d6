package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Collects what a {@link ConfigurationService} needs; not safe for use by multiple
 * threads.
 */
public final class ConfigurationServiceBuilder {

	private static final Duration DEFAULT_STALE_AFTER = Duration.ofSeconds(5);

	private static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(1);

	private static final int DEFAULT_CHUNK_BYTES = 32 * 1024;

	VmId self;

	Scheduler scheduler;

	RandomGenerator random;

	ObjectStore objects;

	PeerNetwork network;

	Relays relays;

	MetricRegistry metrics = new MetricRegistry();

	Duration staleAfter = DEFAULT_STALE_AFTER;

	Duration watchWait = DEFAULT_WATCH_WAIT;

	int chunkBytes = DEFAULT_CHUNK_BYTES;

	ConfigurationServiceBuilder() {
	}

	/**
	 * Sets the VM of this daemon. Required.
	 * @param vm the VM
	 * @return this builder
	 */
	public ConfigurationServiceBuilder self(VmId vm) {
		this.self = vm;
		return this;
	}

	/**
	 * Sets the daemon's scheduler. Required.
	 * @param given the scheduler
	 * @return this builder
	 */
	public ConfigurationServiceBuilder scheduler(Scheduler given) {
		this.scheduler = given;
		return this;
	}

	/**
	 * Sets the source of randomness. Required.
	 * @param given the source
	 * @return this builder
	 */
	public ConfigurationServiceBuilder random(RandomGenerator given) {
		this.random = given;
		return this;
	}

	/**
	 * Sets the platform's object API. Required.
	 * @param given the platform
	 * @return this builder
	 */
	public ConfigurationServiceBuilder objects(ObjectStore given) {
		this.objects = given;
		return this;
	}

	/**
	 * Sets the network to other daemons. Required.
	 * @param given the network
	 * @return this builder
	 */
	public ConfigurationServiceBuilder network(PeerNetwork given) {
		this.network = given;
		return this;
	}

	/**
	 * Sets what is known of the daemons around this one. Required.
	 * @param given the view
	 * @return this builder
	 */
	public ConfigurationServiceBuilder relays(Relays given) {
		this.relays = given;
		return this;
	}

	/**
	 * Sets where to count.
	 * @param given the registry
	 * @return this builder
	 */
	public ConfigurationServiceBuilder metrics(MetricRegistry given) {
		this.metrics = given;
		return this;
	}

	/**
	 * Sets how long a configuration counts as in force after its last confirmation.
	 * @param given the time, 5 s by default
	 * @return this builder
	 */
	public ConfigurationServiceBuilder staleAfter(Duration given) {
		this.staleAfter = given;
		return this;
	}

	/**
	 * Sets how long the platform may hold a waiting watch; well below the time after
	 * which a configuration is stale.
	 * @param given the time, 1 s by default
	 * @return this builder
	 */
	public ConfigurationServiceBuilder watchWait(Duration given) {
		this.watchWait = given;
		return this;
	}

	/**
	 * Sets the largest content of one message; well below the bound on frames.
	 * @param given the number of bytes, 32 KB by default
	 * @return this builder
	 */
	public ConfigurationServiceBuilder chunkBytes(int given) {
		this.chunkBytes = given;
		return this;
	}

	/**
	 * Builds the service, which does nothing until it is started.
	 * @return the service
	 */
	public ConfigurationService build() {
		Objects.requireNonNull(this.self, "configuration service needs a VM");
		Objects.requireNonNull(this.scheduler, "configuration service needs a scheduler");
		Objects.requireNonNull(this.random, "configuration service needs a source of randomness");
		Objects.requireNonNull(this.objects, "configuration service needs the platform");
		Objects.requireNonNull(this.network, "configuration service needs a network");
		Objects.requireNonNull(this.relays, "configuration service needs a view of the daemons around");
		return new ConfigurationService(this);
	}

}
