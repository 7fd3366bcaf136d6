package org.bramleyscale.internal.membership;

/**
 * What heartbeats say of one incarnation, in the order in which claims win over others of
 * the same version.
 */
enum Health {

	/** It is heard. */
	ALIVE,

	/** It wasn't heard by its monitor nor by those asked to help. */
	SUSPECT,

	/** It stayed silent and a jury agreed, or its VM is gone. */
	DEAD

}
