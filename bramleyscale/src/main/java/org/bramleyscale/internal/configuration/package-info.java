/**
 * The register and the rules: checked, accepted, spread, and never reverted.
 */
package org.bramleyscale.internal.configuration;
