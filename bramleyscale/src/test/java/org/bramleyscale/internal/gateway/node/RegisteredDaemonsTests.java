package org.bramleyscale.internal.gateway.node;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.VmCapacity;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.platform.WatchBatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests of {@link RegisteredDaemons} with a record of another writer and a list in parts.
 */
class RegisteredDaemonsTests {

	private static final DaemonRecord SOUND = new DaemonRecord("vm-a", "east", "10.0.0.1:1", "10.0.0.1:2", false, 1,
			VmCapacity.UNKNOWN);

	static Stream<String> oddRecords() {
		return Stream.of("null", "[]", "7", "\"x\"", "", "{}", "{", "NaN", "[".repeat(30_000) + "]".repeat(30_000),
				"{\"start\":" + "9".repeat(1_200) + "}", "{\"start\":1e999999999}", "{\"vm\":\"b\"}",
				"{\"vm\":\"b\",\"dataCentre\":\"\"}", "{\"vm\":\"b c\",\"dataCentre\":\"east\"}",
				"{\"capacity\":{\"millicores\":-1,\"linkMbps\":0}}", "{\"" + "n".repeat(60_000) + "\":1}");
	}

	/** Guards against a list of daemons that is lost because of one record. */
	@ParameterizedTest
	@MethodSource("oddRecords")
	void daemonsBesideAnOddRecordAreListed(String odd) {
		RegisteredDaemons daemons = new RegisteredDaemons(listOf(odd.getBytes(StandardCharsets.UTF_8), SOUND.write()));
		Truth.assertThat(daemons.vms().join().stream().map(VmRecord::vm)).containsExactly(new VmId("vm-a"));
	}

	/** Guards against an outage that lasts until a long list is whole. */
	@Test
	void eachPartOfAListIsTold() {
		AtomicInteger answers = new AtomicInteger();
		new RegisteredDaemons(new PartialStore() {

			@Override
			public CompletableFuture<WatchBatch> list(String kind, Runnable answered) {
				answered.run();
				answered.run();
				return new CompletableFuture<>();
			}

		}).list("servers", answers::incrementAndGet);
		Truth.assertThat(answers.get()).isEqualTo(2);
	}

	private static PartialStore listOf(byte[] odd, byte[] sound) {
		return new PartialStore() {

			@Override
			public CompletableFuture<WatchBatch> listCached(String kind) {
				return CompletableFuture.completedFuture(
						new WatchBatch(9, false, List.of(new StoredObject(new ObjectKey(kind, "odd"), 5, odd),
								new StoredObject(new ObjectKey(kind, "vm-a"), 6, sound))));
			}

		};
	}

}
