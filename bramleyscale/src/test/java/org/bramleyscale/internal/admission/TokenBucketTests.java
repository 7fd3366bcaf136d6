package org.bramleyscale.internal.admission;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TokenBucketTests {

	private static final long SECOND = 1_000_000_000;

	@ParameterizedTest
	@CsvSource({ "100, 0", "400, 0", "500, 2000", "1000, 2000" })
	void returnsTheTimeUntilARequestIsAllowed(double tokens, long millis) {
		TokenBucket bucket = new TokenBucket(50, 500, 0);
		bucket.take(100);
		Duration wait = bucket.waitTime(tokens, 0);
		Truth.assertThat(wait.toMillis()).isEqualTo(millis);
		Truth.assertThat(bucket.canTake(tokens, wait.toNanos())).isTrue();
		if (millis > 0) {
			Truth.assertThat(bucket.canTake(tokens, wait.minusMillis(1).toNanos())).isFalse();
		}
	}

	@Test
	void delaysLaterRequestsAfterARequestLargerThanTheBurst() {
		TokenBucket bucket = new TokenBucket(50, 500, 0);
		bucket.take(1_000);
		Truth.assertThat(bucket.waitTime(100, 0)).isEqualTo(Duration.ofSeconds(12));
		Truth.assertThat(bucket.canTake(100, 12 * SECOND)).isTrue();
	}

	@Test
	void reducesTheLevelToASmallerBurst() {
		TokenBucket bucket = new TokenBucket(50, 500, 0);
		bucket.setLimit(10, 60, 0);
		Truth.assertThat(bucket.level(SECOND)).isEqualTo(60.0);
	}

}
