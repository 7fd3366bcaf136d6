package org.bramleyscale.internal.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Writes lines as JSON from a thread of its own.
 *
 * <p>
 * Invariant: a caller never waits. Whoever reads the output may stop reading; a daemon
 * that waits for it would hold up every request for the sake of a log. So lines queue up
 * to a bound, those beyond it are dropped, and the next line that fits says how many.
 * Safe for use by multiple threads.
 */
public final class JsonLines implements DecisionLog, AutoCloseable {

	/**
	 * Lines that wait at most: about two seconds of the most that a daemon writes (some
	 * 400 lines a second while all its requests fail), and 250 KB of memory.
	 */
	private static final int MOST_WAITING = 1_000;

	private static final String END = "";

	private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING);

	private final AtomicLong dropped = new AtomicLong();

	private final Supplier<Instant> time;

	private final String daemon;

	private final Thread writer;

	/**
	 * Starts the writer.
	 * @param output where lines go
	 * @param daemon the daemon's name, which each line bears
	 * @param time the time of day
	 */
	public JsonLines(OutputStream output, String daemon, Supplier<Instant> time) {
		this.time = time;
		this.daemon = daemon;
		this.writer = new Thread(() -> write(output), "log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	public void line(String kind, Object[] subject, Object[] fields) {
		StringBuilder line = new StringBuilder(192);
		line.append("{\"time\":\"").append(this.time.get()).append("\",\"daemon\":");
		quote(line, this.daemon);
		line.append(",\"kind\":\"").append(kind).append('"');
		append(line, subject);
		append(line, fields);
		offer(line.append("}\n").toString());
	}

	/**
	 * How many lines were dropped and not yet reported.
	 * @return the number
	 */
	public long dropped() {
		return this.dropped.get();
	}

	/**
	 * Writes what waits and ends the writer, waiting for it for a moment only.
	 */
	@Override
	public void close() {
		if (this.waiting.offer(END)) {
			try {
				this.writer.join(200);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void offer(String line) {
		long lost = this.dropped.get();
		if (lost > 0 && this.waiting.remainingCapacity() > 1 && this.dropped.compareAndSet(lost, 0)) {
			this.waiting.offer("{\"kind\":\"daemon\",\"event\":\"lines dropped\",\"count\":" + lost + "}\n");
		}
		if (!this.waiting.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	private void write(OutputStream output) {
		try {
			for (String line = this.waiting.take(); !line.equals(END); line = this.waiting.take()) {
				output.write(line.getBytes(StandardCharsets.UTF_8));
				if (this.waiting.isEmpty()) {
					output.flush();
				}
			}
			output.flush();
		}
		catch (IOException ex) {
			// Standard output is gone, and with it the only place to say so.
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
				quote(line, value.toString());
			}
		}
	}

	private static void quote(StringBuilder line, String text) {
		line.append('"');
		JsonStringEncoder.getInstance().quoteAsString(text, line);
		line.append('"');
	}

}
