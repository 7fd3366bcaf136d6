package org.bramleyscale.internal.address;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Rendezvous hashing: ranks members for a key by the hash of key and member name.
 *
 * <p>
 * Invariants: the ranking depends only on the key and the names, not on the order of
 * members or on the process; removing a member moves only the keys for which it ranked
 * first, and adding one moves only the keys for which it ranks first. Immutable and safe
 * for use by multiple threads. <pre>
 * RendezvousHash&lt;Member&gt; hash = new RendezvousHash&lt;&gt;((member) -&gt; member.vm().value());
 * Optional&lt;Member&gt; owner = hash.owner("account-7", members);
 * </pre>
 *
 * @param <T> the type of member
 */
public final class RendezvousHash<T> {

	private static final HashFunction HASH = Hashing.murmur3_128();

	private static final char SEPARATOR = '\0';

	private final Function<? super T, String> name;

	/**
	 * Creates a ranking.
	 * @param name returns the name of a member; different members must have different
	 * names
	 */
	public RendezvousHash(Function<? super T, String> name) {
		this.name = name;
	}

	/**
	 * The member that ranks first for a key.
	 * @param key the key
	 * @param members the members in any order
	 * @return the member, or empty if there are no members
	 */
	public Optional<T> owner(String key, Collection<? extends T> members) {
		Scored<T> best = null;
		for (T member : members) {
			Scored<T> scored = score(key, member);
			if (best == null || scored.compareTo(best) < 0) {
				best = scored;
			}
		}
		return (best != null) ? Optional.of(best.member()) : Optional.empty();
	}

	/**
	 * All members in rank order for a key.
	 * @param key the key
	 * @param members the members in any order
	 * @return the members, the one that ranks first at the front
	 */
	public List<T> ranked(String key, Collection<? extends T> members) {
		List<Scored<T>> scored = new ArrayList<>(members.size());
		for (T member : members) {
			scored.add(score(key, member));
		}
		scored.sort(Comparator.naturalOrder());
		List<T> result = new ArrayList<>(scored.size());
		scored.forEach((entry) -> result.add(entry.member()));
		return result;
	}

	/**
	 * The members that rank first for a key.
	 * @param key the key
	 * @param members the members in any order
	 * @param count the maximum number of members to return
	 * @return the members in rank order
	 */
	public List<T> first(String key, Collection<? extends T> members, int count) {
		List<T> ranked = ranked(key, members);
		return List.copyOf(ranked.subList(0, Math.min(count, ranked.size())));
	}

	private Scored<T> score(String key, T member) {
		String memberName = this.name.apply(member);
		long score = HASH.newHasher()
			.putString(key, StandardCharsets.UTF_8)
			.putChar(SEPARATOR)
			.putString(memberName, StandardCharsets.UTF_8)
			.hash()
			.asLong();
		return new Scored<>(member, memberName, score);
	}

	/**
	 * A member with its score for one key; greater unsigned scores rank first, names
	 * break ties.
	 *
	 * @param <T> the type of member
	 * @param member the member
	 * @param name its name
	 * @param score its score
	 */
	private record Scored<T>(T member, String name, long score) implements Comparable<Scored<T>> {

		@Override
		public int compareTo(Scored<T> other) {
			int byScore = Long.compareUnsigned(other.score, this.score);
			return (byScore != 0) ? byScore : this.name.compareTo(other.name);
		}

	}

}
