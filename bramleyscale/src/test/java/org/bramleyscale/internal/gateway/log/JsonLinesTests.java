package org.bramleyscale.internal.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests of {@link JsonLines}.
 */
class JsonLinesTests {

	private static final int MANY = 5_000;

	@Test
	void writesOneObjectForEachLine() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		JsonLines lines = new JsonLines(output, "entry-1", () -> Instant.EPOCH);
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
	void neverWaitsForAReaderThatStopsAndSaysHowMuchWasDropped() throws Exception {
		// Symptom: all requests stand still. Sequence: whoever collects the output stops
		// reading. Cause: a full pipe blocks its writer, and the writer is the only
		// thread.
		CountDownLatch reading = new CountDownLatch(1);
		ByteArrayOutputStream read = new ByteArrayOutputStream();
		JsonLines lines = new JsonLines(new StuckOutput(reading, read), "entry-1", () -> Instant.EPOCH);
		for (int i = 0; i < MANY; i++) {
			lines.request("r" + i, "sent");
		}
		long dropped = lines.dropped();
		Truth.assertThat(dropped).isAtLeast(MANY - 1_002);
		reading.countDown();
		while (lines.dropped() > 0) {
			lines.request("later", "sent");
			Thread.onSpinWait();
		}
		lines.close();
		Truth.assertThat(read.toString(StandardCharsets.UTF_8)).contains("\"event\":\"lines dropped\",\"count\":");
	}

	/**
	 * Output that takes nothing until it is read.
	 */
	private static final class StuckOutput extends OutputStream {

		private final CountDownLatch reading;

		private final OutputStream read;

		private StuckOutput(CountDownLatch reading, OutputStream read) {
			this.reading = reading;
			this.read = read;
		}

		@Override
		public void write(int value) {
			throw new UnsupportedOperationException("lines are written whole");
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws java.io.IOException {
			try {
				Truth.assertThat(this.reading.await(15, TimeUnit.SECONDS)).isTrue();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			this.read.write(bytes, offset, length);
		}

	}

}
