package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.time.Clock;

/**
 * The prompt prefixes that an engine still holds in memory, and the events that tell of
 * them late and with gaps.
 *
 * <p>
 * A prompt is cut into blocks of equal length; each block is known by the hash of all
 * text up to its end. The least recently used block goes first. Confined to the
 * scheduler's thread.
 */
final class PrefixCache {

	private static final int KEPT_EVENTS = 4096;

	private final Clock clock;

	private final Duration lag;

	private final int gap;

	private final Map<Long, Integer> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<Published> events = new ArrayDeque<>();

	private long sequence;

	private long tokens;

	PrefixCache(Clock clock, Duration lag, int gap) {
		this.clock = clock;
		this.lag = lag;
		this.gap = gap;
	}

	/**
	 * Counts the leading tokens of a prompt that need not be computed.
	 * @param prompt the prompt
	 * @return tokens
	 */
	int cachedTokens(Prompt prompt) {
		int cached = 0;
		for (PrefixBlock block : prompt.blocks()) {
			if (this.blocks.get(block.hash()) == null) {
				return cached;
			}
			cached += block.tokens();
		}
		return cached;
	}

	void store(Prompt prompt, long room) {
		for (PrefixBlock block : prompt.blocks()) {
			if (this.blocks.put(block.hash(), block.tokens()) == null) {
				this.tokens += block.tokens();
				publish(block.hash(), true);
			}
		}
		shrinkTo(room);
	}

	void shrinkTo(long room) {
		Iterator<Map.Entry<Long, Integer>> eldest = this.blocks.entrySet().iterator();
		while (this.tokens > Math.max(0, room) && eldest.hasNext()) {
			Map.Entry<Long, Integer> block = eldest.next();
			this.tokens -= block.getValue();
			publish(block.getKey(), false);
			eldest.remove();
		}
	}

	List<CacheEvent> eventsAfter(long after) {
		long due = this.clock.nanos() - this.lag.toNanos();
		return this.events.stream()
			.filter((published) -> published.event.sequence() > after && published.at - due <= 0)
			.map(Published::event)
			.toList();
	}

	private void publish(long hash, boolean stored) {
		this.sequence++;
		if (this.gap > 0 && this.sequence % this.gap == 0) {
			return;
		}
		this.events.add(new Published(this.clock.nanos(), new CacheEvent(this.sequence, hash, stored)));
		if (this.events.size() > KEPT_EVENTS) {
			this.events.remove();
		}
	}

	/**
	 * An event and when it happened.
	 */
	private record Published(long at, CacheEvent event) {
	}

}
