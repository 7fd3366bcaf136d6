package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.platform.HttpObjectStore;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.Test;

class SilentConnectionTests {

	private static final ObjectKey KEY = new ObjectKey("lease", "loads-quan1");

	private static final int CONNECTIONS = 4;

	@Test
	void oneTimeoutIsEnoughToLeaveSilentConnections() throws Exception {
		// Symptom: successive calls of one daemon time out although the platform works.
		// Sequence: several connections are open and idle; a network device between the
		// two ends drops their state without closing them.
		// Cause: each call takes the next dead connection from the pool.
		EventLoop loop = new EventLoop("caller");
		try (SilentServer server = new SilentServer(CONNECTIONS); HttpExecution execution = new HttpExecution(loop)) {
			HttpObjectStore store = new HttpObjectStore(loop, execution, server.address(), Duration.ofSeconds(3),
					new MetricRegistry());
			List<CompletableFuture<Optional<StoredObject>>> opening = new ArrayList<>();
			for (int call = 0; call < CONNECTIONS; call++) {
				opening.add(read(loop, store));
			}
			for (CompletableFuture<Optional<StoredObject>> call : opening) {
				Truth.assertThat(call.get(60, TimeUnit.SECONDS)).isEqualTo(Optional.empty());
			}
			Throwable failure = read(loop, store).handle((found, ex) -> ex).get(60, TimeUnit.SECONDS);
			Truth.assertThat(failure).isInstanceOf(PlatformException.class);
			Truth.assertThat(read(loop, store).get(60, TimeUnit.SECONDS)).isEqualTo(Optional.empty());
		}
		finally {
			loop.close();
		}
	}

	private static CompletableFuture<Optional<StoredObject>> read(EventLoop loop, HttpObjectStore store) {
		CompletableFuture<Optional<StoredObject>> result = new CompletableFuture<>();
		loop.execute(() -> store.read(KEY).whenComplete((found, failure) -> {
			if (failure == null) {
				result.complete(found);
			}
			else {
				result.completeExceptionally(failure);
			}
		}));
		return result;
	}

}
