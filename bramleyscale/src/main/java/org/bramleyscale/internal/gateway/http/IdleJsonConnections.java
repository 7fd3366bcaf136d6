package org.bramleyscale.internal.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The connections of a {@link JsonClient} that carry no call.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class IdleJsonConnections implements JsonConnection.Owner {

	private final int max;

	private final Deque<JsonConnection> idle = new ArrayDeque<>();

	/**
	 * Creates it without connections.
	 * @param max the number of connections that are kept at most
	 */
	IdleJsonConnections(int max) {
		this.max = max;
	}

	/**
	 * Takes the connection that became idle last.
	 * @return the connection, or null if there is none that may be reused
	 */
	JsonConnection take() {
		while (!this.idle.isEmpty()) {
			JsonConnection connection = this.idle.pollFirst();
			if (connection.isReusable()) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	@Override
	public void release(JsonConnection connection) {
		if (this.idle.size() < this.max) {
			this.idle.addFirst(connection);
		}
		else {
			connection.close();
		}
	}

	@Override
	public void remove(JsonConnection connection) {
		this.idle.remove(connection);
	}

}
