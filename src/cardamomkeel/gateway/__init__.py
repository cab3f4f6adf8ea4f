"""Gateways: entries that send to every target directly, without owners."""
