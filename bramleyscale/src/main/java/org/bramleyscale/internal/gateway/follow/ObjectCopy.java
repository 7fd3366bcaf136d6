package org.bramleyscale.internal.gateway.follow;

/**
 * A copy of one platform object, or a tombstone if the object was deleted.
 *
 * <p>
 * Immutable and safe for use by multiple threads; callers must not modify the bytes.
 *
 * @param name the object's name
 * @param revision the platform's revision at which it last changed
 * @param value the bytes, or null if it was deleted
 */
public record ObjectCopy(String name, long revision, byte[] value) {

	public boolean deleted() {
		return this.value == null;
	}

}
