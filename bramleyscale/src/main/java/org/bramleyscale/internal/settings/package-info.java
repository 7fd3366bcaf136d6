/**
 * Loading and validation of the settings file.
 */
package org.bramleyscale.internal.settings;
