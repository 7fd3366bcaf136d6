package org.bramleyscale.daemon.command;

import org.bramleyscale.internal.status.DocumentKind;

/**
 * Shows, compares and changes the rules.
 */
public final class RulesCommand extends DocumentCommand {

	public RulesCommand() {
		super(DocumentKind.RULES, System.getenv());
	}

}
