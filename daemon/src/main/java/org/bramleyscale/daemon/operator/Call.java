package org.bramleyscale.daemon.operator;

/**
 * One call to a daemon's HTTP API.
 *
 * <p>
 * Invariant: the call is idempotent, so it may be sent to another daemon although the
 * first may have carried it out. Immutable and safe for use by multiple threads.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param body the body; empty for none
 */
public record Call(String method, String path, String body) {

	public static Call get(String path) {
		return new Call("GET", path, "");
	}

	/**
	 * A change under a change id.
	 * @param path the path with its query
	 * @param body the body
	 * @return the call
	 */
	public static Call put(String path, String body) {
		return new Call("PUT", path, body);
	}

	/**
	 * An order that has the same effect once or twice.
	 * @param path the path with its query
	 * @return the call
	 */
	public static Call post(String path) {
		return new Call("POST", path, "");
	}

	/**
	 * Whether the call changes nothing.
	 * @return true for a call that only reads
	 */
	public boolean reads() {
		return this.method.equals("GET");
	}

}
