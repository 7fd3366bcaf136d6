package org.bramleyscale.bench.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Measurement;
import org.bramleyscale.bench.Slope;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.status.OperatorJson;

/**
 * Counts the platform calls of daemons in processes of their own, idle and under load.
 *
 * <p>
 * Used by one thread.
 */
public final class PlatformMeasurement implements Measurement {

	private static final String SECONDS = "seconds";

	private static final String DUTY = "platform";

	private static final String ALL = "all";

	private static final int[] DAEMONS = { 3, 5, 7, 9 };

	private static final int ENGINES = 7;

	private static final int STEP_MILLIS = 5;

	private static final int TOKENS = 16;

	private static final int CALLERS = 8;

	private static final Duration SETTLE = Duration.ofSeconds(15);

	@Override
	public String name() {
		return "platform";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("count platform calls a second, idle and under load, by the number of daemons");
		parser.addArgument("--seconds")
			.type(Integer.class)
			.setDefault(30)
			.help("how long each count lasts, 30 unless given");
	}

	@Override
	public void run(Namespace arguments, PrintStream out) throws CommandException {
		int seconds = arguments.getInt(SECONDS);
		Figures figures = new Figures(name()).setting("engines", ENGINES).setting(SECONDS, seconds);
		Map<Integer, Double> idle = new TreeMap<>();
		Map<Integer, Double> load = new TreeMap<>();
		for (int daemons : DAEMONS) {
			try (ProcessFleet fleet = ProcessFleet.start(daemons, ENGINES, STEP_MILLIS);
					Operator operator = new Operator(fleet.daemonAddresses())) {
				String first = fleet.daemonAddresses().get(0);
				operator.apply(first, DocumentKind.REGISTER, fleet.register());
				operator.apply(first, DocumentKind.RULES, ProcessFleet.rules(1));
				LockSupport.parkNanos(SETTLE.toNanos());
				idle.put(daemons, count(figures, daemons + " daemons, idle", fleet, seconds));
				List<Thread> callers = load(fleet, seconds);
				load.put(daemons, count(figures, daemons + " daemons, load", fleet, seconds));
				for (Thread caller : callers) {
					caller.join();
				}
			}
			catch (IOException ex) {
				throw new CommandException(ExitCode.FAILED, "the fleet does not run: " + ex, ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new CommandException(ExitCode.FAILED, "interrupted", ex);
			}
		}
		figures.add(DUTY, "calls, idle", Slope.of(idle), "1/s", "daemon");
		figures.add(DUTY, "calls, load", Slope.of(load), "1/s", "daemon");
		figures.print(arguments, out);
	}

	private static double count(Figures figures, String at, ProcessFleet fleet, int seconds)
			throws IOException, InterruptedException {
		Map<String, Long> before = calls(fleet);
		LockSupport.parkNanos(Duration.ofSeconds(seconds).toNanos());
		Map<String, Long> after = calls(fleet);
		after.forEach((operation, count) -> figures.add(DUTY, at + ", " + operation,
				(double) (count - before.getOrDefault(operation, 0L)) / seconds, "1/s"));
		return (double) (after.get(ALL) - before.get(ALL)) / seconds;
	}

	private static Map<String, Long> calls(ProcessFleet fleet) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + fleet.platformAddress() + "/admin/calls"))
			.build();
		String body = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).body();
		Map<String, Long> calls = new LinkedHashMap<>();
		OperatorJson.read(body, JsonNode.class)
			.fields()
			.forEachRemaining((field) -> calls.put(field.getKey(), field.getValue().asLong()));
		calls.put(ALL, calls.values().stream().mapToLong(Long::longValue).sum());
		return calls;
	}

	private static List<Thread> load(ProcessFleet fleet, int seconds) {
		long until = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
		HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
		List<Thread> threads = new ArrayList<>();
		for (int caller = 0; caller < CALLERS; caller++) {
			String daemon = fleet.daemonAddresses().get(caller % fleet.daemonAddresses().size());
			Thread thread = new Thread(new CallerLoop(client,
					(number) -> CompletionRequests.through(daemon, "short notice", TOKENS), TOKENS, 0, until));
			thread.start();
			threads.add(thread);
		}
		return threads;
	}

}
