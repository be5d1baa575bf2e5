"""Retry budgets: limits on how many failed sends may be retried."""
