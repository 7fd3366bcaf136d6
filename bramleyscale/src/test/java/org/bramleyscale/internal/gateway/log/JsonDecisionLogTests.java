package org.bramleyscale.internal.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests of {@link JsonDecisionLog}.
 */
class JsonDecisionLogTests {

	private static final int LINES = 5_000;

	@Test
	void writesOneObjectForEachLine() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		JsonDecisionLog lines = new JsonDecisionLog(output, "entry-1", () -> Instant.EPOCH);
		lines.request("r1", "refused", "reason", "a \"quote\" and\na line", "status", 503, "more", null);
		lines.close();
		JsonNode line = new ObjectMapper().readTree(output.toString(StandardCharsets.UTF_8));
		Truth.assertThat(line.path("daemon").asText()).isEqualTo("entry-1");
		Truth.assertThat(line.path("id").asText()).isEqualTo("r1");
		Truth.assertThat(line.path("reason").asText()).isEqualTo("a \"quote\" and\na line");
		Truth.assertThat(line.path("status").asInt()).isEqualTo(503);
		Truth.assertThat(line.path("more").isNull()).isTrue();
	}

	@Test
	@Timeout(20)
	void neverBlocksOnAStalledReaderAndReportsDroppedLines() throws Exception {
		// Guards against blocking all requests on the log: the reader of the output stops
		// reading, the pipe fills up and blocks its writer, which must not be the only
		// thread.
		CountDownLatch unblocked = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		JsonDecisionLog lines = new JsonDecisionLog(new BlockedOutput(unblocked, written), "entry-1",
				() -> Instant.EPOCH);
		for (int i = 0; i < LINES; i++) {
			lines.request("r" + i, "sent");
		}
		long dropped = lines.dropped();
		Truth.assertThat(dropped).isAtLeast(LINES - 1_002);
		unblocked.countDown();
		while (lines.dropped() > 0) {
			lines.request("later", "sent");
			Thread.onSpinWait();
		}
		lines.close();
		Truth.assertThat(written.toString(StandardCharsets.UTF_8)).contains("\"event\":\"lines dropped\",\"count\":");
	}

	/** Guards against losing the last lines of a daemon whose reader is slow. */
	@Test
	@Timeout(20)
	void closeWaitsForAReaderThatGoesOn() throws Exception {
		CountDownLatch unblocked = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		JsonDecisionLog lines = new JsonDecisionLog(new BlockedOutput(unblocked, written), "entry-1",
				() -> Instant.EPOCH, Duration.ofSeconds(15));
		for (int i = 0; i < LINES; i++) {
			lines.request("r" + i, "sent");
		}
		Thread reader = new Thread(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			unblocked.countDown();
		});
		reader.start();
		lines.close();
		reader.join();
		Truth.assertThat(written.toString(StandardCharsets.UTF_8)).contains("\"event\":\"lines dropped\",\"count\":");
	}

	/**
	 * An output stream that blocks until the test unblocks it.
	 */
	private static final class BlockedOutput extends OutputStream {

		private final CountDownLatch unblocked;

		private final OutputStream written;

		private BlockedOutput(CountDownLatch unblocked, OutputStream written) {
			this.unblocked = unblocked;
			this.written = written;
		}

		@Override
		public void write(int value) {
			throw new UnsupportedOperationException("single bytes are not written");
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws java.io.IOException {
			try {
				Truth.assertThat(this.unblocked.await(15, TimeUnit.SECONDS)).isTrue();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			this.written.write(bytes, offset, length);
		}

	}

}
