package org.bramleyscale.bench;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.status.OperatorJson;

/**
 * The values of one measurement, in the order in which they were added.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
public final class Figures {

	private static final double MANY = 100;

	private final String measurement;

	private final Map<String, Object> setting = new LinkedHashMap<>();

	private final List<Figure> figures = new ArrayList<>();

	private final PrintStream progress;

	public Figures(String measurement) {
		this(measurement, new PrintStream(OutputStream.nullOutputStream()));
	}

	/**
	 * Makes figures that are also told one by one, for measurements that take minutes.
	 * @param measurement the name of the measurement
	 * @param progress takes each figure once it is known
	 */
	public Figures(String measurement, PrintStream progress) {
		this.measurement = measurement;
		this.progress = progress;
	}

	/**
	 * Says under which setting the values were measured.
	 * @param name the name of the setting
	 * @param value its value
	 * @return these figures
	 */
	public Figures setting(String name, Object value) {
		this.setting.put(name, value);
		return this;
	}

	public Figures add(String duty, String what, double value, String unit) {
		Figure figure = new Figure(duty, what, value, unit);
		this.figures.add(figure);
		this.progress.println(figure);
		return this;
	}

	/**
	 * Adds the slope and the fixed part of a cost.
	 * @param duty the duty
	 * @param what the cost
	 * @param slope the fitted line
	 * @param unit the unit of the cost
	 * @param per of what it is a function
	 * @return these figures
	 */
	public Figures add(String duty, String what, Slope slope, String unit, String per) {
		add(duty, what + ", fixed", slope.fixed(), unit);
		add(duty, what + ", slope", slope.perUnit(), unit + " per " + per);
		return add(duty, what + ", fit", slope.fit(), "r2");
	}

	public List<Figure> list() {
		return List.copyOf(this.figures);
	}

	/**
	 * Prints a table, or one line of JSON if the arguments ask for it.
	 * @param arguments the parsed arguments
	 * @param out takes the output
	 * @throws CommandException if the figures can't be written as JSON
	 */
	public void print(Namespace arguments, PrintStream out) throws CommandException {
		if (Boolean.TRUE.equals(arguments.getBoolean("json"))) {
			json(out);
		}
		else {
			table(out);
		}
	}

	private void json(PrintStream out) throws CommandException {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("measurement", this.measurement);
		line.put("setting", this.setting);
		line.put("figures", this.figures);
		try {
			out.println(OperatorJson.write(line));
		}
		catch (JsonProcessingException ex) {
			throw new CommandException(ExitCode.FAILED, "the figures can't be written as JSON: " + ex, ex);
		}
	}

	private void table(PrintStream out) {
		out.println(this.measurement + " " + this.setting);
		int dutyWidth = this.figures.stream().mapToInt((figure) -> figure.duty().length()).max().orElse(1);
		int whatWidth = this.figures.stream().mapToInt((figure) -> figure.what().length()).max().orElse(1);
		for (Figure figure : this.figures) {
			out.printf(Locale.ROOT, "%-" + dutyWidth + "s  %-" + whatWidth + "s  %12s %s%n", figure.duty(),
					figure.what(), number(figure.value()), figure.unit());
		}
	}

	private static String number(double value) {
		return String.format(Locale.ROOT, (Math.abs(value) >= MANY) ? "%,.0f" : "%.3f", value);
	}

}
