package org.bramleyscale.internal.status;

/**
 * One document as it is in force.
 *
 * @param version the version to name as the base of a change; 0 if there is no document
 * @param yaml the document
 */
public record ShownDocument(long version, String yaml) {

}
