package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.platform.ObjectKey;

/**
 * Where the content of one bucket is stored.
 *
 * <p>
 * The object's name holds the version that wrote it. With the content hash alone for a
 * name, a change back to earlier content could take up a part that another daemon is
 * about to delete as unused, and the configuration would miss a part for good.
 *
 * @param hash the hash of the bucket's content; {@link ContentHash#NONE} if it is empty
 * @param version the version that wrote it
 */
record PartReference(ContentHash hash, long version) {

	static final PartReference EMPTY = new PartReference(ContentHash.NONE, 0);

	private static final String KIND = "configuration-part";

	boolean empty() {
		return this.hash.equals(ContentHash.NONE);
	}

	ObjectKey objectKey(int bucket) {
		return new ObjectKey(KIND, this.version + "-" + bucket + "-" + this.hash);
	}

}
