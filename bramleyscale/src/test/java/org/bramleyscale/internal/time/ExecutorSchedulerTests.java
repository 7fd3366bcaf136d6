package org.bramleyscale.internal.time;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link ExecutorScheduler}.
 */
@Timeout(30)
class ExecutorSchedulerTests {

	/** Guards against an error in a task of which no log tells. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void eachFailureOfATaskIsLogged(boolean error) throws Exception {
		Logger logger = Logger.getLogger(ExecutorScheduler.class.getName());
		RecordingHandler handler = new RecordingHandler();
		logger.addHandler(handler);
		try (EventLoop loop = new EventLoop("test")) {
			loop.schedule(Duration.ofMillis(1), () -> {
				if (error) {
					throw new StackOverflowError("the test wants it");
				}
				throw new IllegalStateException("the test wants it");
			});
			LogRecord logged = handler.records.poll(10, TimeUnit.SECONDS);
			Truth.assertThat(logged.getThrown()).hasMessageThat().isEqualTo("the test wants it");
		}
		finally {
			logger.removeHandler(handler);
		}
	}

	/**
	 * Records what is logged.
	 */
	private static final class RecordingHandler extends Handler {

		private final BlockingQueue<LogRecord> records = new LinkedBlockingQueue<>();

		@Override
		public void publish(LogRecord record) {
			this.records.add(record);
		}

		@Override
		public void flush() {
			// Nothing is buffered.
		}

		@Override
		public void close() {
			// Nothing is held.
		}

	}

}
