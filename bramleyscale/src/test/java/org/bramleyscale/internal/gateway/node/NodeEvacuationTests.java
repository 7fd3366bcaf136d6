package org.bramleyscale.internal.gateway.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.crash.FleetCrashGuard;
import org.bramleyscale.internal.gateway.hold.NoOrders;
import org.bramleyscale.internal.gateway.http.NettyLoop;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.VmCapacity;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.status.EndpointStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests of a whole daemon with and without the setting for evacuations: which kinds it
 * reads from the store, and when it is ready.
 */
@Timeout(30)
class NodeEvacuationTests {

	private static final String DOCUMENT = "document";

	private static final String ENDPOINTS = "endpoints";

	private static final String EVACUATIONS = "evacuations";

	private static final long SETTLING_MILLIS = 1_500;

	private final NettyLoop loop = new NettyLoop("test");

	private final MetricRegistry metrics = new MetricRegistry();

	private final CountingStore store = new CountingStore();

	@AfterEach
	void stop() {
		this.loop.close();
	}

	@Test
	void withoutTheSettingNothingIsReadAndNothingIsShown() throws Exception {
		GatewayNode node = start(Optional.empty());
		TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
		Truth.assertThat(this.store.calls.keySet())
			.containsExactly(DOCUMENT, ENDPOINTS, FleetCrashGuard.KIND, DaemonRecord.KIND);
		Truth.assertThat(ask(node::ready)).isTrue();
		Truth.assertThat(ask(node::dump)).doesNotContainKey("evacuations");
		Truth.assertThat(this.metrics.getGauges()).doesNotContainKey("gateway.evacuated_data_centres");
		Truth.assertThat(ask(node::status).endpoints().get(0).state()).isEqualTo(EndpointStatus.State.USABLE);
	}

	/**
	 * Guards against a daemon that sends requests before it knows the evacuations, and
	 * against one that follows them with more than a list and a watch.
	 */
	@Test
	void isReadyOnceItKnowsTheEvacuations() throws Exception {
		GatewayNode node = start(Optional.of(Duration.ofSeconds(5)));
		TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
		Truth.assertThat(ask(node::ready)).isFalse();
		Truth.assertThat(this.store.calls).containsEntry(EVACUATIONS, 1);
		this.loop.execute(() -> this.store.evacuations.complete(this.store.batch(EVACUATIONS)));
		while (!ask(node::ready)) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
		Truth.assertThat(this.store.calls).containsEntry(EVACUATIONS, 2);
		Truth.assertThat(ask(node::dump).get(EVACUATIONS).toString()).contains("inForce=[east]");
		Truth.assertThat(this.metrics.getGauges().get("gateway.evacuated_data_centres").getValue()).isEqualTo(1);
		Truth.assertThat(ask(node::status).endpoints().get(0).state()).isEqualTo(EndpointStatus.State.EVACUATED);
	}

	private GatewayNode start(Optional<Duration> evacuationLimit) throws Exception {
		GatewaySettings settings = new GatewaySettings(new VmId("127.0.0.1"), new DataCentre("east"), freeAddress(),
				freeAddress(), List.of(), Duration.ofSeconds(1), Duration.ofSeconds(8), Duration.ofSeconds(2),
				Duration.ofSeconds(10), 0.2, 100, VmCapacity.UNKNOWN,
				GatewayFeatures.builder().evacuationLimit(evacuationLimit).build());
		GatewayNode node = GatewayNode.create(settings, new GatewayNode.Dependencies(this.loop, this.store,
				new OneEndpoint(), null, new NoOrders(), DecisionLog.NONE, this.metrics), () -> {
				});
		node.start();
		return node;
	}

	private <T> T ask(Supplier<T> question) {
		return CompletableFuture.supplyAsync(question, this.loop::execute).join();
	}

	private static InetSocketAddress freeAddress() throws Exception {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress("127.0.0.1", free.getLocalPort());
		}
	}

	/**
	 * A document and an endpoint in one data centre.
	 */
	private static final class OneEndpoint implements Documents {

		@Override
		public String catalogKind() {
			return DOCUMENT;
		}

		@Override
		public String catalogName() {
			return "main";
		}

		@Override
		public String backendKind() {
			return ENDPOINTS;
		}

		@Override
		public String evacuationKind() {
			return EVACUATIONS;
		}

		@Override
		public Catalog catalog(byte[] value) {
			return Catalog.builder(1).build();
		}

		@Override
		public Backend backend(String name, byte[] value) {
			return new Backend(EndpointStart.withUnknownStart(name), new ServiceName("quotes"),
					HostAndPort.fromParts("127.0.0.1", 9), new DataCentre("east"), 1, false);
		}

	}

	/**
	 * A store with one object of each kind that counts calls by kind. Watches aren't
	 * answered, and neither is the list of evacuations until the test does.
	 */
	private static final class CountingStore implements PartialStore {

		private static final Map<String, String> NAMES = Map.of(DOCUMENT, "main", ENDPOINTS, "engine-1", EVACUATIONS,
				"east");

		private final Map<String, Integer> calls = new ConcurrentHashMap<>();

		private final CompletableFuture<WatchBatch> evacuations = new CompletableFuture<>();

		private WatchBatch batch(String kind) {
			return new WatchBatch(7, false, NAMES.containsKey(kind)
					? List.of(new StoredObject(new ObjectKey(kind, NAMES.get(kind)), 5, new byte[1])) : List.of());
		}

		private void count(String kind) {
			this.calls.merge(kind, 1, Integer::sum);
		}

		@Override
		public CompletableFuture<Optional<StoredObject>> read(ObjectKey key) {
			count(key.kind());
			return CompletableFuture.completedFuture(Optional.empty());
		}

		@Override
		public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
			count(kind);
			return kind.equals(EVACUATIONS) ? this.evacuations : CompletableFuture.completedFuture(batch(kind));
		}

		@Override
		public CompletableFuture<WatchBatch> listCached(String kind) {
			Truth.assertThat(Set.of(EVACUATIONS)).doesNotContain(kind);
			return list(kind);
		}

		@Override
		public CompletableFuture<WatchBatch> watch(String kind, long after, Duration wait) {
			count(kind);
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
			count(key.kind());
			return CompletableFuture.completedFuture(new StoredObject(key, 8, value));
		}

	}

}
