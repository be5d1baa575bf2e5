"""Token shares per organisation, borrowing and refunds."""
