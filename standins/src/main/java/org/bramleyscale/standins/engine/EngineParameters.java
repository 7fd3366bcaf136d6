package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.List;

/**
 * How an engine behaves.
 *
 * @param slots requests it works on at once
 * @param prefillTokensPerSecond prompt tokens it computes a second
 * @param chunkTokens the most prompt tokens it computes in one step
 * @param stepTime the time of a step that makes one token for each running request
 * @param kvCapacity KV memory, in tokens
 * @param models the models loaded at start
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param keepEnded how long an ended attempt can be resumed
 * @param reportLag how old a load report is at most
 * @param cacheEventLag how late cache events are published
 * @param cacheEventGap one in so many cache events is lost; 0 means none
 */
public record EngineParameters(int slots, int prefillTokensPerSecond, int chunkTokens, Duration stepTime,
		long kvCapacity, List<String> models, boolean checksFencing, Duration keepEnded, Duration reportLag,
		Duration cacheEventLag, int cacheEventGap) {

	/** A small engine: 16 slots, 20 ms a step, 300 000 tokens of memory. */
	public static final EngineParameters SMALL = new EngineParameters(16, 40_000, 2048, Duration.ofMillis(20), 300_000,
			List.of("assist"), true, Duration.ofSeconds(60), Duration.ofMillis(200), Duration.ofMillis(500), 50);

	public EngineParameters {
		requirePositive("slots", slots);
		requirePositive("prefillTokensPerSecond", prefillTokensPerSecond);
		requirePositive("chunkTokens", chunkTokens);
		requirePositive("kvCapacity", kvCapacity);
		requirePositive("reportLag", reportLag.toNanos());
		models = List.copyOf(models);
	}

	private static void requirePositive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
	}

	public EngineParameters withModels(String... names) {
		return new EngineParameters(this.slots, this.prefillTokensPerSecond, this.chunkTokens, this.stepTime,
				this.kvCapacity, List.of(names), this.checksFencing, this.keepEnded, this.reportLag, this.cacheEventLag,
				this.cacheEventGap);
	}

	public EngineParameters withSpeed(int newPrefillTokensPerSecond, int newChunkTokens, Duration newStepTime) {
		return new EngineParameters(this.slots, newPrefillTokensPerSecond, newChunkTokens, newStepTime, this.kvCapacity,
				this.models, this.checksFencing, this.keepEnded, this.reportLag, this.cacheEventLag,
				this.cacheEventGap);
	}

	public EngineParameters withRoom(int newSlots, long newKvCapacity) {
		return new EngineParameters(newSlots, this.prefillTokensPerSecond, this.chunkTokens, this.stepTime,
				newKvCapacity, this.models, this.checksFencing, this.keepEnded, this.reportLag, this.cacheEventLag,
				this.cacheEventGap);
	}

	public EngineParameters withFencing(boolean newChecksFencing) {
		return new EngineParameters(this.slots, this.prefillTokensPerSecond, this.chunkTokens, this.stepTime,
				this.kvCapacity, this.models, newChecksFencing, this.keepEnded, this.reportLag, this.cacheEventLag,
				this.cacheEventGap);
	}

	public EngineParameters withLags(Duration newReportLag, Duration newCacheEventLag, int newCacheEventGap) {
		return new EngineParameters(this.slots, this.prefillTokensPerSecond, this.chunkTokens, this.stepTime,
				this.kvCapacity, this.models, this.checksFencing, this.keepEnded, newReportLag, newCacheEventLag,
				newCacheEventGap);
	}

}
