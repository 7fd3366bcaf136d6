package org.bramleyscale.internal.peer;

/**
 * One established connection to another daemon.
 *
 * <p>
 * Used from the scheduler's thread only.
 */
interface PeerLink {

	/**
	 * Returns the identity of the daemon at the other end, as authenticated by the
	 * handshake.
	 * @return the identity
	 */
	PeerIdentity remote();

	/**
	 * Returns whether this daemon opened the connection.
	 * @return true if this daemon dialled, false if it accepted
	 */
	boolean dialled();

	/**
	 * Returns whether the dialler opened it because an earlier connection became silent.
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
	 * Returns the number of bytes that are queued and not yet written to the socket.
	 * @return the queued bytes
	 */
	long queuedBytes();

	/**
	 * Closes the connection; calling again has no effect.
	 */
	void close();

}
