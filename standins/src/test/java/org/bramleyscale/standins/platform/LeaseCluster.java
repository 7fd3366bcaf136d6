package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.lease.Lease;
import org.bramleyscale.internal.lease.LeaseManager;
import org.bramleyscale.internal.lease.LeaseSettings;
import org.bramleyscale.internal.lease.Leases.LeaseListener;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Several lease managers that share one platform and a manual clock and try to acquire
 * the same lease.
 *
 * <p>
 * Whenever time advances it checks that at most one of them holds the lease, and that the
 * number of each later tenure is greater.
 */
final class LeaseCluster {

	static final String LEASE = "loads-quan1";

	static final LeaseSettings SETTINGS = LeaseSettings.DEFAULT;

	private static final Duration STEP = Duration.ofMillis(50);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final PlatformService platform = new PlatformService(this.scheduler, PlatformLimits.DEFAULT);

	private final List<Daemon> daemons;

	private final List<Long> numbers = new ArrayList<>();

	LeaseCluster(int size) {
		this(size, CALL_TIMEOUT);
	}

	LeaseCluster(int size, Duration callTimeout) {
		this.daemons = IntStream.range(0, size).mapToObj((index) -> new Daemon(index, callTimeout)).toList();
	}

	ManualScheduler scheduler() {
		return this.scheduler;
	}

	PlatformService platform() {
		return this.platform;
	}

	PlatformFaults faults() {
		return this.platform.faults();
	}

	Daemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<Daemon> holders() {
		return this.daemons.stream().filter(Daemon::holds).toList();
	}

	List<Long> numbers() {
		return this.numbers;
	}

	/**
	 * Lets the first daemon acquire the lease, then lets the others try to.
	 * @return this cluster
	 */
	LeaseCluster started() {
		for (Daemon daemon : this.daemons) {
			daemon.acquire();
			advance(Duration.ofMillis(100));
		}
		Truth.assertThat(holders()).containsExactly(daemon(0));
		return this;
	}

	void advance(Duration time) {
		long end = this.scheduler.nanos() + time.toNanos();
		while (this.scheduler.nanos() < end) {
			long remaining = end - this.scheduler.nanos();
			this.scheduler.advance(Duration.ofNanos(Math.min(remaining, STEP.toNanos())));
			Truth.assertThat(holders().size()).isAtMost(1);
			Truth.assertThat(this.numbers).isInStrictOrder();
		}
	}

	/**
	 * One daemon with its lease manager, which can be paused or partitioned.
	 */
	final class Daemon implements LeaseListener {

		private final PausableScheduler ownScheduler;

		private final InMemoryObjectStore store;

		private final LeaseManager manager;

		private final List<String> events = new ArrayList<>();

		private Daemon(int index, Duration timeout) {
			LeaseCluster cluster = LeaseCluster.this;
			this.ownScheduler = new PausableScheduler(cluster.scheduler);
			this.store = new InMemoryObjectStore(this.ownScheduler, cluster.platform, timeout);
			Incarnation self = new Incarnation(new VmId("entry-" + index), 1);
			this.manager = new LeaseManager(this.ownScheduler, this.store, self, SETTINGS, new Random(index),
					new MetricRegistry());
		}

		PausableScheduler scheduler() {
			return this.ownScheduler;
		}

		InMemoryObjectStore store() {
			return this.store;
		}

		LeaseManager manager() {
			return this.manager;
		}

		List<String> events() {
			return this.events;
		}

		void acquire() {
			this.manager.acquire(LEASE, this);
		}

		boolean holds() {
			return this.manager.lease(LEASE).filter(Lease::held).isPresent();
		}

		@Override
		public void acquired(Lease lease) {
			Truth.assertThat(lease.held()).isTrue();
			this.events.add("taken " + lease.number());
			LeaseCluster.this.numbers.add(lease.number());
		}

		@Override
		public void lost(Lease lease) {
			Truth.assertThat(lease.held()).isFalse();
			this.events.add("lost " + lease.number());
		}

	}

}
