package org.bramleyscale.bench;

import java.io.PrintStream;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.daemon.CommandException;

/**
 * One measurement that {@code bramleyscale measure} can run.
 *
 * <p>
 * Implementations have a constructor without parameters and are named in
 * {@code META-INF/services}. Used by one thread.
 */
public interface Measurement {

	/**
	 * The word that selects this measurement.
	 * @return the word
	 */
	String name();

	/**
	 * Declares the help and the arguments; {@code --json} is declared already.
	 * @param parser the measurement's own parser
	 */
	void configure(Subparser parser);

	/**
	 * Measures and prints.
	 * @param arguments the parsed arguments
	 * @param out takes the result
	 * @throws CommandException if the measurement can't be made
	 */
	void run(Namespace arguments, PrintStream out) throws CommandException;

}
