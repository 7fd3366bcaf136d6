package org.bramleyscale.internal.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The connections of a {@link JsonClient} that carry no call.
 *
 * <p>
 * Invariant: of more connections than the maximum, those that became idle first are
 * closed. Confined to the scheduler's thread.
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
	 * Takes the connection of a path that became idle last.
	 * @param path the path of the calls that it has carried
	 * @return the connection, or null if there is none that may be reused
	 */
	JsonConnection take(String path) {
		for (JsonConnection connection : List.copyOf(this.idle)) {
			if (connection.path().equals(path)) {
				this.idle.remove(connection);
				if (connection.isReusable()) {
					return connection;
				}
				connection.close();
			}
		}
		return null;
	}

	@Override
	public void release(JsonConnection connection) {
		this.idle.addFirst(connection);
		if (this.idle.size() > this.max) {
			this.idle.removeLast().close();
		}
	}

	@Override
	public void remove(JsonConnection connection) {
		this.idle.remove(connection);
	}

}
