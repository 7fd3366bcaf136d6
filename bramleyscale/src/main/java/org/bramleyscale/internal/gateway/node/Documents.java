package org.bramleyscale.internal.gateway.node;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.catalog.Catalog;

/**
 * Converts the platform's documents to the gateway's types.
 *
 * <p>
 * Implementations convert documents without any further decision. Safe for use by
 * multiple threads.
 */
public interface Documents {

	/**
	 * The kind of objects that holds the operator's document.
	 * @return the kind
	 */
	String catalogKind();

	/**
	 * The name of the operator's document within its kind.
	 * @return the name
	 */
	String catalogName();

	/**
	 * The kind of objects in which endpoints register.
	 * @return the kind
	 */
	String backendKind();

	/**
	 * The kind of objects that request evacuations, each named after a data centre.
	 * @return the kind
	 */
	String evacuationKind();

	/**
	 * Reads the operator's document.
	 * @param value its bytes
	 * @return the catalog
	 * @throws DocumentException if it can't be read
	 */
	Catalog catalog(byte[] value) throws DocumentException;

	/**
	 * Reads an endpoint's entry.
	 * @param name the entry's name, which is the endpoint's id
	 * @param value its bytes
	 * @return the endpoint
	 * @throws DocumentException if it can't be read
	 */
	Backend backend(String name, byte[] value) throws DocumentException;

	/**
	 * Reads from an endpoint's entry how long it remains cold.
	 * @param name the entry's name
	 * @param value its bytes
	 * @return the time, zero if it isn't cold
	 * @throws DocumentException if it can't be read
	 */
	default Duration coldRemaining(String name, byte[] value) throws DocumentException {
		return Duration.ZERO;
	}

	/**
	 * A document that can't be read.
	 */
	final class DocumentException extends Exception {

		private static final long serialVersionUID = 1L;

		/**
		 * Creates the exception.
		 * @param message names the document, the field and the invalid value
		 * @param cause the parser's exception, or null
		 */
		public DocumentException(String message, Throwable cause) {
			super(message, cause);
		}

	}

}
