package org.bramleyscale;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The system-issued id of one request; written {@code vm~start~sequence}.
 *
 * <p>
 * The id names the incarnation that issued it, and only that incarnation may start the
 * request. A retry that reaches another daemon can therefore be forwarded to the one
 * place that knows whether the request already ran. Immutable and safe for use by
 * multiple threads.
 *
 * @param issuer the daemon incarnation that issued the id
 * @param sequence a caller-chosen or daemon-chosen suffix, unique below the issuer
 */
public record RequestId(Incarnation issuer, String sequence) {

	private static final Pattern FORM = Pattern.compile("([^~]+~[0-9a-z]+)~([A-Za-z0-9._-]{1,64})");

	public RequestId {
		if (issuer == null) {
			throw new IllegalArgumentException("request id needs an issuer");
		}
		if (sequence == null || !sequence.matches("[A-Za-z0-9._-]{1,64}")) {
			throw new IllegalArgumentException(
					"request id suffix '" + sequence + "' must be 1 to 64 letters, digits, '.', '_' or '-'");
		}
	}

	/**
	 * Reads the written form.
	 * @param text for example {@code entry-1~lq3z8k0~17}
	 * @return the id
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static RequestId parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("'" + text + "' is not a request id such as 'entry-1~lq3z8k0~17'");
		}
		return new RequestId(Incarnation.parse(matcher.group(1)), matcher.group(2));
	}

	@Override
	public String toString() {
		return this.issuer + "~" + this.sequence;
	}

}
