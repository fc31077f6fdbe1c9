"""Plays days of trouble on the bench of the serving tier and reports what broke (see tools/play-days)."""
