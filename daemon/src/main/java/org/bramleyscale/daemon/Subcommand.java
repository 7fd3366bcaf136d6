package org.bramleyscale.daemon;

import java.io.PrintStream;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * One command of the command line.
 *
 * <p>
 * Implementations have a constructor without parameters and are named in
 * {@code META-INF/services}, so that other modules can add commands. Used by one thread.
 */
public interface Subcommand {

	/**
	 * The word that selects this command.
	 * @return the word
	 */
	String name();

	/**
	 * Declares the help and the arguments.
	 * @param parser the command's own parser
	 */
	void configure(Subparser parser);

	/**
	 * Runs the command.
	 * @param arguments the parsed arguments
	 * @param out takes the result
	 * @param err takes messages for the person who called the command
	 * @return the exit status, one of {@link ExitCode}
	 * @throws CommandException if the command can't go on
	 */
	int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException;

}
