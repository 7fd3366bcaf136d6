package org.bramleyscale.bench.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.HdrHistogram.Histogram;
import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Measurement;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.status.DocumentKind;

/**
 * Measures how long a change takes to be in force at all daemons, while one daemon is
 * killed and another one falls silent for some seconds.
 *
 * <p>
 * The time runs from the sending of the change to the moment at which the last daemon
 * that runs shows its version. A daemon that is stopped can't show anything; its time
 * runs from the moment at which it goes on. Used by one thread.
 */
public final class ForceMeasurement implements Measurement {

	private static final String CHANGES = "changes";

	private static final String DUTY = "configuration";

	private static final int DAEMONS = 7;

	private static final int KILLED = DAEMONS - 1;

	private static final int SILENT = DAEMONS - 2;

	private static final int ASKED = DAEMONS - 2;

	private static final Duration PAUSE = Duration.ofMillis(150);

	private static final Duration SILENCE = Duration.ofSeconds(8);

	private static final Duration POLL = Duration.ofMillis(1);

	private static final Duration LIMIT = Duration.ofSeconds(30);

	private static final double MILLIS = 1e6;

	@Override
	public String name() {
		return "force";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure the time in which a change is in force at 7 daemons, with one killed and one silent");
		parser.addArgument("--changes").type(Integer.class).setDefault(210).help("how many changes, 210 unless given");
	}

	@Override
	public void run(Namespace arguments, PrintStream out) throws CommandException {
		int changes = arguments.getInt(CHANGES);
		Figures figures = new Figures(name()).setting("daemons", DAEMONS)
			.setting(CHANGES, changes)
			.setting("killedAtChange", changes / 3)
			.setting("silentAtChange", changes / 2)
			.setting("silentSeconds", SILENCE.toSeconds());
		try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, 1, 5);
				Operator operator = new Operator(fleet.daemonAddresses())) {
			new Run(fleet, operator, changes).measure(figures);
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILED, "the fleet does not run: " + ex, ex);
		}
		figures.print(arguments, out);
	}

	/**
	 * One run over all changes.
	 */
	private static final class Run {

		private final ProcessFleet fleet;

		private final Operator operator;

		private final int changes;

		private final List<VersionPoller> pollers;

		private final Histogram force = new Histogram(3);

		private final Histogram acceptance = new Histogram(3);

		private final Histogram whileSilent = new Histogram(3);

		private final List<Integer> running = new ArrayList<>(IntStream.range(0, DAEMONS).boxed().toList());

		private long silentSince;

		private double catchUpMillis;

		private Run(ProcessFleet fleet, Operator operator, int changes) {
			this.fleet = fleet;
			this.operator = operator;
			this.changes = changes;
			this.pollers = fleet.daemonAddresses().stream().map(VersionPoller::new).toList();
		}

		void measure(Figures figures) throws IOException, CommandException {
			configure();
			for (int i = 0; i < this.changes; i++) {
				disturb(i);
				change(i);
				LockSupport.parkNanos(PAUSE.toNanos());
			}
			goOn(true);
			add(figures, "time to force", this.force);
			add(figures, "time to acceptance", this.acceptance);
			add(figures, "time to force at the others while one is silent", this.whileSilent);
			figures.add(DUTY, "newest version at the silent daemon after it went on", this.catchUpMillis, "ms");
			figures.add(DUTY, "calls repeated", this.operator.repeated(), "calls");
			figures.add(DUTY, "resolution, coarsest of the pollers", resolutionMillis(), "ms");
			this.pollers.forEach(VersionPoller::close);
		}

		private void configure() throws CommandException {
			String first = this.fleet.daemonAddresses().get(0);
			awaitAll(this.operator.apply(first, DocumentKind.REGISTER, this.fleet.register()));
			awaitAll(this.operator.apply(first, DocumentKind.RULES, ProcessFleet.rules(1)));
		}

		private void disturb(int change) throws IOException, CommandException {
			if (change == this.changes / 3) {
				this.fleet.daemon(KILLED).kill();
				this.running.remove(Integer.valueOf(KILLED));
			}
			if (change == this.changes / 2) {
				this.fleet.daemon(SILENT).pause();
				this.running.remove(Integer.valueOf(SILENT));
				this.silentSince = System.nanoTime();
			}
			goOn(false);
		}

		private void goOn(boolean now) throws IOException, CommandException {
			if (this.silentSince == 0 || (!now && System.nanoTime() - this.silentSince < SILENCE.toNanos())) {
				return;
			}
			this.silentSince = 0;
			long resumedAt = System.nanoTime();
			this.fleet.daemon(SILENT).resume();
			this.running.add(SILENT);
			this.catchUpMillis = (awaitAll(this.operator.version()) - resumedAt) / MILLIS;
		}

		private void change(int number) throws CommandException {
			String daemon = this.fleet.daemonAddresses().get(number % ASKED);
			long start = System.nanoTime();
			long version = this.operator.apply(daemon, DocumentKind.RULES, ProcessFleet.rules(2 + number % 2));
			this.acceptance.recordValue(System.nanoTime() - start);
			long nanos = awaitAll(version) - start;
			this.force.recordValue(nanos);
			if (this.silentSince != 0) {
				this.whileSilent.recordValue(nanos);
			}
		}

		private long awaitAll(long version) throws CommandException {
			long end = System.nanoTime() + LIMIT.toNanos();
			long last = 0;
			for (int daemon : this.running) {
				OptionalLong seen = this.pollers.get(daemon).seenAt(version);
				while (seen.isEmpty()) {
					if (System.nanoTime() - end > 0) {
						throw new CommandException(ExitCode.FAILED, this.fleet.daemonAddresses().get(daemon)
								+ " does not hold version " + version + " after " + LIMIT);
					}
					LockSupport.parkNanos(POLL.toNanos());
					seen = this.pollers.get(daemon).seenAt(version);
				}
				last = Math.max(last, seen.getAsLong());
			}
			return last;
		}

		private double resolutionMillis() {
			return this.running.stream()
				.map((daemon) -> this.pollers.get(daemon).resolution())
				.max(Comparator.naturalOrder())
				.orElseThrow()
				.toNanos() / MILLIS;
		}

		private static void add(Figures figures, String what, Histogram histogram) {
			figures.add(DUTY, what + ", changes", histogram.getTotalCount(), "changes");
			figures.add(DUTY, what + ", p50", histogram.getValueAtPercentile(50) / MILLIS, "ms");
			figures.add(DUTY, what + ", p99", histogram.getValueAtPercentile(99) / MILLIS, "ms");
			figures.add(DUTY, what + ", worst", histogram.getMaxValue() / MILLIS, "ms");
		}

	}

}
