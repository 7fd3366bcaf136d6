package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;

/**
 * Checks at the end of a success without a length whether its request was read.
 *
 * <p>
 * An endpoint that ends such a response by closing the connection on unread bytes resets
 * the connection, which may arrive after the end of the input. Only the system's own
 * transport tells that; without it, the response of a long request is never whole.
 * Confined to the loop's thread.
 */
final class UnreadRequestCheck {

	/** A longer request may be answered before it has been read. */
	private static final int LONG_REQUEST_BYTES = 16 * 1024;

	/** Time within which an endpoint that hasn't read a request resets the connection. */
	private static final Duration RESET_WAIT = Duration.ofMillis(200);

	private final Channel channel;

	private final ConnectionOwner owner;

	private boolean written;

	private boolean inProgress;

	/**
	 * Creates the check of a connection.
	 * @param channel the connection's channel
	 * @param owner runs tasks later
	 */
	UnreadRequestCheck(Channel channel, ConnectionOwner owner) {
		this.channel = channel;
		this.owner = owner;
	}

	/**
	 * Notes how much of the last request has left this process.
	 * @param all whether it was written in full
	 */
	void written(boolean all) {
		this.written = all;
	}

	/**
	 * Whether the outcome of a check is awaited.
	 * @return true if the connection isn't to be closed yet
	 */
	boolean inProgress() {
		return this.inProgress;
	}

	/**
	 * Checks the connection of a response that has ended with its input.
	 * @param requestBytes the length of the request's body
	 * @param onRead called if the request was read, as far as can be told
	 * @param onUnread called with the reason otherwise, unless the connection is closed
	 * before
	 */
	void start(int requestBytes, Runnable onRead, Consumer<String> onUnread) {
		if (requestBytes <= LONG_REQUEST_BYTES) {
			onRead.run();
			return;
		}
		if (!this.written || !(this.channel instanceof EpollSocketChannel socket)) {
			onUnread.accept("the end of a response without a length before its request was surely read");
			return;
		}
		this.inProgress = true;
		// The shutdown fails if the connection was reset, whether or not that was
		// noticed.
		this.owner.schedule(RESET_WAIT, () -> socket.shutdownOutput().addListener((shutdown) -> {
			this.inProgress = false;
			if (shutdown.isSuccess()) {
				onRead.run();
			}
			else {
				onUnread.accept("a reset after the end of a response without a length");
			}
		}));
	}

}
