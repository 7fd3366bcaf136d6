package org.bramleyscale.bench.routing;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.bench.Measurement;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;

/**
 * Measures the real admission and routing decisions against baselines and ablations, with
 * small fake engines on a manual clock.
 *
 * <p>
 * Invariant: the same seed gives the same bytes of output, whatever the number of
 * threads, since each trial has a clock and chance of its own and rows keep their order.
 * Used by one thread.
 */
public final class RoutingMeasurement implements Measurement {

	private static final int DEFAULT_REQUESTS = 6_000;

	private static final int DEFAULT_THREADS = 4;

	@Override
	public String name() {
		return "routing";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure admission and routing against baselines and without each mechanism");
		parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all chance, 1 unless given");
		parser.addArgument("--requests")
			.type(Integer.class)
			.setDefault(DEFAULT_REQUESTS)
			.help("requests offered in each trial");
		parser.addArgument("--threads")
			.type(Integer.class)
			.setDefault(DEFAULT_THREADS)
			.help("trials run at a time; the output doesn't depend on it");
		parser.addArgument("--out").metavar("DIR").help("also write routing.csv and routing.svg there");
	}

	@Override
	public void run(Namespace arguments, PrintStream out) throws CommandException {
		RoutingPlan plan = new RoutingPlan(arguments.getInt("requests"), arguments.getLong("seed"));
		List<RoutingRow> rows = rows(plan.trials(), arguments.getInt("threads"));
		RoutingReport report = new RoutingReport(rows);
		report.print(out);
		String directory = arguments.getString("out");
		if (directory != null) {
			write(report, Path.of(directory));
		}
	}

	/**
	 * Runs trials side by side.
	 * @param trials the trials
	 * @param threads how many at a time
	 * @return their rows in the order of the trials
	 * @throws CommandException if a trial fails
	 */
	static List<RoutingRow> rows(List<PlannedTrial> trials, int threads) throws CommandException {
		ExecutorService executor = Executors.newFixedThreadPool(threads);
		try {
			List<Future<RoutingRow>> running = new ArrayList<>();
			trials.forEach((trial) -> running.add(executor.submit(trial::run)));
			List<RoutingRow> rows = new ArrayList<>();
			for (Future<RoutingRow> row : running) {
				rows.add(row.get());
			}
			return rows;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CommandException(ExitCode.FAILED, "the measurement was interrupted", ex);
		}
		catch (ExecutionException ex) {
			throw new CommandException(ExitCode.FAILED, "a trial failed: " + ex.getCause(), ex);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static void write(RoutingReport report, Path directory) throws CommandException {
		try {
			report.write(directory);
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILED, "the files could not be written to " + directory + ": " + ex,
					ex);
		}
	}

}
