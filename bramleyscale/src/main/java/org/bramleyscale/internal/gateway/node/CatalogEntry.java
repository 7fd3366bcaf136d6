package org.bramleyscale.internal.gateway.node;

import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.jboss.logging.Logger;

/**
 * Applies the operator's document.
 *
 * <p>
 * Invariant: a document that can't be read or was deleted changes nothing. Confined to
 * the scheduler's thread.
 */
final class CatalogEntry {

	private static final Logger logger = Logger.getLogger(CatalogEntry.class);

	private final Documents documents;

	private final CatalogHolder catalogs;

	private final DecisionLog log;

	CatalogEntry(Documents documents, CatalogHolder catalogs, DecisionLog log) {
		this.documents = documents;
		this.catalogs = catalogs;
		this.log = log;
	}

	/**
	 * Applies the new copy of an object, or its deletion.
	 * @param object the copy
	 */
	void changed(ObjectCopy object) {
		if (object.deleted() || !object.name().equals(this.documents.catalogName())) {
			return;
		}
		try {
			Catalog catalog = this.documents.catalog(object.value());
			boolean applied = this.catalogs.offer(catalog);
			this.log.belief("catalog", catalog.version(), "in_force", applied, "revision", object.revision(), "routes",
					catalog.routeCount());
		}
		catch (Documents.DocumentException ex) {
			logger.errorf("The operator's document can't be read: %s", ex.getMessage());
		}
	}

}
