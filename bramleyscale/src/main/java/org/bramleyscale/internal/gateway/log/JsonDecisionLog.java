package org.bramleyscale.internal.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Writes the decision log as lines of JSON from a dedicated thread.
 *
 * <p>
 * Invariant: a caller never blocks. The reader of the output may stop reading, and a
 * daemon that waited for it would delay every request for the sake of a log. Lines are
 * therefore queued up to a bound; those beyond it are dropped, and the next line that
 * fits reports their number. Safe for use by multiple threads.
 */
public final class JsonDecisionLog implements DecisionLog, AutoCloseable {

	/**
	 * Maximum number of queued lines: about two seconds of the highest rate at which a
	 * daemon writes (some 400 lines a second while all its requests fail), and 250 KB of
	 * memory.
	 */
	private static final int MAX_QUEUED_LINES = 1_000;

	private static final Duration MAX_CLOSE_TIME = Duration.ofMillis(200);

	private static final String END_MARKER = "";

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final Supplier<Instant> time;

	private final String daemon;

	private final Duration maxCloseTime;

	private final Thread writer;

	/**
	 * Starts the writer.
	 * @param output receives the lines
	 * @param daemon the daemon's name, which is part of each line
	 * @param time the time of day
	 */
	public JsonDecisionLog(OutputStream output, String daemon, Supplier<Instant> time) {
		this(output, daemon, time, MAX_CLOSE_TIME);
	}

	JsonDecisionLog(OutputStream output, String daemon, Supplier<Instant> time, Duration maxCloseTime) {
		this.maxCloseTime = maxCloseTime;
		this.time = time;
		this.daemon = daemon;
		this.writer = new Thread(() -> writeTo(output), "log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	public void write(String kind, Object[] subject, Object[] fields) {
		StringBuilder line = new StringBuilder(192);
		line.append("{\"time\":\"").append(this.time.get()).append("\",\"daemon\":");
		appendQuoted(line, this.daemon);
		line.append(",\"kind\":\"").append(kind).append('"');
		append(line, subject);
		append(line, fields);
		offer(line.append("}\n").toString());
	}

	/**
	 * Returns the number of lines that were dropped and not yet reported.
	 * @return the number
	 */
	public long dropped() {
		return this.dropped.get();
	}

	/**
	 * Writes the queued lines and the number of dropped ones, and ends the writer,
	 * waiting for both only briefly.
	 */
	@Override
	public void close() {
		long end = System.nanoTime() + this.maxCloseTime.toNanos();
		try {
			long unreported = this.dropped.getAndSet(0);
			boolean fits = unreported == 0 || offerUntil(end, droppedLine(unreported));
			if (fits && offerUntil(end, END_MARKER)) {
				this.writer.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean offerUntil(long end, String line) throws InterruptedException {
		return this.queue.offer(line, Math.max(0, end - System.nanoTime()), TimeUnit.NANOSECONDS);
	}

	private static String droppedLine(long count) {
		return "{\"kind\":\"daemon\",\"event\":\"lines dropped\",\"count\":" + count + "}\n";
	}

	private void offer(String line) {
		long unreported = this.dropped.get();
		if (unreported > 0 && this.queue.remainingCapacity() > 1 && this.dropped.compareAndSet(unreported, 0)) {
			this.queue.offer(droppedLine(unreported));
		}
		if (!this.queue.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	private void writeTo(OutputStream output) {
		try {
			for (String line = this.queue.take(); !line.equals(END_MARKER); line = this.queue.take()) {
				output.write(line.getBytes(StandardCharsets.UTF_8));
				if (this.queue.isEmpty()) {
					output.flush();
				}
			}
			output.flush();
		}
		catch (IOException ex) {
			// Standard output has failed, so there is nowhere left to report it.
			this.dropped.incrementAndGet();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void append(StringBuilder line, Object[] fields) {
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(",\"").append(fields[i]).append("\":");
			Object value = fields[i + 1];
			if (value == null || value instanceof Number || value instanceof Boolean) {
				line.append(value);
			}
			else {
				appendQuoted(line, value.toString());
			}
		}
	}

	private static void appendQuoted(StringBuilder line, String text) {
		line.append('"');
		JsonStringEncoder.getInstance().quoteAsString(text, line);
		line.append('"');
	}

}
