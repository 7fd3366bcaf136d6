package org.bramleyscale;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One start of the daemon on one VM; written {@code vm~start}.
 *
 * <p>
 * A daemon keeps nothing on disk, so two starts on the same VM share no memory. Whoever
 * compares only VM names mistakes a restarted daemon for the one that still knows its
 * requests. The start number tells them apart. Immutable and safe for use by multiple
 * threads.
 *
 * @param vm the VM the daemon runs on
 * @param start a number that differs at each start; milliseconds since the epoch at start
 */
public record Incarnation(VmId vm, long start) implements Comparable<Incarnation> {

	private static final Pattern FORM = Pattern.compile("([^~]+)~([0-9a-z]+)");

	private static final int RADIX = 36;

	public Incarnation {
		if (vm == null) {
			throw new IllegalArgumentException("incarnation needs a VM");
		}
		if (start < 0) {
			throw new IllegalArgumentException("incarnation start must not be negative, was " + start);
		}
	}

	/**
	 * Reads the written form.
	 * @param text for example {@code entry-1~lq3z8k0}
	 * @return the incarnation
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static Incarnation parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("'" + text + "' is not an incarnation such as 'entry-1~lq3z8k0'");
		}
		return new Incarnation(new VmId(matcher.group(1)), Long.parseLong(matcher.group(2), RADIX));
	}

	@Override
	public int compareTo(Incarnation other) {
		int byVm = this.vm.value().compareTo(other.vm.value());
		return (byVm != 0) ? byVm : Long.compare(this.start, other.start);
	}

	@Override
	public String toString() {
		return this.vm + "~" + Long.toString(this.start, RADIX);
	}

}
