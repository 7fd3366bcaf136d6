package org.bramleyscale.daemon.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.demo.load.DemoCaller;
import org.bramleyscale.daemon.demo.load.LoadPlan;
import org.bramleyscale.daemon.demo.load.LoadRun;
import org.bramleyscale.daemon.demo.load.Tally;
import org.bramleyscale.daemon.demo.load.Workload;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.time.EventLoop;
import org.bramleyscale.standins.engine.ExpectedAnswer;

/**
 * Runs a whole small fleet under a mixed load, changes its configuration midway, and
 * counts what became of each request.
 *
 * <p>
 * Used by one thread, which waits.
 */
final class Demo {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration LONGEST_END = Duration.ofSeconds(90);

	private static final double REQUESTS_PER_SECOND = 20;

	private static final int LONGEST_PROMPT = 650_000;

	private static final int WEIGHT = 1;

	private static final int CHANGED_WEIGHT = 2;

	private static final int PARTS = 4;

	private final DemoOptions options;

	private final DemoFleet fleet;

	private final PrintStream progress;

	/**
	 * Makes a demonstration.
	 * @param options what was asked for
	 * @param fleet the fleet, which doesn't run yet
	 * @param progress takes what happens in words
	 */
	Demo(DemoOptions options, DemoFleet fleet, PrintStream progress) {
		this.options = options;
		this.fleet = fleet;
		this.progress = progress;
	}

	DemoResult run() throws CommandException {
		this.fleet.start();
		this.progress.println("Started " + this.fleet);
		this.progress.println("Status page: http://" + this.fleet.daemonAddresses().get(0)
				+ "/status (any name, password " + DemoFleet.OPERATOR_KEY + ")");
		EventLoop loop = new EventLoop("demo-callers");
		try (HttpExecution execution = new HttpExecution(loop);
				DaemonClient operator = new DaemonClient(this.fleet.daemonAddresses(), DemoFleet.OPERATOR_KEY,
						CALL_TIMEOUT)) {
			ConfigurationChange change = new ConfigurationChange(operator, this.fleet.daemonAddresses());
			long version = configure(change);
			return load(loop, execution, change, version);
		}
		finally {
			loop.close();
		}
	}

	private long configure(ConfigurationChange change) throws CommandException {
		long registered = change.apply(DocumentKind.REGISTER, this.fleet.documents().register(), 0);
		long version = change.apply(DocumentKind.RULES, this.fleet.documents().rules(WEIGHT), registered);
		change.awaitInForce(version);
		this.progress.println("Configuration " + version + " is in force at all daemons");
		return version;
	}

	private DemoResult load(EventLoop loop, HttpExecution execution, ConfigurationChange change, long version)
			throws CommandException {
		LoadPlan plan = new LoadPlan(new SplittableRandom(this.options.seed()), REQUESTS_PER_SECOND);
		LoadRun run = new LoadRun(loop, plan, callers(loop, execution), this.options.length());
		this.progress.println("Sending quotes, notices, manuals, trip logs and bookings for "
				+ this.options.length().toSeconds() + " s");
		CompletableFuture<Tally> done = run.start();
		long quarterNanos = this.options.length().toNanos() / PARTS;
		pause(done, quarterNanos);
		run.send(Workload.MANUAL, LONGEST_PROMPT);
		pause(done, quarterNanos);
		long timeToForceMillis = change(change, version);
		if (this.options.kill()) {
			pause(done, quarterNanos);
			this.progress.println("Killed " + this.fleet.killOne());
		}
		Tally tally = await(done);
		tally.details().forEach(this.progress::println);
		return DemoResult.of(tally, tally.audit(this.fleet.bookingRuns()), timeToForceMillis,
				(int) this.options.length().toSeconds(), this.options.seed());
	}

	private long change(ConfigurationChange change, long version) throws CommandException {
		long startNanos = System.nanoTime();
		long changed = change.apply(DocumentKind.RULES, this.fleet.documents().rules(CHANGED_WEIGHT), version);
		change.awaitInForce(changed);
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		this.progress.println("Configuration " + changed + " is in force at all daemons after " + millis + " ms");
		return millis;
	}

	private Map<String, DemoCaller> callers(EventLoop loop, HttpExecution execution) {
		Map<String, DemoCaller> callers = new LinkedHashMap<>();
		for (Workload workload : Workload.values()) {
			callers.computeIfAbsent(workload.account(),
					(account) -> new DemoCaller(loop, execution, DemoDocuments.key(account),
							this.fleet.daemonAddresses(), (prompt, tokens) -> ExpectedAnswer.text(prompt, 0, tokens)));
		}
		return callers;
	}

	private static void pause(CompletableFuture<Tally> done, long nanos) throws CommandException {
		try {
			done.get(nanos, TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException ex) {
			// The load goes on, as it should.
		}
		catch (InterruptedException | ExecutionException ex) {
			throw interrupted(ex);
		}
	}

	private Tally await(CompletableFuture<Tally> done) throws CommandException {
		try {
			return done.get(this.options.length().plus(LONGEST_END).toNanos(), TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException | InterruptedException | ExecutionException ex) {
			throw interrupted(ex);
		}
	}

	private static CommandException interrupted(Exception cause) {
		return new CommandException(ExitCode.FAILED, "the load did not end: " + cause, cause);
	}

}
