package org.bramleyscale.internal.gateway.http;

import java.util.List;
import java.util.Random;

/**
 * Bytes that a faulty endpoint sends besides its responses.
 *
 * @param bytes the bytes
 * @param whole whether they are a whole response that names another request
 */
record StrayBytes(String bytes, boolean whole) {

	private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";

	/** No bytes. */
	static final StrayBytes NONE = new StrayBytes("", true);

	/**
	 * Draws bytes.
	 * @param random the source of randomness
	 * @param sent the responses that the endpoint has sent, at least one
	 * @return the bytes
	 */
	static StrayBytes draw(Random random, List<ScriptedResponse> sent) {
		ScriptedResponse copied = sent.get(random.nextInt(sent.size()));
		return switch (Kind.values()[random.nextInt(Kind.values().length)]) {
			case WHOLE_COPY -> new StrayBytes(copied.bytes(), copied.showsItsEnd());
			case COPY_CUT_IN_ITS_HEAD -> torn(copied.bytes(), copied.headLength(), random);
			case COPY_CUT_IN_ITS_LAST_BYTES ->
				new StrayBytes(copied.bytes().substring(0, copied.bytes().length() - 1 - random.nextInt(4)), false);
			case RESPONSE_WITH_TWO_IDS ->
				new StrayBytes(copied.bytes().replace("\r\nId: ", "\r\nId: r" + random.nextInt(5) + "\r\nId: "), false);
			case INTERIM_RESPONSE -> new StrayBytes(INTERIM, true);
			case COPY_CUT_ANYWHERE -> torn(copied.bytes(), copied.bytes().length(), random);
			case TWO_CUT_COPIES -> new StrayBytes(torn(copied.bytes(), copied.headLength(), random).bytes()
					+ torn(copied.bytes(), copied.headLength(), random).bytes(), false);
			case END_OF_A_COPY ->
				new StrayBytes(copied.bytes().substring(1 + random.nextInt(copied.bytes().length() - 1)), false);
			case RESPONSE_WITHOUT_ID -> new StrayBytes(copied.unnamed(), false);
			case CUT_INTERIM_RESPONSE -> torn(INTERIM, INTERIM.length(), random);
			case LINE_END -> new StrayBytes(random.nextBoolean() ? "\r\n" : "\n", false);
			case JUNK -> new StrayBytes(junk(random), false);
		};
	}

	/**
	 * Whether these bytes are sound before a response.
	 * @return true for none and for an interim response
	 */
	boolean soundBeforeResponse() {
		return this.bytes.isEmpty() || this.bytes.equals(INTERIM);
	}

	/**
	 * Returns these bytes without the first of two ids.
	 * @return the bytes
	 */
	String withoutSecondId() {
		return this.bytes.replaceFirst("\r\nId: r\\d\r\nId: ", "\r\nId: ");
	}

	private static StrayBytes torn(String bytes, int limit, Random random) {
		return new StrayBytes(bytes.substring(0, 1 + random.nextInt(limit - 1)), false);
	}

	private static String junk(Random random) {
		String alphabet = "HTP/1. 20:\r\nax\t\0";
		StringBuilder junk = new StringBuilder();
		int length = 1 + random.nextInt(40);
		for (int i = 0; i < length; i++) {
			junk.append(alphabet.charAt(random.nextInt(alphabet.length())));
		}
		return junk.toString();
	}

	private enum Kind {

		WHOLE_COPY, COPY_CUT_IN_ITS_HEAD, COPY_CUT_ANYWHERE, COPY_CUT_IN_ITS_LAST_BYTES, TWO_CUT_COPIES, END_OF_A_COPY,
		RESPONSE_WITHOUT_ID, RESPONSE_WITH_TWO_IDS, INTERIM_RESPONSE, CUT_INTERIM_RESPONSE, LINE_END, JUNK

	}

}
