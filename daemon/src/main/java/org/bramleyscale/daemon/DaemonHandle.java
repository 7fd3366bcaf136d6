package org.bramleyscale.daemon;

/**
 * One daemon in this process.
 *
 * <p>
 * Used by one thread; the calls block until they are done.
 */
public interface DaemonHandle {

	/**
	 * Where it listens for callers and operators.
	 * @return {@code host:port}
	 */
	String httpAddress();

	/**
	 * Starts it.
	 * @throws Exception if an address can't be used
	 */
	void start() throws Exception;

	/**
	 * Stops it as planned: it takes nothing new, finishes what it has, and then ends.
	 */
	void leave();

	/**
	 * Ends it at once, as a dying process would: no request is told anything.
	 */
	void kill();

	/**
	 * Waits until it has ended, whoever asked for it.
	 */
	void awaitEnd();

}
