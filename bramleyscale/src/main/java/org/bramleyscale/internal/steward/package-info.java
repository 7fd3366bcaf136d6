/**
 * Leased jobs: model loads, role changes, status summaries.
 */
package org.bramleyscale.internal.steward;
