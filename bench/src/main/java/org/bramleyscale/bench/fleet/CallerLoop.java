package org.bramleyscale.bench.fleet;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;

/**
 * One caller that sends its next request as soon as the last one has ended.
 *
 * <p>
 * Times are measured from the sending of a request. Confined to the thread that runs it.
 */
final class CallerLoop implements Runnable {

	private static final Pattern TOKENS = Pattern.compile("\"tokens\":(\\d+)");

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private final HttpClient client;

	private final LongFunction<HttpRequest.Builder> requests;

	private final int tokens;

	private final long recordFrom;

	private final long until;

	private final Histogram first = new Histogram(3);

	private final Histogram last = new Histogram(3);

	private long sent;

	private long failed;

	/**
	 * Makes a caller.
	 * @param client its HTTP client
	 * @param requests makes the request of a number
	 * @param tokens how many tokens make a whole answer
	 * @param recordFrom the monotonic time from which requests count
	 * @param until the monotonic time at which it stops
	 */
	CallerLoop(HttpClient client, LongFunction<HttpRequest.Builder> requests, int tokens, long recordFrom, long until) {
		this.client = client;
		this.requests = requests;
		this.tokens = tokens;
		this.recordFrom = recordFrom;
		this.until = until;
	}

	Histogram first() {
		return this.first;
	}

	Histogram last() {
		return this.last;
	}

	long failed() {
		return this.failed;
	}

	@Override
	public void run() {
		while (System.nanoTime() - this.until < 0) {
			HttpRequest request = this.requests.apply(this.sent++).timeout(TIMEOUT).build();
			long start = System.nanoTime();
			Answer answer = answer(request);
			long end = System.nanoTime();
			if (start - this.recordFrom >= 0) {
				record(answer, start, end);
			}
		}
	}

	private void record(Answer answer, long start, long end) {
		if (answer.tokens != this.tokens) {
			this.failed++;
			return;
		}
		this.first.recordValue(answer.firstAt - start);
		this.last.recordValue(end - start);
	}

	private Answer answer(HttpRequest request) {
		Answer answer = new Answer();
		try {
			HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
			try (Stream<String> lines = response.body()) {
				for (Iterator<String> each = lines.iterator(); each.hasNext();) {
					answer.take(each.next());
				}
			}
		}
		catch (IOException | RuntimeException ex) {
			// Too few tokens have come, so it counts as failed.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return answer;
	}

	/**
	 * What has come of one answer.
	 */
	private static final class Answer {

		private long firstAt;

		private int tokens;

		private void take(String line) {
			Matcher matcher = TOKENS.matcher(line);
			if (matcher.find()) {
				int count = Integer.parseInt(matcher.group(1));
				if (this.tokens == 0 && count > 0) {
					this.firstAt = System.nanoTime();
				}
				this.tokens += count;
			}
		}

	}

}
