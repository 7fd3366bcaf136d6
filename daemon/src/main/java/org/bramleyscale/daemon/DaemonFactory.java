package org.bramleyscale.daemon;

import org.bramleyscale.Settings;

/**
 * Makes daemons that run in this process.
 */
public interface DaemonFactory {

	/**
	 * Makes a daemon, which doesn't run yet.
	 * @param settings its settings
	 * @return the daemon
	 */
	DaemonHandle create(Settings settings);

}
