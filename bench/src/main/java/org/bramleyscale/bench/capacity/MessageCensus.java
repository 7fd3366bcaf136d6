package org.bramleyscale.bench.capacity;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;

/**
 * Counts messages between daemons by type, and keeps the largest of each.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class MessageCensus {

	private static final int LENGTH_FIELD = Integer.BYTES;

	private final MessageCodec codec;

	private final Map<Class<? extends PeerMessage>, Count> counts = new TreeMap<>(
			Comparator.comparing((Class<? extends PeerMessage> type) -> type.getSimpleName()));

	MessageCensus(MessageCodec codec) {
		this.codec = codec;
	}

	PeerNetwork counted(PeerNetwork network) {
		return new CountedNetwork(network);
	}

	void reset() {
		this.counts.clear();
	}

	Map<Class<? extends PeerMessage>, Count> counts() {
		return this.counts;
	}

	/**
	 * The messages of one type.
	 */
	static final class Count {

		private long messages;

		private long bytes;

		private long largestBytes;

		private PeerMessage largest;

		long messages() {
			return this.messages;
		}

		long bytes() {
			return this.bytes;
		}

		PeerMessage largest() {
			return this.largest;
		}

		private void add(PeerMessage message, long size) {
			this.messages++;
			this.bytes += size;
			if (size > this.largestBytes) {
				this.largestBytes = size;
				this.largest = message;
			}
		}

	}

	/**
	 * A network whose sent messages are counted.
	 */
	private final class CountedNetwork implements PeerNetwork {

		private final PeerNetwork network;

		private CountedNetwork(PeerNetwork network) {
			this.network = network;
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			boolean sent = this.network.send(to, message);
			if (sent) {
				long size = LENGTH_FIELD + MessageCensus.this.codec.encode(message).length;
				MessageCensus.this.counts.computeIfAbsent(message.getClass(), (type) -> new Count()).add(message, size);
			}
			return sent;
		}

		@Override
		public Set<VmId> connected() {
			return this.network.connected();
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.network.listen(type, listener);
		}

	}

}
