package org.bramleyscale.internal.configuration;

/**
 * A head with the platform's version of its object.
 *
 * @param head the head
 * @param objectVersion the version that a conditional update must name; 0 if there is no
 * object
 */
record StoredHead(Head head, long objectVersion) {

	static final StoredHead NONE = new StoredHead(Head.NONE, 0);

}
