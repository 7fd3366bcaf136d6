/**
 * Reading the settings file.
 */
package org.bramleyscale.internal.settings;
