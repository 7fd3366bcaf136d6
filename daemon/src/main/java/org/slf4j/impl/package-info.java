/**
 * A marker that Ratpack looks for.
 */
package org.slf4j.impl;
