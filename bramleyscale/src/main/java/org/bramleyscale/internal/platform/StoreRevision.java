package org.bramleyscale.internal.platform;

/**
 * Revisions of the platform's store, ordered by the era of the store first.
 *
 * <p>
 * A store that comes back from an older copy of itself begins a new era and gives out the
 * revisions after that copy a second time, so a revision alone tells neither which of two
 * states is later nor whether two are the same. A qualified revision holds both in one
 * number: of two, the greater one is the later. Era 0 is that of a store that names none,
 * and of answers whose era isn't known. Stateless and safe for use by multiple threads.
 * <pre>
 * long before = StoreRevision.of(1, 500);
 * long after = StoreRevision.of(2, 480); // after &gt; before
 * </pre>
 */
public final class StoreRevision {

	/** Enough for ten thousand changes a second for fifty years. */
	private static final int REVISION_BITS = 44;

	private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;

	/** The greatest era that can be told from others. */
	public static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

	private StoreRevision() {
	}

	/**
	 * Qualifies a revision.
	 * @param era the era, 0 to {@link #MAX_ERA}
	 * @param revision the revision as the store gave it out, not negative
	 * @return the qualified revision
	 * @throws IllegalArgumentException if either is out of range
	 */
	public static long of(long era, long revision) {
		if (era < 0 || era > MAX_ERA) {
			throw new IllegalArgumentException("era " + era + " is not between 0 and " + MAX_ERA);
		}
		if (revision < 0 || revision > REVISION_MASK) {
			throw new IllegalArgumentException("revision " + revision + " is not between 0 and " + REVISION_MASK);
		}
		return (era << REVISION_BITS) | revision;
	}

	public static long era(long qualified) {
		return qualified >> REVISION_BITS;
	}

	/**
	 * The revision as the store gave it out.
	 * @param qualified the qualified revision
	 * @return the revision
	 */
	public static long revision(long qualified) {
		return qualified & REVISION_MASK;
	}

	/**
	 * Whether the store came back from an older copy between two revisions.
	 * @param qualified a revision
	 * @param other another one
	 * @return true if the first is of an earlier era
	 */
	public static boolean isOfEarlierEra(long qualified, long other) {
		return era(qualified) < era(other);
	}

	/**
	 * Returns a qualified revision for people.
	 * @param qualified the revision
	 * @return for example "480" in era 0, and "2/480" in era 2
	 */
	public static String text(long qualified) {
		return (era(qualified) == 0) ? Long.toString(qualified) : era(qualified) + "/" + revision(qualified);
	}

}
