package org.bramleyscale.daemon;

/**
 * The exit statuses of all commands.
 */
public enum ExitCode {

	/** The command did what it was asked to. */
	OK(0),
	/** The command failed, and nothing was changed. */
	FAILED(1),
	/** The arguments, the settings file or the document are not valid. */
	BAD_USAGE(2),
	/** Somebody else changed the document first; nothing was changed. */
	CONFLICT(3),
	/** None of the given daemons answered; nothing was changed. */
	NOT_REACHABLE(4),
	/** The change may or may not have taken effect. */
	UNKNOWN_OUTCOME(5);

	private final int status;

	ExitCode(int status) {
		this.status = status;
	}

	public int status() {
		return this.status;
	}

}
