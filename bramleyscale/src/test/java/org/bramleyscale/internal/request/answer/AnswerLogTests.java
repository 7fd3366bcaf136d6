package org.bramleyscale.internal.request.answer;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnswerLogTests {

	@ParameterizedTest
	@CsvSource({ "0, 2, ab, DUPLICATE, abcd", "2, 2, cd, DUPLICATE, abcd", "4, 2, ef, ADDED, abcdef",
			"5, 1, f, GAP, abcd", "2, 4, cdef, ADDED, abcdef", "2, 4, xyef, GAP, abcd", "3, 3, def, GAP, abcd",
			"0, 6, abcdef, ADDED, abcdef", "4, 0, '', DUPLICATE, abcd" })
	void addsEachTokenOnce(long offset, int tokens, String text, OfferResult expected, String answer) {
		AnswerLog log = new AnswerLog();
		log.offer(0, 2, "ab");
		log.offer(2, 2, "cd");
		Truth.assertThat(log.offer(offset, tokens, text)).isEqualTo(expected);
		Truth.assertThat(log.text()).isEqualTo(answer);
		Truth.assertThat(log.next()).isEqualTo(answer.length());
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "2, 1", "4, 2", "1, -1", "5, -1", "-1, -1" })
	void findsPieceThatBeginsAtOffset(long offset, int index) {
		AnswerLog log = new AnswerLog();
		log.offer(0, 2, "ab");
		log.offer(2, 2, "cd");
		log.trim();
		Truth.assertThat(log.indexAt(offset)).isEqualTo(index);
	}

}
