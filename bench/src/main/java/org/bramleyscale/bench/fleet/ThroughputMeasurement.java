package org.bramleyscale.bench.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongFunction;
import java.util.stream.IntStream;

import com.google.common.base.Strings;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;
import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Measurement;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.status.DocumentKind;

/**
 * Measures short streamed answers through one daemon and straight from the same engines,
 * in one run, and the heap of the idle daemon before.
 *
 * <p>
 * Daemon, engines and platform are processes of their own; the callers share this one.
 * Used by one thread.
 */
public final class ThroughputMeasurement implements Measurement {

	private static final String SECONDS = "seconds";

	private static final String ENTRY = "entry";

	private static final int ENGINES = 4;

	private static final int STEP_MILLIS = 1;

	private static final int TOKENS = 16;

	private static final int[] CALLERS = { 1, 16, 64 };

	private static final Duration IDLE = Duration.ofSeconds(15);

	private static final double MILLIS = 1e6;

	private static final double MEGABYTE = 1e6;

	/** About 50 tokens. */
	private static final String PROMPT = Strings.repeat("jaw crusher in rawang ", 9);

	@Override
	public String name() {
		return "throughput";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure requests a second through one daemon, and what it adds over its engines");
		parser.addArgument("--seconds")
			.type(Integer.class)
			.setDefault(15)
			.help("how long each of the runs lasts, the first third for warming up; 15 unless given");
	}

	@Override
	public void run(Namespace arguments, PrintStream out) throws CommandException {
		int seconds = arguments.getInt(SECONDS);
		Figures figures = new Figures(name()).setting("daemons", 1)
			.setting("engines", ENGINES)
			.setting("stepMillis", STEP_MILLIS)
			.setting("answerTokens", TOKENS)
			.setting(SECONDS, seconds);
		try (ProcessFleet fleet = ProcessFleet.start(1, ENGINES, STEP_MILLIS);
				Operator operator = new Operator(fleet.daemonAddresses())) {
			String daemon = fleet.daemonAddresses().get(0);
			operator.apply(daemon, DocumentKind.REGISTER, fleet.register());
			operator.apply(daemon, DocumentKind.RULES, ProcessFleet.rules(1));
			LockSupport.parkNanos(IDLE.toNanos());
			figures.add(ENTRY, "live heap of the idle daemon", fleet.daemon(0).liveBytes() / MEGABYTE, "MB");
			for (int callers : CALLERS) {
				Duration before = fleet.daemon(0).processorTime();
				Result through = measure(callers, seconds, throughDaemon(daemon));
				Duration spent = fleet.daemon(0).processorTime().minus(before);
				Result direct = measure(callers, seconds, direct(fleet.engineAddresses()));
				add(figures, callers + " callers, through the daemon", through);
				add(figures, callers + " callers, straight to the engines", direct);
				added(figures, callers, through, direct);
				figures.add(ENTRY, callers + " callers, daemon's processor time", spent.toNanos() / 1e9 / seconds,
						"cores");
			}
			figures.add(ENTRY, "live heap of the daemon after the load", fleet.daemon(0).liveBytes() / MEGABYTE, "MB");
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILED, "the processes do not run: " + ex, ex);
		}
		figures.print(arguments, out);
	}

	private static Result measure(int callers, int seconds, LongFunction<HttpRequest.Builder> requests)
			throws CommandException {
		long start = System.nanoTime();
		long length = Duration.ofSeconds(seconds).toNanos();
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		List<CallerLoop> loops = IntStream.range(0, callers)
			.mapToObj((caller) -> new CallerLoop(client, (number) -> requests.apply(number * callers + caller), TOKENS,
					start + length / 3, start + length))
			.toList();
		List<Thread> threads = new ArrayList<>();
		for (CallerLoop loop : loops) {
			Thread thread = new Thread(loop, "caller-" + threads.size());
			thread.start();
			threads.add(thread);
		}
		join(threads);
		Result result = new Result(new Histogram(3), new Histogram(3), length * 2.0 / 3 / 1e9,
				loops.stream().mapToLong(CallerLoop::failed).sum());
		loops.forEach((loop) -> {
			result.first.add(loop.first());
			result.last.add(loop.last());
		});
		return result;
	}

	private static void join(List<Thread> threads) throws CommandException {
		try {
			for (Thread thread : threads) {
				thread.join();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CommandException(ExitCode.FAILED, "interrupted", ex);
		}
	}

	private static LongFunction<HttpRequest.Builder> throughDaemon(String daemon) {
		return (number) -> CompletionRequests.through(daemon, PROMPT, TOKENS);
	}

	private static LongFunction<HttpRequest.Builder> direct(List<String> engines) {
		String run = Long.toString(System.nanoTime(), Character.MAX_RADIX);
		return (number) -> CompletionRequests.direct(engines.get((int) (number % engines.size())),
				"caller~1~" + run + "-" + number, PROMPT, TOKENS);
	}

	private static void add(Figures figures, String what, Result result) {
		figures.add(ENTRY, what + ", requests", result.last.getTotalCount() / result.seconds, "1/s");
		figures.add(ENTRY, what + ", failed", result.failed, "requests");
		figures.add(ENTRY, what + ", first token p50", result.first.getValueAtPercentile(50) / MILLIS, "ms");
		figures.add(ENTRY, what + ", first token p99", result.first.getValueAtPercentile(99) / MILLIS, "ms");
		figures.add(ENTRY, what + ", last token p50", result.last.getValueAtPercentile(50) / MILLIS, "ms");
		figures.add(ENTRY, what + ", last token p99", result.last.getValueAtPercentile(99) / MILLIS, "ms");
	}

	private static void added(Figures figures, int callers, Result through, Result direct) {
		for (double percentile : new double[] { 50, 99 }) {
			String at = callers + " callers, added by the daemon, p" + (int) percentile;
			figures.add(ENTRY, at + " of the first token",
					(through.first.getValueAtPercentile(percentile) - direct.first.getValueAtPercentile(percentile))
							/ MILLIS,
					"ms");
			figures.add(ENTRY, at + " of the last token",
					(through.last.getValueAtPercentile(percentile) - direct.last.getValueAtPercentile(percentile))
							/ MILLIS,
					"ms");
		}
	}

	/**
	 * What callers saw.
	 *
	 * @param first times to the first token in nanoseconds
	 * @param last times to the end in nanoseconds
	 * @param seconds how long was measured
	 * @param failed answers that weren't whole
	 */
	private record Result(Histogram first, Histogram last, double seconds, long failed) {
	}

}
