package org.bramleyscale.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.platform.ObjectKey;

/**
 * The one object whose conditional update makes a version.
 *
 * <p>
 * Invariants: versions grow by one; a part whose name holds a version up to this head's
 * and which this head doesn't refer to is never referred to again. Immutable.
 *
 * @param version the version
 * @param hash the hash of the whole content
 * @param parts the part of each bucket
 * @param recent the last accepted changes, oldest first
 * @param delta the entries changed from the version before, or null if they are too large
 * @param proposer the VM whose daemon wrote this head
 */
record Head(long version, ContentHash hash, List<PartReference> parts, List<AcceptedChange> recent, byte[] delta,
		VmId proposer) {

	static final ObjectKey KEY = new ObjectKey("configuration", "head");

	/** How many accepted changes a head remembers. */
	static final int REMEMBERED = 64;

	/** The largest delta that a head carries, in bytes. */
	static final int LARGEST_DELTA = 4096;

	/** The head of a platform that holds no configuration. */
	static final Head NONE = new Head(0, Snapshot.EMPTY.hash(), List.of(), List.of(), null, null);

	Head {
		parts = List.copyOf(parts);
		recent = List.copyOf(recent);
	}

	Optional<AcceptedChange> accepted(String changeId) {
		return this.recent.stream().filter((change) -> change.changeId().equals(changeId)).findFirst();
	}

	/**
	 * Whether every change accepted after a version is remembered here.
	 * @param base the version
	 * @return false if changes were forgotten
	 */
	boolean remembersSince(long base) {
		return this.version - base <= this.recent.size();
	}

	PartReference part(int bucket) {
		return (bucket < this.parts.size()) ? this.parts.get(bucket) : PartReference.EMPTY;
	}

	/**
	 * The head of the next version.
	 * @param next the next version's content
	 * @param change the change that makes it
	 * @param changes what differs
	 * @param self the VM that writes it
	 * @return the head
	 */
	Head next(Snapshot next, AcceptedChange change, List<EncodedChange> changes, VmId self) {
		List<PartReference> nextParts = new ArrayList<>();
		boolean sameLayout = next.buckets().size() == this.parts.size();
		for (int index = 0; index < next.buckets().size(); index++) {
			ContentHash content = next.buckets().get(index).hash();
			boolean kept = sameLayout && part(index).hash().equals(content);
			nextParts.add(kept ? part(index) : reference(content, next.version()));
		}
		List<AcceptedChange> nextRecent = new ArrayList<>(this.recent);
		nextRecent.add(change);
		if (nextRecent.size() > REMEMBERED) {
			nextRecent.remove(0);
		}
		byte[] inline = ConfigurationCodec.encode(changes.stream().map(EncodedChange::forward).toList());
		return new Head(next.version(), next.hash(), nextParts, nextRecent,
				(inline.length <= LARGEST_DELTA) ? inline : null, self);
	}

	private static PartReference reference(ContentHash content, long version) {
		return content.equals(ContentHash.NONE) ? PartReference.EMPTY : new PartReference(content, version);
	}

}
