package org.bramleyscale.internal.gateway.follow;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.gateway.load.LoadSummary;
import org.bramleyscale.internal.gateway.load.LoadUpdate;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of a relay on a link of 14 Mbit/s with thirty daemons that receive the document
 * only from it, while it sends sums of the load of 72 endpoints five times a second.
 */
class SlowLinkTests {

	private static final double LINK_BYTES_PER_MILLI = 14_000_000 / 8 / 1_000.0;

	private static final int DAEMONS = 30;

	private static final long CONGESTED_BYTES = 16 * 1024;

	/** The time within which a version must be in force on all daemons. */
	private static final Duration WITHIN = Duration.ofSeconds(3);

	private static final String KIND = "config";

	private final ManualScheduler scheduler = new ManualScheduler();

	private final MessageCodec codec = codec();

	private final Map<VmId, Daemon> daemons = new TreeMap<>((left, right) -> left.value().compareTo(right.value()));

	private final Daemon relay = new Daemon("relay");

	private final Random random = new Random(1);

	@ParameterizedTest
	@CsvSource({
			// routes, versions, ms between them
			"270, 1, 1000", "270, 25, 80", "270, 12, 330", "1400, 12, 330", "1400, 25, 80", "2040, 2, 1730" })
	void eachVersionIsInForceInTimeOnASlowLink(int routes, int versions, int pause) {
		// Symptom: a revoked key still works after three seconds, and a new route is
		// unknown. Sequence: versions follow in quick succession; the relay sends each of
		// them in full to each daemon, in addition to its sums. Cause: every version
		// queues behind all earlier ones.
		for (int i = 0; i < DAEMONS; i++) {
			Daemon daemon = new Daemon("vm-" + (10 + i));
			this.daemons.put(daemon.self.vm(), daemon);
		}
		this.scheduler.repeat(Duration.ofMillis(200), this::sendSums);
		this.scheduler.advance(Duration.ofSeconds(1));
		List<Long> readAt = new ArrayList<>();
		for (int version = 1; version <= versions; version++) {
			readAt.add(this.scheduler.nanos());
			this.relay.objectCopies.applyChanges(new WatchBatch(version, false, List.of(document(version, routes))));
			this.relay.copies.push(KIND, version - 1, Duration.ofDays(1), true);
			this.scheduler.advance(Duration.ofMillis(pause));
		}
		this.scheduler.advance(WITHIN);
		this.daemons.values().forEach((daemon) -> {
			for (int version = 1; version <= versions; version++) {
				Long inForce = daemon.inForceAt.ceilingEntry((long) version).getValue();
				Truth.assertWithMessage(daemon.self + " version " + version)
					.that(Duration.ofNanos(inForce - readAt.get(version - 1)))
					.isLessThan(WITHIN);
			}
		});
	}

	/**
	 * Sends sums as {@link LoadExchange} does, to the daemons whose connections aren't
	 * congested.
	 */
	private void sendSums() {
		List<LoadUpdate.Share> shares = new ArrayList<>();
		for (int i = 0; i < 72; i++) {
			shares.add(new LoadUpdate.Share("i-" + i + "@" + this.random.nextInt(1_000_000), 3, 20, 15_000, 10, 30, 0,
					250));
		}
		LoadSummary sum = new LoadSummary(true, true, shares, List.of(), Map.of(), Set.of());
		this.relay.sendAll(this.daemons.keySet().stream().filter((vm) -> !this.relay.congested(vm)).toList(), sum);
	}

	private StoredObject document(int version, int routes) {
		Random names = new Random(7);
		StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
		for (int i = 0; i < routes; i++) {
			text.append("{\"name\":\"r-").append(Long.toString(names.nextLong() >>> 1, 36), 0, 7);
			text.append("\",\"host\":\"h").append(names.nextInt(100)).append(".example\",\"path_prefix\":\"/");
			text.append(Long.toString(names.nextLong() >>> 1, 36), 0, 7);
			text.append("/\",\"route_kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":1513,");
			text.append("\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":2,\"public\":false,\"sticky\":true,");
			text.append("\"resumable\":true,\"gap_target_ms\":600},");
		}
		return new StoredObject(new ObjectKey(KIND, "main"), version, text.toString().getBytes(StandardCharsets.UTF_8));
	}

	private static MessageCodec codec() {
		MessageCatalog.Builder builder = MessageCatalog.builder();
		PeerCopies.register(builder);
		LoadExchange.register(builder);
		return new MessageCodec(builder.build());
	}

	/**
	 * A daemon whose connections share one link that transmits in the order of sending.
	 * Used by one thread.
	 */
	private final class Daemon implements PeerNetwork, UpdateRoutes {

		private final Incarnation self;

		private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

		private final TreeMap<Long, Long> inForceAt = new TreeMap<>();

		private final Map<VmId, Long> queued = new HashMap<>();

		private final ObjectCopies objectCopies = new ObjectCopies(
				(object) -> this.inForceAt.put(object.revision(), SlowLinkTests.this.scheduler.nanos()));

		private final PeerCopies copies;

		private double idleAt;

		private Daemon(String name) {
			this.self = new Incarnation(new VmId(name), 1);
			this.objectCopies.applyList(new WatchBatch(0, false, List.of()));
			this.copies = new PeerCopies(this.self, SlowLinkTests.this.scheduler, this, Map.of(KIND, this.objectCopies),
					this, DecisionLog.NONE);
			listen(LoadSummary.class, (from, message) -> {
			});
		}

		@Override
		@SuppressWarnings("unchecked")
		public boolean send(VmId to, PeerMessage message) {
			byte[] payload = SlowLinkTests.this.codec.encode(message);
			Daemon other = to.equals(SlowLinkTests.this.relay.self.vm()) ? SlowLinkTests.this.relay
					: SlowLinkTests.this.daemons.get(to);
			double now = SlowLinkTests.this.scheduler.nanos() / 1e6;
			this.idleAt = Math.max(now, this.idleAt) + payload.length / LINK_BYTES_PER_MILLI;
			this.queued.merge(to, (long) payload.length, Long::sum);
			PeerListener<PeerMessage> listener = (PeerListener<PeerMessage>) other.listeners.get(message.getClass());
			SlowLinkTests.this.scheduler.schedule(Duration.ofNanos((long) ((this.idleAt - now) * 1e6)), () -> {
				this.queued.merge(to, (long) -payload.length, Long::sum);
				listener.received(this.self, message);
			});
			return true;
		}

		@Override
		public boolean congested(VmId to) {
			return this.queued.getOrDefault(to, 0L) >= CONGESTED_BYTES;
		}

		@Override
		public Set<VmId> connected() {
			return Set.copyOf(originRecipients());
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.put(type, listener);
		}

		@Override
		public Collection<VmId> originRecipients() {
			boolean isRelay = this == SlowLinkTests.this.relay;
			return isRelay ? SlowLinkTests.this.daemons.keySet().stream().collect(Collectors.toSet())
					: Set.of(SlowLinkTests.this.relay.self.vm());
		}

		@Override
		public Collection<VmId> forwardRecipients(VmId from) {
			return List.of();
		}

	}

}
