package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.Map;
import java.util.function.BiFunction;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays the heaviest phases of the crusher hire desk on fake engines: many long prompts,
 * and many short ones. Checks what callers get, against two baselines.
 *
 * <p>
 * In time over the eight seeds with many manuals: quotes 0.77, reviews 0.81, manuals
 * 0.96; least in flight 0.60, 0.75, 0.37; always split 0.14, 0.67, 0.82. Without waiting
 * while the lane reads: 0.81, 0.72, 0.78.
 */
class PlacementLoadTests {

	private static final Duration LENGTH = Duration.ofSeconds(40);

	private static final Map<LoadPlay.Kind, Double> MANY_MANUALS = Map.of(LoadPlay.Kind.QUOTE, 10.9,
			LoadPlay.Kind.REVIEW, 2.1, LoadPlay.Kind.MANUAL, 2.1);

	private static final Map<LoadPlay.Kind, Double> MANY_QUOTES = Map.of(LoadPlay.Kind.QUOTE, 70.0,
			LoadPlay.Kind.REVIEW, 0.8, LoadPlay.Kind.MANUAL, 0.04);

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shortAnswersFlowWhileManyManualsAreRead(long seed) {
		LoadPlay product = play(seed, MANY_MANUALS, LoadPlay::product);
		LoadPlay alone = play(seed, MANY_MANUALS, LoadPlay::leastInFlight);
		LoadPlay split = play(seed, MANY_MANUALS, LoadPlay::alwaysSplit);
		print("many manuals", seed, product, alone, split);
		Truth.assertThat(product.refusals()).isEqualTo(0);
		Truth.assertThat(product.onTime(LoadPlay.Kind.QUOTE)).isGreaterThan(0.7);
		Truth.assertThat(product.onTime(LoadPlay.Kind.MANUAL)).isGreaterThan(0.85);
		Truth.assertThat(alone.onTime(LoadPlay.Kind.QUOTE)).isLessThan(product.onTime(LoadPlay.Kind.QUOTE));
		Truth.assertThat(alone.onTime(LoadPlay.Kind.MANUAL)).isLessThan(product.onTime(LoadPlay.Kind.MANUAL));
		Truth.assertThat(split.onTime(LoadPlay.Kind.QUOTE)).isLessThan(product.onTime(LoadPlay.Kind.QUOTE));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void manyShortAnswersAreServedInTime(long seed) {
		LoadPlay product = play(seed, MANY_QUOTES, LoadPlay::product);
		LoadPlay alone = play(seed, MANY_QUOTES, LoadPlay::leastInFlight);
		LoadPlay split = play(seed, MANY_QUOTES, LoadPlay::alwaysSplit);
		print("many quotes", seed, product, alone, split);
		Truth.assertThat(product.onTime(LoadPlay.Kind.QUOTE)).isGreaterThan(0.9);
		Truth.assertThat(product.onTime(LoadPlay.Kind.REVIEW)).isGreaterThan(0.9);
		Truth.assertThat(alone.onTime(LoadPlay.Kind.QUOTE)).isLessThan(product.onTime(LoadPlay.Kind.QUOTE));
	}

	@Test
	void manyDaemonsDoNotAllChooseTheSameEngine() {
		// Symptom: engines refuse a fifth of all quotes while others are idle. Sequence:
		// 76
		// daemons hear of each other's requests after 250 ms. Cause: in that time all
		// take
		// the engine that was the least busy one.
		LoadPlay product = playLarge(LoadPlay::product);
		LoadPlay alone = playLarge(LoadPlay::leastInFlight);
		print("many daemons", 1, product, alone);
		Truth.assertThat(product.onTime(LoadPlay.Kind.QUOTE)).isGreaterThan(0.8);
		Truth.assertThat(alone.onTime(LoadPlay.Kind.QUOTE)).isLessThan(0.3);
	}

	private static LoadPlay playLarge(BiFunction<LoadPlay, LoadPlay.Daemon, PlacementPolicy> policy) {
		LoadPlay play = new LoadPlay(1, 69, 76, Duration.ofMillis(250));
		play.play(policy, Map.of(LoadPlay.Kind.QUOTE, 165.0, LoadPlay.Kind.REVIEW, 4.0, LoadPlay.Kind.MANUAL, 0.3),
				Duration.ofSeconds(10));
		return play;
	}

	private static LoadPlay play(long seed, Map<LoadPlay.Kind, Double> rates,
			BiFunction<LoadPlay, LoadPlay.Daemon, PlacementPolicy> policy) {
		LoadPlay play = new LoadPlay(seed);
		play.play(policy, rates, LENGTH);
		return play;
	}

	private static void print(String load, long seed, LoadPlay... plays) {
		String[] names = { "product", "least in flight", "always split" };
		for (int i = 0; i < plays.length; i++) {
			System.out.printf(
					"%s, seed %d, %s: quotes %.3f, reviews %.3f, manuals %.3f in time, worth %.3f, %d refused%n", load,
					seed, names[i], plays[i].onTime(LoadPlay.Kind.QUOTE), plays[i].onTime(LoadPlay.Kind.REVIEW),
					plays[i].onTime(LoadPlay.Kind.MANUAL), plays[i].worth(), plays[i].refusals());
		}
	}

}
