package org.bramleyscale.daemon;

/**
 * A command that can't go on, with its exit status and a message for the person who
 * called it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public class CommandException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	public CommandException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	public CommandException(ExitCode exitCode, String message, Throwable cause) {
		super(message, cause);
		this.exitCode = exitCode;
	}

	public ExitCode exitCode() {
		return this.exitCode;
	}

}
