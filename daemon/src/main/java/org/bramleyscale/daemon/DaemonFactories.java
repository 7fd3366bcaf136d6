package org.bramleyscale.daemon;

import java.util.ServiceLoader;

/**
 * Finds the maker of daemons.
 */
public final class DaemonFactories {

	private DaemonFactories() {
	}

	/**
	 * The maker of daemons that this build carries.
	 * @return the factory
	 * @throws CommandException if it carries none
	 */
	public static DaemonFactory load() throws CommandException {
		return ServiceLoader.load(DaemonFactory.class)
			.findFirst()
			.orElseThrow(() -> new CommandException(ExitCode.FAILED, "this build carries no daemon"));
	}

}
