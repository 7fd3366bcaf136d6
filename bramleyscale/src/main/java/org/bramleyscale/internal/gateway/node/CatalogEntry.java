package org.bramleyscale.internal.gateway.node;

import java.util.List;

import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.region.RegionMap;
import org.bramleyscale.internal.platform.StoreRevision;
import org.jboss.logging.Logger;

/**
 * Applies the operator's document.
 *
 * <p>
 * Invariant: a document that can't be read or was deleted changes nothing. Confined to
 * the scheduler's thread.
 */
public final class CatalogEntry {

	/** The most routes in a line of the log. */
	private static final int MAX_LOGGED = 16;

	private static final Logger logger = Logger.getLogger(CatalogEntry.class);

	private final Documents documents;

	private final CatalogHolder catalogs;

	private final RegionMap regions;

	private final DecisionLog log;

	public CatalogEntry(Documents documents, CatalogHolder catalogs, RegionMap regions, DecisionLog log) {
		this.documents = documents;
		this.catalogs = catalogs;
		this.regions = regions;
		this.log = log;
	}

	/**
	 * Applies the new copy of an object, or its deletion.
	 * @param object the copy
	 */
	public void changed(ObjectCopy object) {
		if (object.deleted() || !object.name().equals(this.documents.catalogName())) {
			return;
		}
		try {
			Catalog catalog = this.documents.catalog(object.value());
			boolean applied = this.catalogs.offer(catalog);
			this.log.belief("catalog", catalog.version(), "in_force", applied, "revision",
					StoreRevision.text(object.revision()), "routes", catalog.routeCount(), "keys_needed",
					catalog.keysNeeded(), "keys", catalog.keyCount());
			if (applied) {
				logRoutesWithoutRegion(catalog);
			}
		}
		catch (Documents.DocumentException ex) {
			logger.errorf("The operator's document can't be read: %s", ex.getMessage());
		}
	}

	private void logRoutesWithoutRegion(Catalog catalog) {
		List<String> routes = catalog.routesWithoutRegion(this.regions.regions().values());
		if (!routes.isEmpty()) {
			this.log.belief("routes_without_region", routes.size(), "routes",
					routes.stream().limit(MAX_LOGGED).toList(), "catalog", catalog.version());
		}
	}

}
