package org.bramleyscale.internal.peer;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name under which a type of peer message is counted, where it differs from the
 * simple name of its class. Names of metrics end with it, so it stays when the class is
 * renamed.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface MessageName {

	/**
	 * The name.
	 * @return the name, unique among the messages of a catalog
	 */
	String value();

}
