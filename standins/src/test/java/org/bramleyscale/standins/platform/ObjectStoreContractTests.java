package org.bramleyscale.standins.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the contract of the platform's object API for each implementation.
 */
class ObjectStoreContractTests {

	private static final ObjectKey KEY = new ObjectKey("lease", "loads-quan1");

	private static final PlatformLimits LIMITS = PlatformLimits.DEFAULT.withRates(1000, 1000);

	private static final Duration SECONDS_20 = Duration.ofSeconds(20);

	private static final Duration DELAY = Duration.ofMillis(800);

	private static final byte[] VALUE = bytes("value");

	@ParameterizedTest
	@EnumSource
	void createsReadsReplacesAndDeletes(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			Truth.assertThat(fixture.call(() -> store.read(KEY))).isEqualTo(Optional.empty());
			Truth.assertThat(fixture.call(() -> store.write(KEY, VALUE, 0)).version()).isEqualTo(1);
			Truth.assertThat(fixture.call(() -> store.write(KEY, bytes("next"), 1)).version()).isEqualTo(2);
			StoredObject stored = fixture.call(() -> store.read(KEY)).orElseThrow();
			Truth.assertThat(stored.version()).isEqualTo(2);
			Truth.assertThat(stored.value()).isEqualTo(bytes("next"));
			fixture.call(() -> store.delete(KEY, 2));
			Truth.assertThat(fixture.call(() -> store.read(KEY))).isEqualTo(Optional.empty());
		}
	}

	@ParameterizedTest
	@EnumSource
	void takesTheLargestValue(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			byte[] largest = new byte[ObjectStore.MAX_VALUE_BYTES];
			largest[largest.length - 1] = 7;
			fixture.call(() -> store.write(KEY, largest, 0));
			Truth.assertThat(fixture.call(() -> store.read(KEY)).orElseThrow().value()).isEqualTo(largest);
		}
	}

	@ParameterizedTest
	@EnumSource
	void watchesFromTheListedRevision(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			fixture.call(() -> store.write(KEY, VALUE, 0));
			fixture.call(() -> store.write(new ObjectKey("other", "name"), VALUE, 0));
			WatchBatch listed = fixture.call(() -> store.list("lease"));
			Truth.assertThat(listed.changed()).hasSize(1);
			Truth.assertThat(listed.changed().get(0).key()).isEqualTo(KEY);
			CompletableFuture<WatchBatch> watch = fixture
				.call(() -> CompletableFuture.completedFuture(store.watch("lease", listed.revision(), SECONDS_20)));
			fixture.call(() -> store.write(KEY, bytes("next"), 1));
			WatchBatch batch = fixture.call(() -> watch);
			Truth.assertThat(batch.gap()).isFalse();
			Truth.assertThat(batch.changed().get(0).value()).isEqualTo(bytes("next"));
			Truth.assertThat(batch.revision()).isEqualTo(listed.revision() + 1);
		}
	}

	@ParameterizedTest
	@EnumSource
	void returnsAnEmptyBatchFromAWatchWithoutChanges(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			WatchBatch batch = fixture.call(() -> store.watch("lease", 0, Duration.ofMillis(20)));
			Truth.assertThat(batch).isEqualTo(new WatchBatch(0, false, List.of()));
		}
	}

	@ParameterizedTest
	@EnumSource
	void showsAVmOnlyAfterTheLag(Implementation implementation) throws Exception {
		VmRecord vm = new VmRecord(new VmId("entry-1"), new DataCentre("quan1"), "127.0.0.1:1", "127.0.0.1:2", true);
		Duration lag = Duration.ofMillis(400);
		try (StoreFixture fixture = implementation.start(LIMITS.withVmListLag(lag))) {
			ObjectStore store = fixture.store();
			fixture.change((service) -> service.state().putVm(vm));
			fixture.advance(lag);
			fixture.advance(lag);
			Truth.assertThat(fixture.call(store::vms)).containsExactly(vm);
		}
	}

	@Test
	void hidesAVmUntilTheLagHasPassed() throws Exception {
		VmRecord vm = new VmRecord(new VmId("entry-1"), new DataCentre("quan1"), "127.0.0.1:1", "127.0.0.1:2", false);
		try (StoreFixture fixture = new InMemoryFixture(LIMITS)) {
			fixture.change((service) -> service.state().putVm(vm));
			fixture.advance(LIMITS.vmListLag().minusMillis(1));
			Truth.assertThat(fixture.call(fixture.store()::vms)).isEmpty();
		}
	}

	@ParameterizedTest(name = "{0}: {1}")
	@MethodSource("faults")
	void reportsTheKnownOutcomeAfterAFault(Implementation implementation, FaultCase faultCase) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = (faultCase.isAnsweredAtOnce()) ? fixture.store() : fixture.shortTimeoutStore();
			PlatformFault fault = PlatformFault.of(faultCase.fault).withDelay(DELAY);
			fixture.change((service) -> service.faults().inject(fault.times(1)));
			Supplier<CompletableFuture<?>> call = () -> faultCase.call.apply(store, KEY);
			PlatformException failure = failure(fixture, call);
			Truth.assertThat(failure.kind()).isEqualTo(faultCase.expected);
			fixture.advance((faultCase.fault == PlatformFault.Kind.SLOW) ? DELAY : Duration.ZERO);
			boolean stored = fixture.call(() -> fixture.store().read(KEY)).isPresent();
			Truth.assertThat(stored).isEqualTo(faultCase.stored);
		}
	}

	static Stream<Arguments> faults() {
		return Stream.of(Implementation.values())
			.flatMap((implementation) -> Stream.of(FaultCase.values())
				.map((faultCase) -> Arguments.of(implementation, faultCase)));
	}

	@ParameterizedTest
	@EnumSource
	void returnsASlowReplyWithinTheTimeout(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			fixture.change((service) -> service.faults()
				.inject(PlatformFault.of(PlatformFault.Kind.SLOW_REPLY).withDelay(Duration.ofMillis(50)).times(1)));
			Truth.assertThat(fixture.call(() -> store.write(KEY, VALUE, 0)).version()).isEqualTo(1);
		}
	}

	@ParameterizedTest
	@EnumSource
	void refusesAStaleVersion(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			fixture.call(() -> store.write(KEY, VALUE, 0));
			Truth.assertThat(failure(fixture, () -> store.write(KEY, VALUE, 0)).kind())
				.isEqualTo(PlatformException.Kind.CONFLICT);
			Truth.assertThat(failure(fixture, () -> store.write(KEY, VALUE, 2)).kind())
				.isEqualTo(PlatformException.Kind.CONFLICT);
			Truth.assertThat(failure(fixture, () -> store.delete(KEY, 2)).kind())
				.isEqualTo(PlatformException.Kind.CONFLICT);
		}
	}

	@ParameterizedTest
	@EnumSource
	void refusesAValueOverTheLimit(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			byte[] value = new byte[ObjectStore.MAX_VALUE_BYTES + 1];
			PlatformException failure = failure(fixture, () -> fixture.store().write(KEY, value, 0));
			Truth.assertThat(failure.kind()).isEqualTo(PlatformException.Kind.TOO_LARGE);
		}
	}

	@ParameterizedTest
	@EnumSource
	void reportsAGapForARevisionOlderThanTheHistory(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS.withHistoryLength(2))) {
			ObjectStore store = fixture.store();
			for (long version = 0; version < 4; version++) {
				long expected = version;
				fixture.call(() -> store.write(KEY, VALUE, expected));
			}
			Truth.assertThat(fixture.call(() -> store.watch("lease", 1, SECONDS_20)).gap()).isTrue();
			WatchBatch recent = fixture.call(() -> store.watch("lease", 2, SECONDS_20));
			Truth.assertThat(recent.gap()).isFalse();
			Truth.assertThat(recent.changed()).hasSize(2);
		}
	}

	@ParameterizedTest
	@EnumSource
	void reportsAGapOverADeletion(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			fixture.call(() -> store.write(KEY, VALUE, 0));
			fixture.call(() -> store.delete(KEY, 1));
			WatchBatch batch = fixture.call(() -> store.watch("lease", 1, SECONDS_20));
			Truth.assertThat(batch).isEqualTo(new WatchBatch(2, true, List.of()));
		}
	}

	@ParameterizedTest
	@EnumSource
	void refusesCallsOverTheRate(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(PlatformLimits.DEFAULT.withRates(1, 1))) {
			ObjectStore store = fixture.store();
			fixture.change((service) -> {
				service.write(KEY, VALUE, 0);
				service.write(KEY, VALUE, 1);
			});
			Truth.assertThat(fixture.call(() -> store.read(KEY)).orElseThrow().version()).isEqualTo(1);
		}
	}

	@ParameterizedTest
	@EnumSource
	void countsEachCallAndAWaitingWatchAsOne(Implementation implementation) throws Exception {
		try (StoreFixture fixture = implementation.start(LIMITS)) {
			ObjectStore store = fixture.store();
			fixture.call(() -> store.write(KEY, VALUE, 0));
			fixture.call(() -> store.watch("lease", 1, Duration.ofMillis(50)));
			fixture.change((service) -> Truth.assertThat(service.state().calls())
				.containsExactly(PlatformOperation.WRITE, 1L, PlatformOperation.WATCH, 1L));
		}
	}

	@Test
	void reportsARefusedConnectionAsWithoutEffect() throws Exception {
		HttpFixture fixture = new HttpFixture(LIMITS);
		ObjectStore store = fixture.store();
		fixture.stopServer();
		PlatformException failure = failure(fixture, () -> store.write(KEY, VALUE, 0));
		Truth.assertThat(failure.kind()).isEqualTo(PlatformException.Kind.UNAVAILABLE);
		fixture.close();
	}

	private static PlatformException failure(StoreFixture fixture, Supplier<CompletableFuture<?>> call)
			throws Exception {
		Throwable failure = fixture.call(() -> call.get().handle((value, ex) -> ex));
		Truth.assertThat(failure).isInstanceOf(PlatformException.class);
		return (PlatformException) failure;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * The implementations.
	 */
	enum Implementation {

		IN_MEMORY, HTTP;

		StoreFixture start(PlatformLimits limits) throws Exception {
			return (this == IN_MEMORY) ? new InMemoryFixture(limits) : new HttpFixture(limits);
		}

	}

}
