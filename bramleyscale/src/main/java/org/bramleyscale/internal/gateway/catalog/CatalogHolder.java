package org.bramleyscale.internal.gateway.catalog;

import java.util.Optional;

/**
 * The catalog in force on this daemon.
 *
 * <p>
 * Invariant: the version never decreases while a daemon runs. Documents arrive from the
 * platform and from peers in any order; an older one that arrived late would reinstate a
 * key that had been revoked. Confined to the scheduler's thread.
 */
public final class CatalogHolder {

	private Catalog current;

	/**
	 * The catalog in force.
	 * @return the catalog, or empty until the first document is known
	 */
	public Optional<Catalog> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Offers a document.
	 * @param catalog the document
	 * @return true if it is newer than the one in force and replaced it
	 */
	public boolean offer(Catalog catalog) {
		if (this.current != null && catalog.version() <= this.current.version()) {
			return false;
		}
		this.current = catalog;
		return true;
	}

}
