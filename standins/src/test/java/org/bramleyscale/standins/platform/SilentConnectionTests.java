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
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.Test;

class SilentConnectionTests {

	private static final ObjectKey KEY = new ObjectKey("lease", "loads-quan1");

	private static final int CONNECTIONS = 4;

	/** Guards against calls that time out on connections which went silent earlier. */
	@Test
	void noCallUsesAConnectionThatWentSilent() throws Exception {
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
