package org.bramleyscale.daemon;

import java.util.List;
import java.util.ServiceLoader;

/**
 * Entry point of all programs.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command and ends the process with its exit status.
	 * @param arguments the command and its arguments
	 */
	public static void main(String[] arguments) {
		// JBoss Logging picks its provider at the first logger. Set later, or left to its
		// own search, it may log as plain text past the JSON lines.
		System.setProperty("org.jboss.logging.provider", "slf4j");
		List<Subcommand> subcommands = ServiceLoader.load(Subcommand.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.toList();
		int status = new CommandLine(subcommands).run(arguments, System.out, System.err);
		System.out.flush();
		System.exit(status);
	}

}
