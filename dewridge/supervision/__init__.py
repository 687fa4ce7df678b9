"""The supervisor tree, mailboxes and state dumps."""
