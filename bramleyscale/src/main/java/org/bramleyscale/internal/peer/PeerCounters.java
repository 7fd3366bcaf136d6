package org.bramleyscale.internal.peer;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * The metrics of connections, frames and messages between daemons. Safe for use by
 * multiple threads, except for the counts of messages by type.
 */
final class PeerCounters {

	private final MetricRegistry metrics;

	private final MessageCatalog catalog;

	private final Counter opened;

	private final Counter silent;

	private final Counter sendsRefused;

	private final Counter pendingLost;

	private final Counter staleFrames;

	private final Counter unknownMessages;

	private final Counter bytesSent;

	private final Counter bytesReceived;

	private final Map<Class<?>, Counter> messages = new HashMap<>();

	PeerCounters(MetricRegistry metrics, MessageCatalog catalog) {
		this.metrics = metrics;
		this.catalog = catalog;
		this.opened = metrics.counter("peer.connections.opened");
		this.silent = metrics.counter("peer.connections.silent");
		this.sendsRefused = metrics.counter("peer.sends.refused");
		this.pendingLost = metrics.counter("peer.sends.lost-before-connection");
		this.staleFrames = metrics.counter("peer.frames.stale-incarnation");
		this.unknownMessages = metrics.counter("peer.frames.unknown-code");
		this.bytesSent = metrics.counter("peer.bytes.sent");
		this.bytesReceived = metrics.counter("peer.bytes.received");
	}

	void opened() {
		this.opened.inc();
	}

	void silent() {
		this.silent.inc();
	}

	void sendRefused() {
		this.sendsRefused.inc();
	}

	void pendingLost(int messages) {
		this.pendingLost.inc(messages);
	}

	void staleFrame() {
		this.staleFrames.inc();
	}

	void unknownMessage() {
		this.unknownMessages.inc();
	}

	void sent(int bytes) {
		this.bytesSent.inc(bytes);
	}

	/**
	 * Counts a message by its type.
	 * @param message a message whose type is in the catalog; called on the scheduler's
	 * thread only
	 */
	void received(PeerMessage message) {
		this.messages
			.computeIfAbsent(message.getClass(),
					(type) -> this.metrics.counter("peer.messages.received." + this.catalog.name(message.getClass())))
			.inc();
	}

	void received(int bytes) {
		this.bytesReceived.inc(bytes);
	}

	void protocolError(PeerProtocolException.Kind kind) {
		this.metrics.counter("peer.cut-off." + kind.name().toLowerCase(Locale.ROOT).replace('_', '-')).inc();
	}

}
