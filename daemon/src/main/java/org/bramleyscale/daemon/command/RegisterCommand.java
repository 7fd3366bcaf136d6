package org.bramleyscale.daemon.command;

import org.bramleyscale.internal.status.DocumentKind;

/**
 * Shows, compares and changes the register.
 */
public final class RegisterCommand extends DocumentCommand {

	public RegisterCommand() {
		super(DocumentKind.REGISTER, System.getenv());
	}

}
