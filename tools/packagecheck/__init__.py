"""Checks that a deploy file lists the Debian packages that a clean build needs (see tools/build-packages)."""
