/**
 * The register and the rules as YAML documents.
 */
package org.bramleyscale.internal.configuration.document;
