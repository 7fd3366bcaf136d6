package org.bramleyscale.internal.peer;

/**
 * One established connection to another daemon.
 *
 * <p>
 * Used from the scheduler's thread only.
 */
interface PeerLink {

	/**
	 * Who is at the other end, as proven by the greeting.
	 * @return its identity
	 */
	PeerIdentity remote();

	/**
	 * Whether this daemon opened the connection.
	 * @return true if this daemon dialled, false if it accepted
	 */
	boolean dialled();

	/**
	 * Whether the dialler opened it because an earlier connection went silent.
	 * @return true if it replaces earlier ones
	 */
	boolean replacing();

	/**
	 * Queues a frame.
	 * @param payload the frame's payload
	 * @return false if the bound on queued bytes is reached or the connection is closed
	 */
	boolean send(byte[] payload);

	/**
	 * What was queued and hasn't been taken by the operating system.
	 * @return the bytes
	 */
	long queued();

	/**
	 * Closes the connection; calling again has no effect.
	 */
	void close();

}
